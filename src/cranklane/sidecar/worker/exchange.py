"""Sends a request to the worker and reads the response.

After a failure, decides whether the request has not run or may have run. A response is accepted
only if it repeats the request id and, for a success, carries the integrity header.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from functools import partial
from http import HTTPStatus
from typing import NamedTuple

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import (
    AnswerHead,
    Framing,
    HeadTooLargeError,
    MalformedMessageError,
    TruncatedMessageError,
)
from cranklane.common.http1.writer import LAST_CHUNK, chunk, end_to_end_lines
from cranklane.common.units import MILLISECONDS
from cranklane.errors import TruncatedAnswerError
from cranklane.outcome import Outcome, Reason
from cranklane.records.messages import ForwardRequest
from cranklane.runtime.interface import Runtime
from cranklane.sidecar.request.attempt import (
    MAX_BUFFERED_BODY_BYTES,
    Attempt,
    Reply,
    refusal,
    unknown,
)
from cranklane.sidecar.request.connection_lease import ConnectionLease
from cranklane.sidecar.request.streamed_answer import StreamedAnswer
from cranklane.sidecar.worker.answer_notice import AnswerNotice, AnswerNoticeReader
from cranklane.sidecar.worker.body_sender import send_body
from cranklane.sidecar.worker.pool import WorkerConnection, WorkerPool

INLINE_SEND_BYTES = 16 * 1024
"""Largest body that is sent before the response is read. It fits the socket buffer: sending more
could deadlock with a worker that answers before it has read the body."""

# Plain integers, because comparing with members of HTTPStatus is slow.
_MISDIRECTED = HTTPStatus.MISDIRECTED_REQUEST.value
_FIRST_SUCCESS = HTTPStatus.OK.value
_FIRST_REDIRECTION = HTTPStatus.MULTIPLE_CHOICES.value

MAX_SURPLUS_ANSWERS = 4
"""Responses read on a connection, including those to other requests, to find the expected one. A
worker that sends more is broken."""

MAX_SURPLUS_BODY_BYTES = 1024 * 1024
"""Largest body of a response to another request that is read to reach the expected response."""

REFUSAL_BODY_SECONDS = 0.1
"""Time allowed for the body of a refusal. The refusal is known from its head, and its caller can
try another worker."""

MAX_REFUSAL_BODY_BYTES = 64 * 1024
"""Largest body of a refusal that is read to reuse the connection."""


class RunListener(NamedTuple):
    """Callbacks of one run.

    :ivar may_send: returns whether the request may still be sent to the worker; it may have waited
        for a connection since its admission.
    :ivar sent: called just before the first byte is sent.
    :ivar noticed: called with what the headers of the worker's answer state.
    :ivar worker_exited: checks whether the worker has exited since the run began.
    """

    may_send: Callable[[], bool]
    sent: Callable[[], None]
    noticed: Callable[[AnswerNotice], None]
    worker_exited: Callable[[], bool]


class WorkerExchange:
    """Runs requests at one worker.

    :param on_unexpected_instance: called with the id of an instance that answers but is not the
        expected one.
    """

    def __init__(
        self,
        runtime: Runtime,
        pool: WorkerPool,
        names: HeaderNames,
        on_unexpected_instance: Callable[[str], None],
    ) -> None:
        self._runtime = runtime
        self._pool = pool
        self._names = names
        self._on_unexpected_instance = on_unexpected_instance
        self._request_name = names.request.lower()
        self._not_run_name = names.not_run.lower()
        self._integrity_name = names.integrity.lower()
        self._instance_name = names.instance_answer.lower()
        self._notices = AnswerNoticeReader(names)

    def run(self, attempt: Attempt, instance: str, deadline: float, listener: RunListener) -> Reply:
        """Send a request and return the reply; ``Reply.rest`` streams the rest of a large response.

        :param instance: the worker instance that may run the request.
        :param deadline: monotonic second at which the caller gives up.
        """
        try:
            connection = self._pool.take(always_check=not attempt.request.idempotent)
        except OSError:
            # Nothing was sent, so the request has not run.
            return refusal(Reason.WORKER_UNREACHABLE)
        give_back = partial(self._pool.give_back, connection)
        lease = ConnectionLease(attempt, give_back, connection.close)
        reply: Reply | None = None
        try:
            reply = self._run(attempt, connection, lease, instance, deadline, listener)
        except TimeoutError:
            reply = unknown(Reason.DEADLINE_PASSED)
        except (OSError, TruncatedMessageError):
            reply = unknown(Reason.CANCELLED if attempt.cancelled else Reason.WORKER_FAILED)
        except (HeadTooLargeError, MalformedMessageError, ValueError):
            reply = unknown(Reason.ANSWER_CUT)
        finally:
            if reply is None or reply.rest is None:
                # No effect after a complete exchange, which has released the connection.
                lease.close()
        return reply

    def _run(
        self,
        attempt: Attempt,
        connection: WorkerConnection,
        lease: ConnectionLease,
        instance: str,
        deadline: float,
        listener: RunListener,
    ) -> Reply:
        remaining = deadline - self._runtime.monotonic()
        if remaining <= 0 or attempt.cancelled:
            return refusal(Reason.CANCELLED if attempt.cancelled else Reason.DEADLINE_PASSED)
        if not listener.may_send():
            return refusal(Reason.DRAINING)
        connection.stream.settimeout(remaining)
        connection.reader.receive_until(deadline, self._runtime.monotonic)
        listener.sent()
        self._send(attempt, connection, lease, instance, remaining)
        head = self._matching_answer(attempt.request, connection)
        if head is None:
            return unknown(Reason.ANSWER_CUT)
        connection.apply_keep_alive(head)
        if head.status != _MISDIRECTED:
            # Another instance than the expected one may have sent a misdirection.
            listener.noticed(self._notices.read(head))
        if self._is_refusal(head):
            return self._read_refusal(head, connection, lease)
        if not self._is_genuine(head):
            return unknown(Reason.ANSWER_CUT)
        return self._read_reply(head, connection, lease, listener)

    def _is_refusal(self, head: AnswerHead) -> bool:
        """Return whether a response states that the request was not run."""
        return head.status == _MISDIRECTED or head.value(self._not_run_name) is not None

    def _is_genuine(self, head: AnswerHead) -> bool:
        """Return whether a response is an error or carries the worker's integrity header."""
        success = _FIRST_SUCCESS <= head.status < _FIRST_REDIRECTION
        return not success or head.value(self._integrity_name) is not None

    def _send(
        self,
        attempt: Attempt,
        connection: WorkerConnection,
        lease: ConnectionLease,
        instance: str,
        remaining: float,
    ) -> None:
        """Send a request's head and a small body; start to send a larger one."""
        request = attempt.request
        names = self._names
        head = b"%s%s: %d\r\n%s: %s\r\n\r\n" % (
            request.lines,
            names.deadline,
            max(1, int(remaining * MILLISECONDS)),
            names.instance,
            instance.encode(),
        )
        if attempt.rest is None and len(request.body) <= INLINE_SEND_BYTES:
            body = request.body
            if request.framing == Framing.CHUNKED:
                body = (chunk(body) if body else b"") + LAST_CHUNK
            connection.stream.sendall(head + body)
            return
        connection.stream.sendall(head)
        lease.send_body(self._runtime, partial(send_body, connection, attempt))

    def _matching_answer(
        self, request: ForwardRequest, connection: WorkerConnection
    ) -> AnswerHead | None:
        """Return the head of this request's response; discard responses to other requests."""
        expected = request.request_id.encode()
        reader = connection.reader
        for _ in range(MAX_SURPLUS_ANSWERS):
            head = reader.next_head(request.bodiless)
            answered_id = head.value(self._request_name)
            if answered_id == expected:
                return head
            if answered_id is None:
                return None
            if not reader.skip_body(MAX_SURPLUS_BODY_BYTES):
                return None
            reader.finish()
        return None

    def _read_refusal(
        self, head: AnswerHead, connection: WorkerConnection, lease: ConnectionLease
    ) -> Reply:
        misdirected = head.status == _MISDIRECTED
        answering_instance = head.value(self._instance_name)
        clock = self._runtime.monotonic
        connection.reader.receive_until(clock() + REFUSAL_BODY_SECONDS, clock)
        try:
            if connection.reader.skip_body(MAX_REFUSAL_BODY_BYTES):
                _finish_exchange(head, connection, lease)
        except (OSError, TruncatedMessageError, MalformedMessageError):
            # The refusal is valid without its body, but the connection cannot be reused.
            lease.close()
        if misdirected and answering_instance is not None:
            self._on_unexpected_instance(answering_instance.decode("latin-1"))
        return refusal(Reason.WORKER_SHED, arrived=not misdirected)

    def _read_reply(
        self,
        head: AnswerHead,
        connection: WorkerConnection,
        lease: ConnectionLease,
        listener: RunListener,
    ) -> Reply:
        reader = connection.reader
        body_parts: list[bytes] = []
        size = 0
        whole = False
        while size < MAX_BUFFERED_BODY_BYTES:
            data = reader.next_piece()
            if not data:
                _check_end(head, listener)
                whole = True
                break
            body_parts.append(data)
            size += len(data)
        reply = Reply(
            Outcome.ANSWERED,
            arrived=True,
            status=head.status,
            framing=head.framing,
            length=head.length,
            lines=end_to_end_lines(head.headers),
            body=b"".join(body_parts),
        )
        if whole:
            _finish_exchange(head, connection, lease)
            if head.framing in (Framing.CHUNKED, Framing.UNTIL_CLOSE):
                reply.framing, reply.length = Framing.LENGTH, size
        else:
            reply.rest = StreamedAnswer(
                _stream_rest(head, connection, listener),
                on_end=lease.close,
                on_complete=partial(_finish_exchange, head, connection, lease),
            )
        return reply


def _stream_rest(
    head: AnswerHead, connection: WorkerConnection, listener: RunListener
) -> Generator[bytes, None, None]:
    try:
        while data := connection.reader.next_piece():
            yield data
        _check_end(head, listener)
    except (OSError, TruncatedMessageError, MalformedMessageError) as error:
        raise TruncatedAnswerError(str(error)) from error


def _finish_exchange(
    head: AnswerHead, connection: WorkerConnection, lease: ConnectionLease
) -> None:
    """End an exchange whose response was read completely; release the connection if possible."""
    surplus = connection.reader.surplus
    connection.reader.finish()
    if head.keep_alive and not surplus:
        lease.release()
    else:
        lease.close()


def _check_end(head: AnswerHead, listener: RunListener) -> None:
    """Check the end of a body that is delimited by the end of its connection.

    :raises TruncatedMessageError: when the worker has exited, which may have truncated the body.
    """
    if head.framing is Framing.UNTIL_CLOSE and listener.worker_exited():
        raise TruncatedMessageError
