"""HTTP API for operators to manage quarantined requests, on the sidecar's metrics port.

``GET /v1/quarantine`` lists the quarantined requests. ``POST /v1/quarantine/lift`` clears a request
by ``identity``; ``POST /v1/quarantine/hold`` quarantines one by ``identity``, ``service`` and
``seconds``. Both require the operator's ``token`` in the JSON body and take effect at all sidecars.
The JSON fields ``held`` and ``ends`` are the quarantined requests and the number of crashes.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from cranklane.common.secret_digest import secret_digest
from cranklane.common.small_http import SmallAnswer, SmallHandler
from cranklane.common.strict_json import JsonTextError, read_json_text
from cranklane.sidecar.quarantine.rules import MAX_QUARANTINE_SECONDS
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane.sidecar.request.identity import IDENTITY_BYTES, Identity

QUARANTINE_PATH = "/v1/quarantine"
_LIFT_PATH = f"{QUARANTINE_PATH}/lift"
_HOLD_PATH = f"{QUARANTINE_PATH}/hold"


class QuarantineApi:
    """Handles operators' requests to the quarantine API.

    :param table: quarantine table of this sidecar.
    :param operator_digest: returns the SHA-256 digest of the operator's token; empty disables
        changes.
    :param fallback: handles requests for other paths.
    """

    def __init__(
        self,
        table: Quarantine,
        operator_digest: Callable[[], str],
        log: Any,
        fallback: SmallHandler,
    ) -> None:
        self._table = table
        self._operator_digest = operator_digest
        self._log = log
        self._fallback = fallback

    def handle(self, method: str, path: str, body: bytes) -> SmallAnswer:
        """Handle one HTTP request."""
        match method, path:
            case "GET", _ if path == QUARANTINE_PATH:
                return _answer(HTTPStatus.OK, {"held": self._list_entries()})
            case "POST", _ if path == _LIFT_PATH:
                return self._change(body, self._lift)
            case "POST", _ if path == _HOLD_PATH:
                return self._change(body, self._quarantine)
            case _:
                return self._fallback(method, path, body)

    def _list_entries(self) -> list[dict[str, Any]]:
        return [
            {
                "identity": entry.identity.hex(),
                "service": entry.service,
                "seconds_left": round(self._table.seconds_left(entry.identity), 1),
                "ends": len(entry.crashes),
            }
            for entry in self._table.quarantined()
        ]

    def _change(
        self, body: bytes, change: Callable[[Identity, dict[str, Any]], Result[None, str]]
    ) -> SmallAnswer:
        """Validate a request for a change and apply it.

        :param change: applies the change for an identity and the body; returns a problem with the
            body, if any.
        """
        read = _json_object(body)
        if isinstance(read, Err):
            return _problem(HTTPStatus.BAD_REQUEST, read.err_value)
        value = read.ok_value
        if not self._is_operator(value.get("token", "")):
            return _problem(
                HTTPStatus.FORBIDDEN, "token: does not match this sidecar's operator token"
            )
        identity = _identity(value.get("identity"))
        if identity is None:
            return _problem(
                HTTPStatus.BAD_REQUEST,
                f"identity: must be a string of {2 * IDENTITY_BYTES} hexadecimal digits",
            )
        outcome = change(identity, value)
        if isinstance(outcome, Err):
            return _problem(HTTPStatus.BAD_REQUEST, outcome.err_value)
        return _answer(HTTPStatus.OK, {})

    def _is_operator(self, token: Any) -> bool:
        expected = self._operator_digest()
        return bool(expected) and secret_digest(str(token).encode()) == expected

    def _lift(self, identity: Identity, _value: dict[str, Any]) -> Result[None, str]:
        if not self._table.lift(identity):
            return Err("identity: not quarantined or suspected at this sidecar")
        self._log.warning("hold_lifted", identity=identity.hex())
        return Ok(None)

    def _quarantine(self, identity: Identity, value: dict[str, Any]) -> Result[None, str]:
        service, seconds = value.get("service"), value.get("seconds")
        if not isinstance(service, str) or not service:
            return Err("service: must be a non-empty string")
        if isinstance(seconds, bool) or not isinstance(seconds, int | float):
            return Err("seconds: must be a number")
        if not 0 < seconds <= MAX_QUARANTINE_SECONDS:
            return Err(f"seconds: must be above 0 and at most {MAX_QUARANTINE_SECONDS:.0f} s")
        self._table.quarantine(service, identity, float(seconds))
        self._log.warning("hold_added", identity=identity.hex(), service=service, seconds=seconds)
        return Ok(None)


def _json_object(body: bytes) -> Result[dict[str, Any], str]:
    """Parse a body as a JSON object; return it or the problem."""
    try:
        value = read_json_text(body)
    except JsonTextError as error:
        return Err(f"the body must be a JSON object: {error}")
    return Ok(value) if isinstance(value, dict) else Err("the body must be a JSON object")


def _identity(value: Any) -> Identity | None:
    """Parse a request identity from hexadecimal digits; return None if it is malformed."""
    if not isinstance(value, str):
        return None
    try:
        identity = bytes.fromhex(value)
    except ValueError:
        return None
    return identity if len(identity) == IDENTITY_BYTES else None


def _answer(status: int, value: dict[str, Any]) -> SmallAnswer:
    return SmallAnswer(status, json.dumps(value).encode())


def _problem(status: int, text: str) -> SmallAnswer:
    return _answer(status, {"problems": [text]})
