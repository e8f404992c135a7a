"""HTTP API of the controller for operators.

Only a leader that holds its lease serves the route table. Other replicas redirect to the leader
(307), or respond with 503 while none is known.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import falcon
from result import Ok

from cranklane.controller.route_editor import RefusalKind, RouteEditor, TableRefusal
from cranklane.controller.route_store import RouteTableStore
from cranklane.replication.replica import Replica
from cranklane.routes.document import MAX_DOCUMENT_BYTES

ROUTE_TABLE_PATH = "/v1/route-table"

_REFUSAL_STATUS = {
    RefusalKind.INVALID: HTTPStatus.BAD_REQUEST,
    RefusalKind.CONFLICT: HTTPStatus.PRECONDITION_FAILED,
    RefusalKind.NOT_LEADING: HTTPStatus.SERVICE_UNAVAILABLE,
    RefusalKind.UNCERTAIN: HTTPStatus.SERVICE_UNAVAILABLE,
}


class RouteApi:
    """WSGI application for route tables and the state of the group."""

    def __init__(
        self,
        replica: Replica,
        store: RouteTableStore,
        editor: RouteEditor,
        log: Any,
    ) -> None:
        self._replica = replica
        self._store = store
        self._editor = editor
        self._log = log
        self.application = falcon.App()
        self.application.req_options.auto_parse_form_urlencoded = False
        self.application.add_route(ROUTE_TABLE_PATH, self)
        self.application.add_route("/v1/group", self, suffix="group")

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Return the document in force; requires the leader's lease."""
        if not self._replica.may_read:
            self._redirect_to_leader(request, response)
            return
        document, version = self._store.document, self._store.version
        # The lease may have expired before the document was read.
        if not self._replica.may_read:
            response.status = HTTPStatus.SERVICE_UNAVAILABLE
            return
        if version == 0:
            response.status = HTTPStatus.NOT_FOUND
            return
        response.content_type = falcon.MEDIA_JSON
        response.data = document

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Replace the route table."""
        if not self._replica.may_read:
            self._redirect_to_leader(request, response)
            return
        data = request.bounded_stream.read(MAX_DOCUMENT_BYTES + 1)
        if len(data) > MAX_DOCUMENT_BYTES:
            # A number, because falcon's reason phrase differs from that of HTTPStatus.
            response.status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE.value
            return
        result = self._editor.replace(data)
        if isinstance(result, Ok):
            self._log.info("route_table_taken", version=result.ok_value)
            response.media = {"version": result.ok_value}
            return
        refusal: TableRefusal = result.err_value
        self._log.info(
            "route_table_refused", reason=refusal.kind.name.lower(), problems=refusal.problems[:3]
        )
        if refusal.kind is RefusalKind.NOT_LEADING:
            self._redirect_to_leader(request, response)
            return
        response.status = _REFUSAL_STATUS[refusal.kind]
        response.media = {"problems": refusal.problems}

    def on_get_group(self, _request: falcon.Request, response: falcon.Response) -> None:
        """Return the replicas of the group known to this process."""
        replica = self._replica
        response.media = {
            "term": replica.term,
            "leads": replica.may_read,
            "version": self._store.version,
            "replicas": [
                {
                    "name": member.name,
                    "voter": member.voter,
                    "leader": member.identity == replica.leader,
                }
                for member in replica.members.current
            ],
        }

    def _redirect_to_leader(self, request: falcon.Request, response: falcon.Response) -> None:
        """Redirect to the leader, or respond with 503 while none is known."""
        leader = self._replica.leader_member()
        if leader is None or leader.identity == self._replica.identity:
            response.status = HTTPStatus.SERVICE_UNAVAILABLE
            return
        response.status = HTTPStatus.TEMPORARY_REDIRECT
        response.set_header("Location", f"http://{leader.http}{request.path}")
