"""Reads a caller's request and maps read errors to HTTP statuses."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from cranklane.common.http1.message import (
    Framing,
    HeadTooLargeError,
    MalformedMessageError,
    RequestHead,
    TruncatedMessageError,
)
from cranklane.common.units import MILLISECONDS
from cranklane.errors import OverloadedError
from cranklane.routes.table import Limits, RouteTable
from cranklane.sidecar.ingress.caller_connection import CallerConnection
from cranklane.sidecar.request.attempt import MAX_BUFFERED_BODY_BYTES

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class UnreadableRequestError(Exception):
    """A request could not be read, so its connection cannot be reused.

    :ivar status: HTTP status of the response; None if the caller has disconnected.
    """

    def __init__(self, status: HTTPStatus | None) -> None:
        super().__init__(status)
        self.status = status


@dataclass(slots=True)
class CallerRequest:
    """A caller's request whose head has been read.

    :ivar id_header: request id as the caller sent it; empty without one.
    :ivar id: request id as text.
    :ivar table: route table in force when the head was read.
    :ivar started_at: monotonic second at which the head was read.
    """

    head: RequestHead
    id_header: bytes
    id: str
    table: RouteTable
    started_at: float


def read_head(connection: CallerConnection, limits: Limits) -> RequestHead | None:
    """Return the head of the next request; None if the connection ended or stayed idle.

    :raises UnreadableRequestError: when the head is malformed, too large or too slow.
    """
    idle_seconds = limits.idle_timeout_ms / MILLISECONDS
    head_seconds = limits.header_timeout_ms / MILLISECONDS
    try:
        return connection.next_head(idle_seconds, head_seconds)
    except HeadTooLargeError as error:
        raise UnreadableRequestError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE) from error
    except OverloadedError as error:
        raise UnreadableRequestError(HTTPStatus.SERVICE_UNAVAILABLE) from error
    except MalformedMessageError as error:
        raise UnreadableRequestError(HTTPStatus.BAD_REQUEST) from error
    except TruncatedMessageError:
        # The caller closed the connection within a head and cannot read a response.
        return None
    except TimeoutError as error:
        if not connection.reader.started:
            # An idle connection: the caller does not wait for a response.
            return None
        raise UnreadableRequestError(HTTPStatus.REQUEST_TIMEOUT) from error


def expected_body_bytes(head: RequestHead) -> int:
    """Return the size of what is buffered of a request's body at most."""
    if head.framing is Framing.LENGTH:
        return min(head.length, MAX_BUFFERED_BODY_BYTES)
    return MAX_BUFFERED_BODY_BYTES if head.framing is Framing.CHUNKED else 0


def read_body(connection: CallerConnection, head: RequestHead, limits: Limits) -> None:
    """Buffer a small body, or the beginning of a large one, in the connection.

    :raises UnreadableRequestError: when the body is malformed, too large, too slow or truncated.
    """
    if head.framing is Framing.LENGTH and head.length > limits.max_body_bytes:
        raise UnreadableRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
    expect = head.value(b"expect")
    if expect is not None and expect.lower() == b"100-continue":
        connection.send(_CONTINUE)
    connection.stream.settimeout(limits.idle_timeout_ms / MILLISECONDS)
    try:
        connection.read_body(MAX_BUFFERED_BODY_BYTES, limits.max_body_bytes)
    except HeadTooLargeError as error:
        raise UnreadableRequestError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE) from error
    except MalformedMessageError as error:
        raise UnreadableRequestError(HTTPStatus.BAD_REQUEST) from error
    except TimeoutError as error:
        raise UnreadableRequestError(HTTPStatus.REQUEST_TIMEOUT) from error
    except TruncatedMessageError as error:
        raise UnreadableRequestError(None) from error
