"""The HTTP calls of operators on quarantined requests, at the port of a sidecar's metrics.

``GET /v1/quarantine`` lists them. ``POST /v1/quarantine/lift`` clears one, by its ``identity``;
``POST /v1/quarantine/hold`` quarantines one, by ``identity``, ``service`` and ``seconds``. Both
need the operator's ``token`` in their JSON body, and count at every sidecar. On the wire a
quarantined request is ``held``, and crashes are ``ends``.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from cranklane.common.secret_digest import secret_digest
from cranklane.common.small_http import SmallAnswer, SmallHandler
from cranklane.sidecar.quarantine.rules import MAX_QUARANTINE_SECONDS
from cranklane.sidecar.quarantine.table import Quarantine
from cranklane.sidecar.request.identity import IDENTITY_BYTES, Identity

QUARANTINE_PATH = "/v1/quarantine"
_LIFT_PATH = f"{QUARANTINE_PATH}/lift"
_HOLD_PATH = f"{QUARANTINE_PATH}/hold"


class QuarantineApi:
    """Answers operators.

    :param table: what this sidecar knows of quarantined requests.
    :param operator_digest: SHA-256 digest of the operator's token; empty: nobody may change.
    :param other: answers all other calls.
    """

    def __init__(
        self,
        table: Quarantine,
        operator_digest: Callable[[], str],
        log: Any,
        other: SmallHandler,
    ) -> None:
        self._table = table
        self._operator_digest = operator_digest
        self._log = log
        self._other = other

    def handle(self, method: str, path: str, body: bytes) -> SmallAnswer:
        """Answer one call."""
        match method, path:
            case "GET", _ if path == QUARANTINE_PATH:
                return _answer(HTTPStatus.OK, {"held": self._listed()})
            case "POST", _ if path == _LIFT_PATH:
                return self._change(body, self._lift)
            case "POST", _ if path == _HOLD_PATH:
                return self._change(body, self._quarantine)
            case _:
                return self._other(method, path, body)

    def _listed(self) -> list[dict[str, Any]]:
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
        """Check a call that changes something, make the change, and answer.

        :param change: takes the identity and the body; returns a problem of the body, if any.
        """
        value = _json_object(body)
        if value is None:
            return _problem(HTTPStatus.BAD_REQUEST, "the body is no JSON object")
        if not self._is_operator(value.get("token", "")):
            return _problem(
                HTTPStatus.FORBIDDEN, "the token is not that of an operator of this sidecar"
            )
        identity = _identity(value.get("identity"))
        if identity is None:
            return _problem(
                HTTPStatus.BAD_REQUEST,
                f"identity: {2 * IDENTITY_BYTES} hexadecimal digits are needed",
            )
        changed = change(identity, value)
        if isinstance(changed, Err):
            return _problem(HTTPStatus.BAD_REQUEST, changed.err_value)
        return _answer(HTTPStatus.OK, {})

    def _is_operator(self, token: Any) -> bool:
        expected = self._operator_digest()
        return bool(expected) and secret_digest(str(token).encode()) == expected

    def _lift(self, identity: Identity, _value: dict[str, Any]) -> Result[None, str]:
        if not self._table.lift(identity):
            return Err("identity: no such request is held or suspected here")
        self._log.warning("hold_lifted", identity=identity.hex())
        return Ok(None)

    def _quarantine(self, identity: Identity, value: dict[str, Any]) -> Result[None, str]:
        service, seconds = value.get("service"), value.get("seconds")
        if not isinstance(service, str) or not service:
            return Err("service: a name is needed")
        if isinstance(seconds, bool) or not isinstance(seconds, int | float):
            return Err("seconds: a number is needed")
        if not 0 < seconds <= MAX_QUARANTINE_SECONDS:
            return Err(f"seconds: a number up to {MAX_QUARANTINE_SECONDS:.0f} is needed")
        self._table.quarantine(service, identity, float(seconds))
        self._log.warning("hold_added", identity=identity.hex(), service=service, seconds=seconds)
        return Ok(None)


def _json_object(body: bytes) -> dict[str, Any] | None:
    """Return the JSON object that a body holds, None for anything else."""
    try:
        value = json.loads(body)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None


def _identity(value: Any) -> Identity | None:
    """Return the identity that hexadecimal digits name, None for anything else."""
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
