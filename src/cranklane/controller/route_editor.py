"""Puts an operator's whole route table in force, or says why not.

Owns nothing: the store judges a table, the replica commits it.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any

from result import Err, Ok, Result

from cranklane.controller.route_store import RouteTableStore, TableResult
from cranklane.records.messages import RouteTableCommand
from cranklane.replication.replica import Replica
from cranklane.routes.document import MAX_NUMBER, pack_document, read_json, read_table


class RefusalKind(IntEnum):
    """Why a table was not put in force."""

    INVALID = 1
    CONFLICT = 2
    NOT_LEADING = 3
    """Nothing was changed by this process."""
    UNCERTAIN = 4
    """Whether it is in force is not known; it may be sent again."""


@dataclass(frozen=True)
class TableRefusal:
    """Why a table was not put in force, with texts for the operator."""

    kind: RefusalKind
    problems: list[str] = field(default_factory=list)


class RouteEditor:
    """Checks route tables and commits them.

    :param voters_needed: voters the group must have had before its first table
        is taken, so that as many disks as planned for may be lost after it.
    """

    def __init__(self, store: RouteTableStore, replica: Replica, voters_needed: int) -> None:
        self._store = store
        self._replica = replica
        self._voters_needed = voters_needed

    def replace(self, data: bytes) -> Result[int, TableRefusal]:
        """Put a document in force; return its version."""
        if not self._replica.may_read:
            return Err(TableRefusal(RefusalKind.NOT_LEADING, ["this process does not lead"]))
        read = self._read(data)
        if isinstance(read, Err):
            return read
        command = read.ok_value
        expected = self._store.judge(command)
        if expected is not TableResult.TAKEN:
            if not self._replica.may_read:
                # The lease was lost meanwhile: a newer table may be in force elsewhere.
                return Err(TableRefusal(RefusalKind.NOT_LEADING))
            return Err(self._refusal(expected, command))
        if self._store.was_taken(command.digest):
            return Ok(command.version)
        return self._commit(command)

    def _read(self, data: bytes) -> Result[RouteTableCommand, TableRefusal]:
        document = read_json(data)
        if isinstance(document, Err):
            return Err(TableRefusal(RefusalKind.INVALID, document.err_value))
        body = document.ok_value
        digest = _digest(body)
        base = body.get("base", 0)
        if isinstance(base, bool) or not isinstance(base, int) or not 0 <= base <= MAX_NUMBER:
            return Err(TableRefusal(RefusalKind.INVALID, [f"base: found {base!r}"]))
        table = read_table(body)
        if isinstance(table, Err):
            return Err(TableRefusal(RefusalKind.INVALID, table.err_value))
        return Ok(RouteTableCommand(table.ok_value.version, base, digest, pack_document(data)))

    def _commit(self, command: RouteTableCommand) -> Result[int, TableRefusal]:
        if not self._replica.members_suffice(self._voters_needed) and self._store.revision == 0:
            problem = "the group of control processes is still forming"
            return Err(TableRefusal(RefusalKind.UNCERTAIN, [problem]))
        proposed = self._replica.propose(command.pack())
        if isinstance(proposed, Err):
            return Err(TableRefusal(RefusalKind.UNCERTAIN, [proposed.err_value.value]))
        result: TableResult = proposed.ok_value
        if result is TableResult.TAKEN:
            return Ok(command.version)
        return Err(self._refusal(result, command))

    def _refusal(self, result: TableResult, command: RouteTableCommand) -> TableRefusal:
        current = self._store.version
        if result is TableResult.CONFLICT:
            problem = f"builds on version {command.base}, but {current} is in force"
            return TableRefusal(RefusalKind.CONFLICT, [problem])
        problem = f"version {command.version} is not above {current}, which is in force"
        return TableRefusal(RefusalKind.INVALID, [problem])


def _digest(document: dict[str, Any]) -> bytes:
    """Return a digest that equal documents share, however they are laid out."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).digest()
