"""Requests of a node to its worker: outcomes without an answer, and reuse of connections."""

from __future__ import annotations

from types import SimpleNamespace

import gevent
import pytest

from cranklane.common.http_client import HttpClient, HttpRequestError
from cranklane.node.allowance import Allowance
from cranklane.node.attempt import AttemptSender, _OpenAttempt
from cranklane.node.context import CallContext
from cranklane.node.worker import WorkerFailure, failure_of
from cranklane.node.worker_start import WorkerStart
from cranklane.outcome import Criticality, Outcome, Reason
from cranklane.records.messages import AnswerHead
from cranklane.runtime.real import RealRuntime

CASES = [
    # sent, timed out, outcome, reason
    (False, False, Outcome.NOT_RUN, Reason.BAD_REQUEST),
    (True, False, Outcome.UNKNOWN, Reason.WORKER_FAILED),
    (True, True, Outcome.UNKNOWN, Reason.DEADLINE_PASSED),
]


@pytest.mark.parametrize(("sent", "timed_out", "outcome", "reason"), CASES)
def test_failed_request_counts_as_not_run_only_if_nothing_was_sent(
    sent, timed_out, outcome, reason
):
    error = HttpRequestError("broken", sent, timed_out)
    assert failure_of(error) == WorkerFailure(outcome, reason)


def answer_bytes(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


@pytest.fixture
def scripted_server():
    """Return a function that serves a script of answers; each item is sent for one request.

    An answer that consists of several parts is sent with a pause between them.
    """
    listeners = []

    def start(*script):
        answers = iter(script)

        def serve(stream, _address):
            while stream.recv(65536):
                for part in next(answers):
                    stream.sendall(part)
                    gevent.sleep(0.02)

        listeners.append(RealRuntime().listen(("127.0.0.1", 0), serve))
        return HttpClient(RealRuntime(), listeners[-1].address)

    yield start
    for listener in listeners:
        listener.close()


def read(client):
    return client.request("GET", "/").read()


def test_surplus_bytes_after_a_response_are_no_part_of_it(scripted_server):
    """Guards against the answer of another request in place of the own one."""
    client = scripted_server(
        [answer_bytes(b"own") + answer_bytes(b"surplus")], [answer_bytes(b"2")]
    )
    assert [read(client), read(client)] == [b"own", b"2"]


def test_a_connection_with_unread_bytes_is_not_reused(scripted_server):
    """Guards against a late surplus response that the next request takes for its own."""
    client = scripted_server([answer_bytes(b"own"), answer_bytes(b"surplus")], [answer_bytes(b"2")])
    first = read(client)
    gevent.sleep(0.1)
    assert [first, read(client)] == [b"own", b"2"]


def test_a_connection_is_reused_only_after_its_response_is_closed(scripted_server):
    """Guards against a cancelled call that closes the connection of another call."""
    client = scripted_server([answer_bytes(b"own")])
    connection = client.connect()
    response = client.request("GET", "/", connection=connection)
    assert b"".join(response.body()) == b"own"
    assert client.connect() is not connection
    response.close()
    assert client.connect() is connection


@pytest.mark.parametrize("after", [b"", answer_bytes(b"behind")])
@pytest.mark.parametrize("status", [b"000", b"099", b"101", b"600", b"999"])
def test_a_status_outside_of_the_protocol_is_no_response(scripted_server, status, after):
    """Guards against an invalid status that is waited on until the timeout, or passed on."""
    invalid = b"HTTP/1.1 %s Status\r\nContent-Length: 0\r\n\r\n" % status
    client = scripted_server([invalid + after], [answer_bytes(b"2")])
    with pytest.raises(HttpRequestError) as raised, gevent.Timeout(1.0):
        read(client)
    assert failure_of(raised.value) == WorkerFailure(Outcome.UNKNOWN, Reason.WORKER_FAILED)


@pytest.mark.parametrize("status", [b"100", b"103"])
def test_interim_responses_are_skipped(scripted_server, status):
    """Guards against a check that takes an interim response for an invalid one."""
    interim = b"HTTP/1.1 %s Interim\r\n\r\n" % status
    assert read(scripted_server([interim, interim + answer_bytes(b"own")])) == b"own"


class ClosableConnection:
    closed = False

    def close(self):
        self.closed = True


@pytest.mark.parametrize(("ended", "closed"), [(False, True), (True, False)])
def test_a_cancelled_call_closes_its_connection_only_until_it_returns_it(ended, closed):
    """Guards against a cancelled call that closes the connection of another call."""
    context = CallContext(1, "tenant", Criticality.NORMAL, 1.0, Allowance(1))
    connection = ClosableConnection()
    start = WorkerStart(context, None)
    assert start.may_start(connection)
    if ended:
        start.end()
    context.cancel(Reason.CANCELLED)
    assert connection.closed is closed


@pytest.mark.parametrize("status", [0, 100, 600])
def test_a_node_passes_no_invalid_status_of_another_one_on(status):
    """Guards against nodes of a former release, which let such answers of workers pass."""
    failures = []
    member = SimpleNamespace(
        reported_load=lambda _head: None,
        refusals={},
        failed=lambda now: failures.append(now),
        answered=lambda _seconds: None,
        closed=lambda: None,
    )
    call = SimpleNamespace(cancel=lambda _reason: None, close=lambda: None)
    context = CallContext(1, "tenant", Criticality.NORMAL, 1.0, Allowance(1))
    runtime = SimpleNamespace(monotonic=lambda: 0.0)
    sender = AttemptSender(runtime, None, None, None, None, lambda _member: None)
    open_attempt = _OpenAttempt(context, member, call, 0)
    head = AnswerHead(outcome=Outcome.ANSWERED, status=status)
    answer = sender._handle_head(open_attempt, head, 0.0)
    assert (answer.outcome, answer.reason) == (Outcome.UNKNOWN, Reason.ANSWER_CUT)
    assert len(failures) == 1
