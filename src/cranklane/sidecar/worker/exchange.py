"""Sends one request to the worker and reads its answer.

Decides what an exchange that fails says of the request: whether it has not run, or may have. An
answer counts only when it bears the request's own id and, for a success, the worker's mark.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from http import HTTPStatus

from cranklane.common.header_names import HeaderNames
from cranklane.common.http1.message import (
    AnswerHead,
    Framing,
    MalformedMessageError,
    MessageCutError,
)
from cranklane.common.http1.writer import LAST_CHUNK, chunk, end_to_end, header_lines
from cranklane.common.units import MILLISECONDS
from cranklane.errors import AnswerCutError
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
from cranklane.sidecar.worker.body_sender import BodySender
from cranklane.sidecar.worker.pool import WorkerConnection, WorkerPool

INLINE_SEND_BYTES = 16 * 1024
"""Bytes of a body that are written before its answer is read. A choice: they fit the socket's
buffer; a worker that answers before it has read more could otherwise block both sides."""

# Plain numbers: to compare a status with a member of HTTPStatus takes 0.9 µs (timeit).
_MISDIRECTED = HTTPStatus.MISDIRECTED_REQUEST.value
_FIRST_SUCCESS = HTTPStatus.OK.value
_FIRST_REDIRECTION = HTTPStatus.MULTIPLE_CHOICES.value

MAX_SURPLUS_ANSWERS = 4
"""Answers read on a connection to find the request's own, those of other requests included. A
choice: a worker that sends more is broken."""


class WorkerExchange:
    """Runs requests at one worker.

    :param on_other_instance: called with the start that answers when it is not the expected one.
    """

    def __init__(
        self,
        runtime: Runtime,
        pool: WorkerPool,
        names: HeaderNames,
        on_other_instance: Callable[[str], None],
    ) -> None:
        self._runtime = runtime
        self._pool = pool
        self._names = names
        self._on_other_instance = on_other_instance
        self._request_name = names.request.lower()
        self._not_run_name = names.not_run.lower()
        self._integrity_name = names.integrity.lower()
        self._instance_name = names.instance_answer.lower()

    def run(
        self, attempt: Attempt, instance: str, deadline: float, on_sent: Callable[[], None]
    ) -> Reply:
        """Send a request and return its answer; small ones whole.

        :param instance: the worker's start that may run it.
        :param deadline: monotonic second at which nobody waits any more.
        :param on_sent: called when the first byte is about to be sent.
        """
        try:
            connection = self._pool.take(careful=not attempt.request.idempotent)
        except OSError:
            # Nothing was sent, so it has certainly not run.
            return refusal(Reason.WORKER_UNREACHABLE)
        attempt.when_cancelled(connection.close)
        try:
            return self._run(attempt, connection, instance, deadline, on_sent)
        except TimeoutError:
            connection.close()
            return unknown(Reason.DEADLINE_PASSED)
        except (OSError, MessageCutError):
            connection.close()
            return unknown(Reason.CANCELLED if attempt.cancelled else Reason.WORKER_FAILED)
        except (MalformedMessageError, ValueError):
            connection.close()
            return unknown(Reason.ANSWER_CUT)

    def _run(
        self,
        attempt: Attempt,
        connection: WorkerConnection,
        instance: str,
        deadline: float,
        on_sent: Callable[[], None],
    ) -> Reply:
        remaining = deadline - self._runtime.monotonic()
        if remaining <= 0 or attempt.cancelled:
            connection.close()
            return refusal(Reason.CANCELLED if attempt.cancelled else Reason.DEADLINE_PASSED)
        connection.stream.settimeout(remaining)
        on_sent()
        sender = self._send(attempt, connection, instance, remaining)
        head = self._own_answer(attempt.request, connection)
        if head is None:
            connection.close()
            return unknown(Reason.ANSWER_CUT)
        connection.take_keep_alive(head)
        if self._is_refusal(head):
            return self._refused(head, connection)
        if not self._is_genuine(head):
            connection.close()
            return unknown(Reason.ANSWER_CUT)
        return self._answered(head, connection, sender)

    def _is_refusal(self, head: AnswerHead) -> bool:
        """Return whether an answer says that the request was not run."""
        return head.status == _MISDIRECTED or head.value(self._not_run_name) is not None

    def _is_genuine(self, head: AnswerHead) -> bool:
        """Return whether an answer can be the worker's: each of its successes is marked."""
        success = _FIRST_SUCCESS <= head.status < _FIRST_REDIRECTION
        return not success or head.value(self._integrity_name) is not None

    def _send(
        self, attempt: Attempt, connection: WorkerConnection, instance: str, remaining: float
    ) -> BodySender | None:
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
            return None
        connection.stream.sendall(head)
        sender = BodySender(connection, attempt)
        self._runtime.spawn(sender.run)
        return sender

    def _own_answer(
        self, request: ForwardRequest, connection: WorkerConnection
    ) -> AnswerHead | None:
        """Return the head of this request's answer; those of others are thrown away."""
        expected = request.request_id.encode()
        reader = connection.reader
        for _ in range(MAX_SURPLUS_ANSWERS):
            head = reader.next_head(request.bodiless)
            answered = head.value(self._request_name)
            if answered == expected:
                return head
            if answered is None:
                return None
            while reader.next_piece():
                pass
            reader.finish()
        return None

    def _refused(self, head: AnswerHead, connection: WorkerConnection) -> Reply:
        misdirected = head.status == _MISDIRECTED
        other = head.value(self._instance_name)
        try:
            while connection.reader.next_piece():
                pass
            connection.reader.finish()
            self._keep(head, connection)
        except (OSError, MessageCutError, MalformedMessageError):
            # The refusal is known; only its body is not, and with it the connection's state.
            connection.close()
        if misdirected and other is not None:
            self._on_other_instance(other.decode("latin-1"))
        return refusal(Reason.WORKER_SHED, arrived=not misdirected)

    def _answered(
        self, head: AnswerHead, connection: WorkerConnection, sender: BodySender | None
    ) -> Reply:
        reader = connection.reader
        pieces: list[bytes] = []
        size = 0
        whole = False
        while size < MAX_BUFFERED_BODY_BYTES:
            piece = reader.next_piece()
            if not piece:
                whole = True
                break
            pieces.append(piece)
            size += len(piece)
        reply = Reply(
            Outcome.ANSWERED,
            arrived=True,
            status=head.status,
            framing=head.framing,
            length=head.length,
            lines=header_lines(end_to_end(head.headers)),
            body=b"".join(pieces),
        )
        if whole:
            self._end(head, connection, sender)
            if head.framing in (Framing.CHUNKED, Framing.UNTIL_CLOSE):
                reply.framing, reply.length = Framing.LENGTH, size
        else:
            reply.rest = self._rest(head, connection, sender)
        return reply

    def _rest(
        self, head: AnswerHead, connection: WorkerConnection, sender: BodySender | None
    ) -> Iterator[bytes]:
        whole = False
        try:
            while True:
                piece = connection.reader.next_piece()
                if not piece:
                    whole = True
                    return
                yield piece
        except (OSError, MessageCutError, MalformedMessageError) as error:
            raise AnswerCutError(str(error)) from error
        finally:
            if whole:
                self._end(head, connection, sender)
            else:
                connection.close()

    def _end(
        self, head: AnswerHead, connection: WorkerConnection, sender: BodySender | None
    ) -> None:
        """Keep the connection when both messages have ended on it."""
        surplus = connection.reader.surplus
        connection.reader.finish()
        if surplus or (sender is not None and not sender.done):
            connection.close()
            return
        self._keep(head, connection)

    def _keep(self, head: AnswerHead, connection: WorkerConnection) -> None:
        if head.keep_alive:
            self._pool.give_back(connection)
        else:
            connection.close()
