"""The operators' HTTP interface of a control process.

Owns nothing: it reads requests, asks the store, the editor and the membership changes, and
writes answers. What only a leader may answer is refused elsewhere with where the leader is.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import falcon
import gevent
from result import Err, Ok, Result

from cranklane.control import backup
from cranklane.control.editor import Edit, Editor, EditProblem
from cranklane.control.operators import ALL_TENANTS, Operator, Operators
from cranklane.control.status import ControlStatus
from cranklane.control.store import ROOT, ConfigurationStore, EditResult
from cranklane.replication.membership_change import ChangeFailure, MembershipChange
from cranklane.replication.replica import Replica

DEFAULT_WAIT_SECONDS = 10.0
MAX_WAIT_SECONDS = 60.0
"""Longest wait for a version to be in force. A choice: below usual timeouts of HTTP clients."""

WAIT_STEP_SECONDS = 0.05
"""Between looks at the nodes during a wait. A choice."""

MAX_DOCUMENT_BYTES = 1024 * 1024
"""Longest text of a document, in characters. A choice: far above a tenant's policy."""


class OperatorApi:
    """The WSGI application.

    :param operators: who may use it.
    """

    def __init__(
        self,
        status: ControlStatus,
        store: ConfigurationStore,
        replica: Replica,
        editor: Editor,
        changes: MembershipChange,
        clock: Callable[[], float],
        operators: Operators,
    ) -> None:
        self._status = status
        self._store = store
        self._replica = replica
        self._editor = editor
        self._changes = changes
        self._clock = clock
        self._operators = operators
        self.application = falcon.App()
        self.application.req_options.auto_parse_form_urlencoded = False
        add = self.application.add_route
        add("/v1/documents", self, suffix="documents")
        add("/v1/documents/{name}", self, suffix="document")
        add("/v1/documents/{name}/history", self, suffix="history")
        add("/v1/wait", self, suffix="wait")
        add("/v1/status", self, suffix="status")
        add("/v1/replicas", self, suffix="replicas")
        add("/v1/replicas/{name}", self, suffix="replica")
        add("/v1/snapshot", self, suffix="snapshot")

    def _operator(self, request: falcon.Request) -> Operator:
        operator = self._operators.authenticate(request.auth)
        if operator is None:
            raise falcon.HTTPUnauthorized(description="an operator's token is needed")
        return operator

    def _within_scope(self, request: falcon.Request, name: str) -> Operator:
        operator = self._operator(request)
        if not operator.may_use(name):
            # Not "forbidden": another tenant's operator must not learn what exists.
            raise falcon.HTTPNotFound(description=f"no document {name}")
        return operator

    def on_get_documents(self, request: falcon.Request, response: falcon.Response) -> None:
        """List the documents within the operator's scope."""
        operator = self._operator(request)
        if not self._may_read(response):
            return
        response.media = {
            "documents": [
                {"name": document.name, "version": document.version}
                for document in self._store.documents()
                if operator.may_use(document.name)
            ]
        }

    def on_get_document(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Return one document."""
        self._within_scope(request, name)
        if not self._may_read(response):
            return
        document = self._store.document(name)
        if document is None:
            raise falcon.HTTPNotFound(description=f"no document {name}")
        response.media = {"name": name, "version": document.version, "text": document.text}

    def on_put_document(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Edit one document; answers 409 with the newer text on a conflict."""
        operator = self._within_scope(request, name)
        edit = _read_edit(request, name, operator.name)
        result = self._editor.submit(edit)
        if isinstance(result, Err):
            _write_problem(response, result.err_value)
            return
        answer = result.ok_value
        response.media = {
            "result": answer.result.name.lower(),
            "version": answer.version,
            "repeated": answer.repeated,
        }
        if answer.result is EditResult.CONFLICT:
            document = self._store.document(name)
            response.status = HTTPStatus.CONFLICT
            response.media["text"] = document.text if document is not None else ""

    def on_get_history(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        """Return a document's accepted edits, newest first."""
        self._within_scope(request, name)
        if not self._may_read(response):
            return
        response.media = {
            "history": [
                {
                    "version": entry.version,
                    "base": entry.base,
                    "when": entry.when,
                    "operator": entry.operator,
                    "text": entry.text,
                }
                for entry in self._store.history(name)
            ]
        }

    def on_get_wait(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return when a version is in force on all live nodes, or who is behind."""
        self._operator(request)
        version = request.get_param_as_int("version", required=True, min_value=0)
        seconds = request.get_param_as_float(
            "seconds", default=DEFAULT_WAIT_SECONDS, min_value=0.0, max_value=MAX_WAIT_SECONDS
        )
        until = self._clock() + seconds
        behind = self._status.nodes_behind(version)
        while behind and self._clock() < until:
            gevent.sleep(WAIT_STEP_SECONDS)
            behind = self._status.nodes_behind(version)
        response.media = {"version": version, "in_force": not behind, "behind": behind}

    def on_get_status(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the state of control and the members it knows."""
        operator = self._operator(request)
        response.media = self._status.within(operator.scope)

    def on_get_replicas(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the replicas of the control group as this process knows them."""
        self._for_all(request)
        response.media = self._status.group()

    def on_delete_replica(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Remove a replica from the group, unless that puts its quorum at risk."""
        self._for_all(request)
        if self._may_read(response):
            self._write_change(response, self._changes.remove(name))

    def on_put_replica(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        """State whether a learner is to vote once it has caught up."""
        self._for_all(request)
        media = request.get_media()
        voter = media.get("voter") if isinstance(media, dict) else None
        if not isinstance(voter, bool):
            raise falcon.HTTPBadRequest(description="voter: expected true or false")
        if self._may_read(response):
            self._write_change(response, self._changes.promote(name, voter))

    def on_get_snapshot(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return a back-up of all that is accepted, in base 64."""
        self._for_all(request)
        if self._may_read(response):
            data = backup.take(self._replica)
            response.media = {"snapshot": base64.b64encode(data).decode()}

    @staticmethod
    def _write_change(response: falcon.Response, result: Result[None, ChangeFailure]) -> None:
        if isinstance(result, Ok):
            response.media = {"result": "accepted"}
            return
        status, problem = _CHANGE_PROBLEMS[result.err_value]
        response.status = status
        response.media = {"problems": [problem]}

    def _for_all(self, request: falcon.Request) -> None:
        if self._operator(request).scope != ALL_TENANTS:
            raise falcon.HTTPForbidden(description="an operator of all tenants is needed")

    def _may_read(self, response: falcon.Response) -> bool:
        """Answer that another process leads, unless this one does for certain."""
        if self._replica.may_read:
            return True
        _write_problem(response, self._editor.not_leading())
        return False


_CHANGE_PROBLEMS = {
    ChangeFailure.NOT_LEADER: (
        HTTPStatus.SERVICE_UNAVAILABLE,
        "this control process does not lead",
    ),
    ChangeFailure.BUSY: (HTTPStatus.CONFLICT, "another change of replicas is under way; try again"),
    ChangeFailure.UNKNOWN_NAME: (HTTPStatus.NOT_FOUND, "no replica of this name"),
    ChangeFailure.QUORUM_AT_RISK: (
        HTTPStatus.CONFLICT,
        "too few of the voters that would be left answer now; add one first",
    ),
    ChangeFailure.NOT_KNOWN: (
        HTTPStatus.SERVICE_UNAVAILABLE,
        "whether the change was made is not known; look again",
    ),
}


def _write_problem(response: falcon.Response, problem: EditProblem) -> None:
    response.status = problem.status
    response.media = {
        "problems": problem.problems,
        "not_run": problem.not_run,
        "leader": problem.leader,
    }


def _read_edit(request: falcon.Request, name: str, operator: str) -> Edit:
    media: Any = request.get_media()
    if not isinstance(media, dict):
        raise falcon.HTTPBadRequest(description="expected an object with text, base, request")
    problems = [
        f"{key}: found {media.get(key)!r}; expected {expected}"
        for key, kind, expected in (
            ("text", str, "the document's text"),
            ("base", int, "the version the edit started from, 0 for a new document"),
            ("request", str, "an id that a resend carries again"),
        )
        if not isinstance(media.get(key), kind)
    ]
    if not problems and len(media["text"]) > MAX_DOCUMENT_BYTES:
        problems.append(f"text: longer than {MAX_DOCUMENT_BYTES} characters")
    if not problems and not media["request"]:
        problems.append("request: is empty")
    if problems:
        raise falcon.HTTPBadRequest(description="; ".join(problems))
    return Edit(name or ROOT, media["text"], media["base"], operator, media["request"])
