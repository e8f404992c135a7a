"""Validates and commits an operator's route table.

Holds no state: the store decides whether a table is accepted, the replica commits it.
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
from cranklane.routes.document import base_of, pack_document, read_json, read_table


class RefusalKind(IntEnum):
    """Reason why a table was not put in force."""

    INVALID = 1
    CONFLICT = 2
    NOT_LEADING = 3
    """This process does not lead and has changed nothing."""
    UNCERTAIN = 4
    """It is unknown whether the table was committed; the request can be repeated."""


@dataclass(frozen=True)
class TableRefusal:
    """Reason why a table was not put in force, with messages for the operator."""

    kind: RefusalKind
    problems: list[str] = field(default_factory=list)


class RouteEditor:
    """Validates and commits route tables.

    :param voters_needed: number of voters before the first table is accepted, so that an
        accepted table survives the tolerated loss of disks.
    """

    def __init__(self, store: RouteTableStore, replica: Replica, voters_needed: int) -> None:
        self._store = store
        self._replica = replica
        self._voters_needed = voters_needed

    def replace(self, data: bytes) -> Result[int, TableRefusal]:
        """Commit a document and return its version."""
        if not self._replica.may_read:
            return Err(TableRefusal(RefusalKind.NOT_LEADING, ["this process is not the leader"]))
        read_result = self._read_command(data)
        if isinstance(read_result, Err):
            return read_result
        command = read_result.ok_value
        expected_result = self._store.expected_result(command)
        if expected_result is not TableResult.ACCEPTED:
            if not self._replica.may_read:
                # The lease has expired, so another leader may have a newer table.
                return Err(TableRefusal(RefusalKind.NOT_LEADING))
            return Err(self._refusal(expected_result, command))
        if self._store.was_accepted(command.digest):
            return Ok(command.version)
        return self._commit(command)

    def _read_command(self, data: bytes) -> Result[RouteTableCommand, TableRefusal]:
        document = read_json(data)
        if isinstance(document, Err):
            return Err(TableRefusal(RefusalKind.INVALID, document.err_value))
        body = document.ok_value
        digest = _digest(body)
        base = base_of(body)
        if isinstance(base, Err):
            return Err(TableRefusal(RefusalKind.INVALID, [base.err_value]))
        table = read_table(body)
        if isinstance(table, Err):
            return Err(TableRefusal(RefusalKind.INVALID, table.err_value))
        return Ok(
            RouteTableCommand(table.ok_value.version, base.ok_value, digest, pack_document(data))
        )

    def _commit(self, command: RouteTableCommand) -> Result[int, TableRefusal]:
        if not self._replica.members_suffice(self._voters_needed) and self._store.revision == 0:
            problem = "the group of controllers has too few voters yet; try again"
            return Err(TableRefusal(RefusalKind.UNCERTAIN, [problem]))
        proposed = self._replica.propose(command.pack())
        if isinstance(proposed, Err):
            return Err(TableRefusal(RefusalKind.UNCERTAIN, [proposed.err_value.value]))
        result: TableResult = proposed.ok_value
        if result is TableResult.ACCEPTED:
            return Ok(command.version)
        return Err(self._refusal(result, command))

    def _refusal(self, result: TableResult, command: RouteTableCommand) -> TableRefusal:
        current_version = self._store.version
        if result is TableResult.CONFLICT:
            problem = f"base is version {command.base}, but version {current_version} is in force"
            return TableRefusal(RefusalKind.CONFLICT, [problem])
        problem = (
            f"version {command.version} is not above version {current_version}, which is in force"
        )
        return TableRefusal(RefusalKind.INVALID, [problem])


def _digest(document: dict[str, Any]) -> bytes:
    """Return a digest that ignores key order and white space."""
    text = json.dumps(document, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).digest()
