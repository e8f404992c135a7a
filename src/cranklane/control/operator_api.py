"""The operators' HTTP interface of a control process."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import falcon
import gevent
from result import Err

from cranklane.control.editor import Edit
from cranklane.control.store import ROOT, EditResult

if TYPE_CHECKING:
    from cranklane.control.process import ControlProcess

MAX_WAIT_SECONDS = 60.0
MAX_DOCUMENT_BYTES = 1024 * 1024
ALL_TENANTS = "*"
_BEARER = "bearer "


@dataclass(frozen=True)
class Operator:
    """Who drives the system.

    :ivar scope: the one tenant this operator may see and change, or ``*``.
    """

    name: str
    scope: str

    def may_use(self, document: str) -> bool:
        """Return whether a document is within the operator's scope."""
        return self.scope in (ALL_TENANTS, document)


class OperatorApi:
    """The WSGI application."""

    def __init__(self, process: ControlProcess, operators: list[str]) -> None:
        self._process = process
        self._operators = _read_operators(operators)
        self.application = falcon.App()
        self.application.req_options.auto_parse_form_urlencoded = False
        add = self.application.add_route
        add("/v1/documents", self, suffix="documents")
        add("/v1/documents/{name}", self, suffix="document")
        add("/v1/documents/{name}/history", self, suffix="history")
        add("/v1/wait", self, suffix="wait")
        add("/v1/status", self, suffix="status")

    def _operator(self, request: falcon.Request) -> Operator:
        credentials = request.auth or ""
        if credentials.lower().startswith(_BEARER):
            token = credentials[len(_BEARER) :].strip()
            operator = self._operators.get(hashlib.sha256(token.encode()).hexdigest())
            if operator is not None:
                return operator
        raise falcon.HTTPUnauthorized(description="an operator's token is needed")

    def _within_scope(self, request: falcon.Request, name: str) -> Operator:
        operator = self._operator(request)
        if not operator.may_use(name):
            # Not "forbidden": another tenant's operator must not learn what exists.
            raise falcon.HTTPNotFound(description=f"no document {name}")
        return operator

    def on_get_documents(self, request: falcon.Request, response: falcon.Response) -> None:
        """List the documents within the operator's scope."""
        operator = self._operator(request)
        response.media = {
            "documents": [
                {"name": document.name, "version": document.version}
                for document in self._process.store.documents()
                if operator.may_use(document.name)
            ]
        }

    def on_get_document(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Return one document."""
        self._within_scope(request, name)
        document = self._process.store.document(name)
        if document is None:
            raise falcon.HTTPNotFound(description=f"no document {name}")
        response.media = {"name": name, "version": document.version, "text": document.text}

    def on_put_document(
        self, request: falcon.Request, response: falcon.Response, name: str
    ) -> None:
        """Edit one document; answers 409 with the newer text on a conflict."""
        operator = self._within_scope(request, name)
        edit = _read_edit(request, name, operator.name)
        result = self._process.editor.submit(edit)
        if isinstance(result, Err):
            problem = result.err_value
            response.status = falcon.code_to_http_status(problem.status)
            response.media = {"problems": problem.problems, "not_run": problem.not_run}
            return
        answer = result.ok_value
        response.media = {
            "result": answer.result.name.lower(),
            "version": answer.version,
            "repeated": answer.repeated,
        }
        if answer.result is EditResult.CONFLICT:
            document = self._process.store.document(name)
            response.status = falcon.HTTP_409
            response.media["text"] = document.text if document is not None else ""

    def on_get_history(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        """Return a document's accepted edits, newest first."""
        self._within_scope(request, name)
        response.media = {
            "history": [
                {
                    "version": entry.version,
                    "base": entry.base,
                    "when": entry.when,
                    "operator": entry.operator,
                    "text": entry.text,
                }
                for entry in self._process.store.history(name)
            ]
        }

    def on_get_wait(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return when a version is in force on all live nodes, or who is behind."""
        self._operator(request)
        version = request.get_param_as_int("version", required=True, min_value=0)
        seconds = request.get_param_as_float(
            "seconds", default=10.0, min_value=0.0, max_value=MAX_WAIT_SECONDS
        )
        until = self._process.runtime.monotonic() + seconds
        behind = self._process.behind(version)
        while behind and self._process.runtime.monotonic() < until:
            gevent.sleep(0.05)
            behind = self._process.behind(version)
        response.media = {"version": version, "in_force": not behind, "behind": behind}

    def on_get_status(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the state of control and the members it knows."""
        operator = self._operator(request)
        response.media = self._process.status(operator.scope)


def _read_operators(lines: list[str]) -> dict[str, Operator]:
    operators = {}
    for line in lines:
        name, scope, digest = line.split(":")
        operators[digest] = Operator(name, scope)
    return operators


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
