"""Reads the route table in force from controllers."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

from result import Err, Ok, Result

from cranklane.cli.client import OperatorClient
from cranklane.routes.document import read_table

ROUTE_TABLE_PATH = "/v1/route-table"
GROUP_PATH = "/v1/group"

READ_TIMEOUT_SECONDS = 5.0
"""Seconds without a byte after which a controller counts as unreachable; it reads from memory."""


def read_table_in_force(controls: list[str]) -> Result[dict[str, Any] | None, list[str]]:
    """Return the document in force, None if there is none, or why it cannot be read.

    :param controls: ``host:port`` of each controller to try.
    """
    client = OperatorClient(controls, "", READ_TIMEOUT_SECONDS)
    answer = client.call("GET", ROUTE_TABLE_PATH)
    if isinstance(answer, Err):
        problem = answer.err_value
        if problem.status == HTTPStatus.NOT_FOUND:
            return _confirm_no_table(client)
        return Err([f"the table in force cannot be read: {line}" for line in problem.lines])
    document = answer.ok_value
    if not isinstance(document, dict) or isinstance(read_table(document), Err):
        return Err(["the table in force is not one that this release can read"])
    return Ok(document)


def _confirm_no_table(client: OperatorClient) -> Result[dict[str, Any] | None, list[str]]:
    """Return None if the process that has no table is a controller.

    Any HTTP server responds with 404 to a path that it does not know.
    """
    group = client.call("GET", GROUP_PATH)
    if isinstance(group, Err) or not isinstance(group.ok_value, dict):
        return Err(["--control: the address is not that of a controller"])
    if "replicas" not in group.ok_value:
        return Err(["--control: the address is not that of a controller"])
    return Ok(None)
