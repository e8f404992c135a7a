"""Parses callers' HTTP requests into outbound calls.

A request's path is ``/TENANT/SERVICE/PATH``; the called worker gets ``/PATH`` with the query.
"""

from __future__ import annotations

import falcon
import gevent
from result import Err, Ok, Result

from cranklane.common import headers
from cranklane.common.headers import HOP_BY_HOP, is_reserved_header
from cranklane.node.answer import Request
from cranklane.outcome import Reason

MAX_BODY_BYTES = 1024 * 1024
"""Largest request body; kept in memory for retries."""

BODY_TIMEOUT_SECONDS = 10.0
"""Seconds a caller has to send its request's body."""

_DROPPED_HEADERS = HOP_BY_HOP | {"host", "content-length", "authorization", "idempotency-key"}
_PATH_PARTS = 4
"""Number of strings that the path is split into: empty, tenant, service, remaining path."""

_BEARER = "bearer "


def read_call(request: falcon.Request) -> Result[Request, Reason]:
    """Return the requested call with an empty caller, or the reason for refusing the request."""
    path_parts = request.path.split("/", _PATH_PARTS - 1)
    if len(path_parts) < _PATH_PARTS:
        return Err(Reason.UNKNOWN_ROUTE)
    body = _read_body(request)
    if isinstance(body, Err):
        return Err(body.err_value)
    path = "/" + path_parts[3]
    if request.query_string:
        path = f"{path}?{request.query_string}"
    return Ok(
        Request(
            tenant=path_parts[1],
            service=path_parts[2],
            caller="",
            method=request.method,
            path=path,
            headers=_forwarded_headers(request),
            body=body.ok_value,
            key=request.get_header(headers.IDEMPOTENCY_KEY) or "",
        )
    )


def _forwarded_headers(request: falcon.Request) -> list[tuple[str, str]]:
    return [
        (name.title(), value)
        for name, value in request.headers.items()
        if name.lower() not in _DROPPED_HEADERS and not is_reserved_header(name)
    ]


def _read_body(request: falcon.Request) -> Result[bytes, Reason]:
    length = request.content_length
    if length is None and request.get_header("Transfer-Encoding") is None:
        return Ok(b"")
    if length is not None and length > MAX_BODY_BYTES:
        return Err(Reason.REQUEST_TOO_LARGE)
    try:
        with gevent.Timeout(BODY_TIMEOUT_SECONDS):
            body = request.stream.read(MAX_BODY_BYTES + 1 if length is None else length)
    except (gevent.Timeout, OSError, ValueError):
        return Err(Reason.BAD_REQUEST)
    if len(body) > MAX_BODY_BYTES:
        return Err(Reason.REQUEST_TOO_LARGE)
    if length is not None and len(body) != length:
        return Err(Reason.BAD_REQUEST)
    return Ok(body)


def bearer_token(request: falcon.Request) -> str | None:
    """Return the token of a request's ``Authorization`` header, or None."""
    credentials = request.auth or ""
    if not credentials.lower().startswith(_BEARER):
        return None
    return credentials[len(_BEARER) :].strip()


def deadline_ms(request: falcon.Request, route_ms: int) -> int | None:
    """Return the milliseconds until a request's deadline, or None if its header is invalid.

    :param route_ms: the route's limit in milliseconds, which a caller can only shorten.
    """
    text = request.get_header(headers.DEADLINE_MS)
    if text is None:
        return route_ms
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        return None
    return min(route_ms, int(text))
