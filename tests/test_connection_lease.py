"""The use of a pooled connection by one attempt, up to its return or its close."""

from __future__ import annotations

import gevent
import pytest

from cranklane.records.messages import ForwardRequest
from cranklane.runtime.real import RealRuntime
from cranklane.sidecar.request.attempt import Attempt
from cranklane.sidecar.request.connection_lease import ConnectionLease


class Uses:
    """An attempt with its lease, and the calls that ended the use of the connection."""

    def __init__(self):
        self.ends = []
        self.attempt = Attempt(ForwardRequest())
        self.lease = ConnectionLease(
            self.attempt, lambda: self.ends.append("returned"), lambda: self.ends.append("closed")
        )

    def send_body(self, send):
        self.lease.send_body(RealRuntime(), send)
        gevent.sleep(0)


@pytest.fixture
def uses():
    return Uses()


def fail():
    raise OSError


def test_a_cancelled_attempt_does_not_close_a_connection_that_it_has_returned(uses):
    """Guards against closing a connection under another request that has taken it since."""
    uses.lease.release()
    uses.attempt.cancel()
    assert uses.ends == ["returned"]


def test_a_connection_cancelled_while_its_body_is_ended_is_not_returned(uses):
    """Guards against the return of a closed connection."""

    def cancel_when_ended():
        try:
            gevent.sleep(1.0)
        finally:
            uses.attempt.cancel()

    uses.send_body(cancel_when_ended)
    uses.lease.release()
    assert set(uses.ends) == {"closed"}


@pytest.mark.parametrize(
    ("send", "end"), [(lambda: None, "returned"), (lambda: gevent.sleep(9.0), "closed")]
)
def test_a_connection_is_returned_only_if_the_body_was_sent_whole(uses, send, end):
    """Guards against another request's bytes where the rest of a body is due."""
    uses.send_body(send)
    uses.lease.release()
    assert uses.ends == [end]


def test_a_body_that_cannot_be_read_closes_the_connection_at_once(uses):
    """Guards against a worker that waits for the rest of a body until its deadline."""
    uses.send_body(fail)
    assert uses.ends == ["closed"]


def test_only_the_first_end_of_a_lease_counts(uses):
    """Guards against closing a connection that is back in the pool."""
    uses.lease.release()
    uses.lease.close()
    assert uses.ends == ["returned"]
