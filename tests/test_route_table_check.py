"""Check of a route table before it is sent: findings, differences and exit codes."""

from __future__ import annotations

import copy
import json
from contextlib import contextmanager
from types import SimpleNamespace

import pytest
from falcon.testing import TestClient
from gevent.pywsgi import WSGIServer
from result import Ok
from typer.testing import CliRunner

from cranklane.cli import client
from cranklane.cli.main import application
from cranklane.controller.route_api import ROUTE_TABLE_PATH, RouteApi
from cranklane.controller.route_editor import RouteEditor
from cranklane.controller.route_store import RouteTableStore
from cranklane.routes.checks.findings import Severity
from cranklane.routes.difference import Change, ChangeKind, difference
from cranklane.routes.document import MAX_DOCUMENT_BYTES
from cranklane.routes.review import review, review_successor

BUFFERED_BODY_BYTES = 65_536
PAY = {
    "host": "shop.example",
    "prefix": "/pay/",
    "repeat": "unsafe",
    "timeout_ms": 800,
    "objective_ms": 500,
    "max_attempts": 2,
    "service": "orders",
}
SHOP = {"keys": ["hush-hush"], "priority": 1, "rate_per_s": 187, "burst": 187}
DOCUMENT = {
    "version": 7,
    "base": 5,
    "routes": {"pay": PAY},
    "services": {"orders": {"health_path": "/healthz", "max_connections": 652}},
    "tenants": {"shop": SHOP},
    "limits": {"max_header_bytes": 16_384, "max_body_bytes": 1_000_000},
}
DELETED = object()


def changed(**values):
    """Return the document with values set, by path with ``__`` between names."""
    document = copy.deepcopy(DOCUMENT)
    for path, value in values.items():
        *parents, name = path.split("__")
        entry = document
        for parent in parents:
            entry = entry[parent]
        if value is DELETED:
            del entry[name]
        else:
            entry[name] = value
    return document


def findings(document):
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    return review(data, BUFFERED_BODY_BYTES).findings


def fields(document, severity):
    return [finding.field for finding in findings(document) if finding.severity is severity]


class Controller:
    """The API of a controller that leads, without a group.

    :param in_force: document in force; None for none.
    """

    def __init__(self, in_force=None, leader=""):
        self.store = RouteTableStore()
        self.replica = SimpleNamespace(
            may_read=not leader,
            identity=1,
            leader=2,
            term=1,
            members=SimpleNamespace(current=[]),
            leader_member=lambda: SimpleNamespace(identity=2, http=leader) if leader else None,
            members_suffice=lambda _voters: True,
            propose=lambda command: Ok(self.store.apply(command)),
        )
        editor = RouteEditor(self.store, self.replica, 1)
        log = SimpleNamespace(info=lambda *_, **__: None)
        self.api = RouteApi(self.replica, self.store, editor, log)
        if in_force is not None:
            assert editor.replace(json.dumps(in_force).encode()).is_ok()

    def post(self, data):
        return (
            TestClient(self.api.application).simulate_post(ROUTE_TABLE_PATH, body=data).status_code
        )


@contextmanager
def listening(application):
    """Serve a WSGI application on loopback; yield its address."""
    server = WSGIServer(("127.0.0.1", 0), application, log=None)
    server.start()
    yield f"127.0.0.1:{server.server_port}"
    server.stop()


def test_a_consistent_document_has_no_findings():
    assert findings(DOCUMENT) == []


SHARE = {"service": "orders", "weight": 1}
WITHOUT_SERVICE = {name: value for name, value in PAY.items() if name != "service"}
WITHOUT_OBJECTIVE = {**PAY, "max_attempts": 801}
del WITHOUT_OBJECTIVE["objective_ms"]
OTHER = {**PAY, "prefix": "/other/"}


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"routes": {}, "services": {}}, "routes"),
        ({"routes__pay__host": "https://shop.example"}, "routes.pay.host"),
        ({"routes__pay__host": "*.example"}, "routes.pay.host"),
        ({"routes__pay__host": "bücher.example"}, "routes.pay.host"),
        ({"routes__other": {**OTHER, "host": "Shop.example"}}, "routes.other.host"),
        ({"routes__other": {**OTHER, "host": "shop.example:80"}}, "routes.other.host"),
        ({"routes__pay__prefix": "/pay?x/"}, "routes.pay.prefix"),
        ({"routes__pay__prefix": "/pay/*/"}, "routes.pay.prefix"),
        ({"limits__max_header_bytes": 24}, "routes.pay"),
        ({"routes__pay__objective_ms": 900}, "routes.pay.objective_ms"),
        ({"routes__pay__max_attempts": 3}, "routes.pay.max_attempts"),
        ({"routes__pay": WITHOUT_OBJECTIVE}, "routes.pay.max_attempts"),
        ({"routes__pay": {**WITHOUT_SERVICE, "split": [SHARE, SHARE]}}, "routes.pay.split"),
        ({"routes__pay__split": [SHARE]}, "routes.pay.service"),
        ({"routes__pay__public": True, "tenants": DELETED}, "routes.pay.public"),
        ({"services__idle": {}}, "services.idle"),
        ({"services__orders__health_path": "healthz"}, "services.orders.health_path"),
        ({"services__orders__max_connections": 0}, "services.orders.max_connections"),
        ({"limits__max_body_bytes": 0}, "limits.max_body_bytes"),
        ({"limits__max_body_bytes": 16_383}, "limits.max_body_bytes"),
        ({"routes__pay__repeat": "upload", "limits__max_body_bytes": 65_536}, "routes.pay.repeat"),
        ({"tenants__none": {**SHOP, "keys": []}}, "tenants.none.keys"),
        ({"tenants": {}}, "tenants"),
        ({"tenants__shop__keys": ["hush-hush\n"]}, "tenants.shop.keys"),
        ({"tenants__shop__rate_per_s": 0.19}, "tenants.shop.rate_per_s"),
        ({"tenants__shop__burst": 0.9}, "tenants.shop.burst"),
        ({"tenants__shop__rate_per_s": DELETED}, "tenants.shop.burst"),
        (
            {"tenants__shop__priority": 256 // 2, "routes__pay__priority": 1},
            "tenants.shop.priority",
        ),
        ({"base": DELETED}, "base"),
        ({"routes__pay__timeout": 900}, "routes.pay.timeout"),
        ({"limits__max_bytes": 900}, "limits.max_bytes"),
    ],
)
def test_a_likely_mistake_is_one_warning(change, field):
    document = changed(**change)
    assert fields(document, Severity.WARNING) == [field]
    assert fields(document, Severity.ERROR) == []


def test_a_rate_of_zero_is_told_to_be_no_limit():
    document = changed(tenants__shop__rate_per_s=0, tenants__shop__burst=0)
    assert fields(document, Severity.WARNING) == ["tenants.shop.rate_per_s"]


def test_a_service_that_only_shares_of_weight_zero_lead_to_gets_no_requests():
    route = {**WITHOUT_SERVICE, "split": [SHARE, {"service": "stock", "weight": 0}]}
    document = changed(routes__pay=route, services__stock={})
    assert fields(document, Severity.WARNING) == ["routes.pay.split", "services.stock"]


def test_a_prefix_below_that_of_another_route_is_no_finding():
    assert findings(changed(routes__other={**PAY, "prefix": "/"})) == []


def test_a_name_that_is_stated_twice_is_a_warning_also_in_an_invalid_document():
    routes = f'{{"pay": {json.dumps(OTHER)}, "pay": {json.dumps(PAY)}}}'
    text = json.dumps({**DOCUMENT, "routes": "ROUTES"}).replace('"ROUTES"', routes)
    invalid = text.replace('"version": 7', '"version": 0')
    assert fields(text.encode(), Severity.WARNING) == ["routes.pay"]
    assert fields(invalid.encode(), Severity.WARNING) == ["routes.pay"]
    assert fields(invalid.encode(), Severity.ERROR) == ["version"]


def test_keys_that_are_wrongly_names_of_an_object_are_not_printed():
    text = json.dumps(changed(tenants__shop__keys="KEYS"))
    found = findings(text.replace('"KEYS"', '{"hush-hush": 1, "hush-hush": 2}').encode())
    assert [finding.field for finding in found] == ["tenants.shop.keys"]
    assert "hush" not in repr(found)


@pytest.mark.parametrize(
    ("document", "field"),
    [
        (b"{", ""),
        (b"[]", ""),
        (b" " * (MAX_DOCUMENT_BYTES + 1), ""),
        (changed(routes__pay__service="\ud800"), ""),
        (changed(base="5"), "base"),
        (changed(base=7), "version"),
        (changed(routes__other=PAY), "routes.other"),
        (changed(routes__pay__service="unknown"), "routes.pay"),
        (changed(routes__pay__timeout_ms=0), "routes.pay.timeout_ms"),
        (changed(limits__max_header_bytes=0), "limits.max_header_bytes"),
    ],
)
def test_what_a_controller_refuses_is_an_error(document, field):
    assert fields(document, Severity.ERROR) == [field]
    data = document if isinstance(document, bytes) else json.dumps(document).encode()
    # The version in force is the base of the documents, so that no conflict is the cause.
    in_force = {**DOCUMENT, "version": 7 if field == "version" else 5, "base": 0}
    assert Controller(in_force).post(data) in (400, 413)


def test_a_deeply_nested_document_is_refused_without_an_exception():
    document = b'{"a": "\\u00fc", "b": ' + b"[" * 900 + b"]" * 900 + b"}"
    assert {finding.severity for finding in findings(document)} >= {Severity.ERROR}
    assert Controller().post(document) == 400


@pytest.mark.parametrize(
    ("in_force", "expected"),
    [
        (changed(version=5, base=1), []),
        (DOCUMENT, []),
        (changed(version=6), ["base"]),
        (changed(version=8), ["base", "version"]),
        (None, ["base"]),
    ],
)
def test_version_and_base_must_follow_the_table_in_force(in_force, expected):
    assert [finding.field for finding in review_successor(DOCUMENT, in_force)] == expected


def test_the_difference_names_each_changed_field_but_no_key():
    split = [{"service": "orders", "weight": 9}, {"service": "stock", "weight": 1}]
    after = changed(
        routes__new=OTHER,
        routes__pay={**WITHOUT_SERVICE, "timeout_ms": 900, "split": split},
        services__stock={},
        services__orders__max_connections=9,
        tenants__shop__keys=["hush-hush", "hush-more"],
        tenants__shop__burst=9,
        tenants__more={"keys": ["hush-third"]},
        limits__max_body_bytes=9,
    )
    changes = difference(DOCUMENT, after)
    kind = ChangeKind.CHANGED
    added = [change.entry for change in changes if change.kind is ChangeKind.ADDED]
    assert added == ["routes.new", "services.stock", "tenants.more"]
    assert [change for change in changes if change.kind is kind] == [
        Change(kind, "routes.pay", "timeout_ms", 800, 900),
        Change(kind, "routes.pay", "service", "orders", None),
        Change(kind, "routes.pay", "split", None, split),
        Change(kind, "services.orders", "max_connections", 652, 9),
        Change(kind, "tenants.shop", "burst", 187.0, 9.0),
        Change(kind, "tenants.shop", "keys"),
        Change(kind, "limits", "max_body_bytes", 1_000_000, 9),
    ]
    backwards = difference(after, DOCUMENT)
    removed = [change.entry for change in backwards if change.kind is ChangeKind.REMOVED]
    assert removed == ["routes.new", "services.stock", "tenants.more"]
    assert "hush" not in repr(changes + backwards)


def test_defaults_and_the_case_of_hosts_make_no_difference():
    written = changed(routes__pay__host="SHOP.example", routes__pay__priority=0)
    assert difference(DOCUMENT, written) == []
    without = changed(tenants=DELETED)
    assert Change(ChangeKind.CHANGED, "tenants", "key_required", True, False) in difference(
        DOCUMENT, without
    )


@pytest.fixture
def run(tmp_path, monkeypatch):
    monkeypatch.setattr(client, "ROUND_DELAY_SECONDS", 0.01)

    def run(document, *options):
        file = tmp_path / "table.json"
        file.write_text(json.dumps(document))
        return CliRunner().invoke(application, ["route-table", "check", str(file), *options])

    return run


@pytest.mark.parametrize(
    ("document", "code", "severity"),
    [
        (DOCUMENT, 0, None),
        (changed(routes__pay__host=""), 1, "error"),
        (changed(base=9, tenants__shop__burst=0), 1, "error"),
        (changed(tenants__shop__burst=0), 2, "warning"),
    ],
)
def test_the_exit_code_tells_errors_from_warnings(run, document, code, severity):
    text, as_json = run(document), run(document, "--json")
    assert (text.exit_code, as_json.exit_code) == (code, code)
    found = [finding["severity"] for finding in json.loads(as_json.stdout)["findings"]]
    assert found[:1] == ([severity] if severity else [])
    assert text.stderr.count(": error: ") == found.count("error")
    assert text.stderr.count(": warning: ") == found.count("warning")
    assert "hush-hush" not in text.output + as_json.output


def test_a_file_that_cannot_be_read_is_an_error_and_a_wrong_option_is_no_warning(tmp_path, run):
    arguments = ["route-table", "check", str(tmp_path / "none.json")]
    assert CliRunner().invoke(application, arguments).exit_code == 1
    assert run(DOCUMENT, "--jsn").exit_code == 4


def test_the_table_in_force_is_compared_also_through_a_follower(run):
    leader = Controller(changed(version=5, base=0, routes__pay__timeout_ms=700))
    with (
        listening(leader.api.application) as leader_address,
        listening(Controller(leader=leader_address).api.application) as follower_address,
    ):
        text = run(DOCUMENT, "--control", f"127.0.0.1:1,{follower_address}")
        as_json = run(DOCUMENT, "--json", "--control", leader_address)
        stale = run(changed(base=4), "--control", leader_address)
    assert (text.exit_code, as_json.exit_code, stale.exit_code) == (0, 0, 1)
    assert text.stdout.splitlines()[1:] == [
        "in force: version 5; 1 change",
        "  ~ routes.pay.timeout_ms: 700 -> 800",
    ]
    change = {"kind": "changed", "entry": "routes.pay", "field": "timeout_ms"}
    change |= {"before": 700, "after": 800}
    assert json.loads(as_json.stdout)["in_force"] == {"version": 5, "changes": [change]}
    assert "base: is 4, but version 5 is in force" in stale.stderr


def test_without_a_table_in_force_all_entries_are_added(run):
    with listening(Controller().api.application) as address:
        first = run(changed(base=0), "--control", address)
    assert (first.exit_code, first.stdout.count("\n  + ")) == (0, 3)
    assert "hush-hush" not in first.output


def refuse_all(_environment, start_response):
    start_response("404 Not Found", [])
    return [b"{}"]


def test_controllers_that_cannot_be_asked_have_an_exit_code_of_their_own(run):
    warning = changed(tenants__shop__burst=0)
    with (
        listening(refuse_all) as other_server,
        listening(Controller(leader="127.0.0.1:1").api.application) as follower,
    ):
        for address in ("127.0.0.1:1", "nowhere", other_server, follower):
            assert run(DOCUMENT, "--control", address).exit_code == 3
            unread = run(warning, "--json", "--control", address)
            assert unread.exit_code == 3
            assert json.loads(unread.stdout)["in_force"]["problems"]
    assert run(changed(base=9), "--control", "127.0.0.1:1").exit_code == 1
