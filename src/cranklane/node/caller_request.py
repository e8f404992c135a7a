"""Reads callers' HTTP requests as calls to make.

A call's path is ``/TENANT/SERVICE/rest``; the rest, with its query, is what the
called worker sees.
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
"""Largest request body; kept in memory while the call may be retried. A choice: it
bounds what one call costs in memory."""

BODY_SECONDS = 10.0
"""Seconds a caller has to send its request's body. A choice: the largest body at 100 KB a
second."""

_DROPPED_HEADERS = HOP_BY_HOP | {"host", "content-length", "authorization", "idempotency-key"}
_PATH_PARTS = 4
"""Parts of a path between slashes: nothing, tenant, service, rest."""

_BEARER = "bearer "


def read_call(request: falcon.Request) -> Result[Request, Reason]:
    """Return the call that a request asks for, its caller still unnamed, or why there is none."""
    parts = request.path.split("/", _PATH_PARTS - 1)
    if len(parts) < _PATH_PARTS:
        return Err(Reason.UNKNOWN_ROUTE)
    body = _read_body(request)
    if isinstance(body, Err):
        return Err(body.err_value)
    path = "/" + parts[3]
    if request.query_string:
        path = f"{path}?{request.query_string}"
    return Ok(
        Request(
            tenant=parts[1],
            service=parts[2],
            caller="",
            method=request.method,
            path=path,
            headers=_passed_on(request),
            body=body.ok_value,
            key=request.get_header(headers.IDEMPOTENCY_KEY) or "",
        )
    )


def _passed_on(request: falcon.Request) -> list[tuple[str, str]]:
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
        with gevent.Timeout(BODY_SECONDS):
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
    """Return the milliseconds a request has, or None when it states no number.

    :param route_ms: what its route allows; a client may only shorten it.
    """
    text = request.get_header(headers.DEADLINE_MS)
    if text is None:
        return route_ms
    if not text.isascii() or not text.isdigit() or int(text) < 1:
        return None
    return min(route_ms, int(text))
