"""HTTP API of a control process for operators.

Holds no state: decodes requests and calls the store, the editor and the membership changes.
Requests that need the leader are refused by other replicas with the leader's address.
"""

from __future__ import annotations

import base64
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import falcon
import gevent
from falcon.media import JSONHandler
from result import Err, Ok, Result

from cranklane.common.strict_json import read_json_text
from cranklane.control import backup
from cranklane.control.editor import Edit, Editor, EditProblem
from cranklane.control.operators import ALL_TENANTS, Operator, Operators
from cranklane.control.status import ControlStatus
from cranklane.control.store import ROOT, ConfigurationStore, EditResult
from cranklane.replication.membership_change import ChangeFailure, MembershipChange
from cranklane.replication.replica import Replica

DEFAULT_WAIT_SECONDS = 10.0
MAX_WAIT_SECONDS = 60.0
"""Longest wait for a version to be in force; below usual timeouts of HTTP clients."""

WAIT_POLL_SECONDS = 0.05
"""Interval at which a wait checks the versions of nodes."""

MAX_DOCUMENT_CHARACTERS = 1024 * 1024
"""Maximum length of a document's text; far above the policy of one tenant."""


class OperatorApi:
    """WSGI application for documents, status, replicas and backups.

    :param clock: returns monotonic seconds.
    :param operators: operators with access.
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
        handler = JSONHandler(loads=read_json_text)
        self.application.req_options.media_handlers[falcon.MEDIA_JSON] = handler
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

    def _authenticate(self, request: falcon.Request) -> Operator:
        operator = self._operators.authenticate(request.auth)
        if operator is None:
            raise falcon.HTTPUnauthorized(description="the bearer token of an operator is required")
        return operator

    def _authorize(self, request: falcon.Request, name: str) -> Operator:
        operator = self._authenticate(request)
        if not operator.may_access(name):
            # 404 rather than 403: an operator must not learn which other documents exist.
            raise falcon.HTTPNotFound(description=f"no document {name}")
        return operator

    def on_get_documents(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return names and versions of the documents in the operator's scope."""
        operator = self._authenticate(request)
        if not self._check_leader(response):
            return
        response.media = {
            "documents": [
                {"name": document.name, "version": document.version}
                for document in self._store.documents()
                if operator.may_access(document.name)
            ]
        }

    def on_get_document(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Return one document."""
        self._authorize(request, name)
        if not self._check_leader(response):
            return
        document = self._store.document(name)
        if document is None:
            raise falcon.HTTPNotFound(description=f"no document {name}")
        response.media = {"name": name, "version": document.version, "text": document.text}

    def on_put_document(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Edit one document; on a conflict, respond with 409 and the current text."""
        operator = self._authorize(request, name)
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
        self._authorize(request, name)
        if not self._check_leader(response):
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
        """Wait until a version is in force on all live nodes; return the nodes still behind."""
        self._authenticate(request)
        version = request.get_param_as_int("version", required=True, min_value=0)
        seconds = request.get_param_as_float(
            "seconds", default=DEFAULT_WAIT_SECONDS, min_value=0.0, max_value=MAX_WAIT_SECONDS
        )
        deadline = self._clock() + seconds
        behind = self._status.nodes_behind(version)
        while behind and self._clock() < deadline:
            gevent.sleep(WAIT_POLL_SECONDS)
            behind = self._status.nodes_behind(version)
        response.media = {"version": version, "in_force": not behind, "behind": behind}

    def on_get_status(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the status of this process and the members in the operator's scope."""
        operator = self._authenticate(request)
        response.media = self._status.for_scope(operator.scope)

    def on_get_replicas(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the replicas of the group known to this process."""
        self._require_all_tenants(request)
        response.media = self._status.group()

    def on_delete_replica(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Remove a replica from the group, unless this puts the quorum at risk."""
        self._require_all_tenants(request)
        if self._check_leader(response):
            self._write_change_result(response, self._changes.remove(name))

    def on_put_replica(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        """Set whether a learner becomes a voter once it has caught up."""
        self._require_all_tenants(request)
        media = request.get_media()
        voter = media.get("voter") if isinstance(media, dict) else None
        if not isinstance(voter, bool):
            raise falcon.HTTPBadRequest(description="voter: expected true or false")
        if self._check_leader(response):
            self._write_change_result(response, self._changes.promote(name, voter))

    def on_get_snapshot(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return a backup of the configuration, in base64."""
        self._require_all_tenants(request)
        if self._check_leader(response):
            data = backup.create(self._replica)
            response.media = {"snapshot": base64.b64encode(data).decode()}

    @staticmethod
    def _write_change_result(
        response: falcon.Response, result: Result[None, ChangeFailure]
    ) -> None:
        if isinstance(result, Ok):
            response.media = {"result": "accepted"}
            return
        status, problem = _CHANGE_PROBLEMS[result.err_value]
        response.status = status
        response.media = {"problems": [problem]}

    def _require_all_tenants(self, request: falcon.Request) -> None:
        if self._authenticate(request).scope != ALL_TENANTS:
            raise falcon.HTTPForbidden(
                description="an operator with the scope of all tenants is required"
            )

    def _check_leader(self, response: falcon.Response) -> bool:
        """Return whether this process holds the leader's lease; otherwise write the refusal."""
        if self._replica.may_read:
            return True
        _write_problem(response, self._editor.not_leader_problem())
        return False


_CHANGE_PROBLEMS = {
    ChangeFailure.NOT_LEADER: (
        HTTPStatus.SERVICE_UNAVAILABLE,
        "this control process is not the leader",
    ),
    ChangeFailure.BUSY: (
        HTTPStatus.CONFLICT,
        "another membership change is in progress; try again",
    ),
    ChangeFailure.UNKNOWN_NAME: (HTTPStatus.NOT_FOUND, "no replica has this name"),
    ChangeFailure.QUORUM_AT_RISK: (
        HTTPStatus.CONFLICT,
        "too few of the remaining voters respond; add a voter first",
    ),
    ChangeFailure.OUTCOME_UNKNOWN: (
        HTTPStatus.SERVICE_UNAVAILABLE,
        "it is unknown whether the change was committed; check the list of replicas",
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
            ("base", int, "the version that the edit is based on, 0 for a new document"),
            ("request", str, "an id that retries repeat"),
        )
        if not isinstance(media.get(key), kind)
    ]
    if not problems and len(media["text"]) > MAX_DOCUMENT_CHARACTERS:
        problems.append(f"text: longer than {MAX_DOCUMENT_CHARACTERS} characters")
    if not problems and not media["request"]:
        problems.append("request: is empty; expected an id that retries repeat")
    if problems:
        raise falcon.HTTPBadRequest(description="; ".join(problems))
    return Edit(name or ROOT, media["text"], media["base"], operator, media["request"])
