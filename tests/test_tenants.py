"""Tenants: API keys, revocation during a loss of contact, and fleet-wide rate limits."""

from __future__ import annotations

import json
from random import Random

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st
from typer.testing import CliRunner

from cranklane.cli.main import application
from cranklane.controller.fleet_quotas import FleetQuotas
from cranklane.controller.tenant_usage import FleetCount
from cranklane.records.messages import TenantUsage
from cranklane.routes.document import read_json, read_table
from cranklane.routes.rows import rows_of, with_rows
from cranklane.routes.table import RouteTable
from cranklane.routes.tenants import Tenant
from cranklane.sidecar.admission import tenant_quota
from cranklane.sidecar.admission.tenant_quota import LOCAL_SHARE_BURST, TenantQuota
from cranklane.sidecar.table import table_lease
from cranklane.sidecar.table.table_lease import TableLease
from cranklane_lab.simulation.mesh import Mesh
from cranklane_lab.simulation.world import simulate
from cranklane_lab.standins.raw_http import exchange
from cranklane_lab.standins.route_tables import route_table
from cranklane_lab.standins.routed_answers import NAMES

KEY = NAMES.key.decode()
TENANT = NAMES.tenant.decode()
ROUTES = {
    "read": {"prefix": "/read/", "service": "s", "priority": 1},
    "open": {"prefix": "/open/", "service": "s", "public": True},
    "look": {"prefix": "/look/", "service": "t"},
}
TENANTS = {
    "shop": {"keys": ["key-of-shop", "second-key"], "priority": 0},
    "clinic": {"keys": ["key-of-clinic"], "priority": 1, "rate_per_s": 20, "burst": 20},
}
REVOCATION_SECONDS = 5.0


def delay(_source, _target):
    return 0.0005


def table(version=1, base=0, tenants=TENANTS):
    return route_table(version, base, ROUTES, ("s", "t"), tenants)


def play(script, seed=1, services=("s", "s", "t"), tenants=TENANTS):
    def scenario(world):
        mesh = Mesh(world, revocation_seconds=REVOCATION_SECONDS)
        mesh.start_controllers(3)
        for service in services:
            mesh.add_machine(service)
        assert mesh.wait_for(lambda: mesh.voters() == 3, 10)
        assert mesh.wait_for(
            lambda: mesh.apply_route_table(table(tenants=tenants)).status == 200, 5
        )
        gevent.sleep(2.0)
        result = script(mesh)
        assert not world.loop.task_errors
        return result

    return simulate(seed, delay, scenario)


def ask(mesh, key=None, path="/read/x", machine=2, name="", **headers):
    sent = dict(headers)
    if key is not None:
        sent[KEY] = key
    return mesh.request(mesh.machines[machine], path, headers=sent, name=name)


def runs(mesh):
    return [run for machine in mesh.machines for run in machine.worker.state.runs]


# API keys at the ingress.


def test_a_worker_receives_the_tenant_but_not_the_key():
    def script(mesh):
        answer = ask(mesh, "second-key", **{TENANT: "clinic"})
        run = runs(mesh)[0]
        tenants = [value for name, value in run.headers if name.lower() == TENANT.lower().encode()]
        return answer.status, tenants, run.value(NAMES.key)

    assert play(script) == (200, [b"shop"], b"")


@pytest.mark.parametrize("key", [None, "", "key-of-nobody", "KEY-OF-SHOP"])
def test_a_request_without_a_valid_key_is_refused(key):
    def script(mesh):
        answer = ask(mesh, key)
        return answer.status, len(runs(mesh))

    assert play(script) == (401, 0)


def test_a_public_route_requires_no_key_and_sends_no_tenant():
    def script(mesh):
        answer = ask(mesh, None, "/open/x", **{TENANT: "shop"})
        return answer.status, runs(mesh)[0].value(NAMES.tenant)

    assert play(script) == (200, b"")


def test_a_table_without_tenants_requires_no_key():
    assert play(lambda mesh: ask(mesh).status, tenants=None) == 200


def test_a_call_has_the_tenant_of_its_parent_request():
    def script(mesh):
        root_machine = mesh.machines[0]

        def work(run):
            answer = exchange(
                root_machine.worker_process,
                root_machine.callers,
                "GET",
                "/look/x",
                {"Host": "shop.example", NAMES.request.decode(): run.request + ".1"},
            )
            return answer.status

        for machine in mesh.machines[:2]:
            machine.worker.state.work = work if machine is root_machine else None
        mesh.machines[1].worker.phase = "draining"
        mesh.machines[1].worker.send_heartbeat()
        gevent.sleep(0.5)
        answer = ask(mesh, "key-of-clinic", name="root")
        return answer.status, mesh.machines[2].worker.state.runs[0].value(NAMES.tenant)

    assert play(script) == (200, b"clinic")


def test_a_call_of_an_unknown_request_is_refused_as_retryable():
    def script(mesh):
        answer = ask(mesh, None, "/look/x", name="unknown.1")
        return answer.status, "retry-after" in answer.headers, len(runs(mesh))

    assert play(script) == (503, True, 0)


def test_tenant_priority_takes_precedence_over_route_priority():
    read = read_table(table()).ok_value
    by_name = read.tenants.by_name
    routes = {route.name: route for route in read.routes}
    order = [
        read.priority_of(routes[route], by_name[tenant])
        for tenant, route in (("shop", "look"), ("shop", "read"), ("clinic", "look"))
    ]
    assert order == sorted(set(order))


# Validation of route table documents.


@pytest.mark.parametrize(
    ("tenants", "problem"),
    [
        ({"a": {"keys": ["k"]}, "b": {"keys": ["k"]}}, "tenants.b: shares a key with a"),
        ({"a": {"keys": "k"}}, "tenants.a.keys: expected a list of non-empty strings"),
        ({"a": {"keys": [""]}}, "tenants.a.keys: expected a list of non-empty strings"),
        ({"a": {"keys": [], "rate_per_s": -1}}, "tenants.a.rate_per_s"),
        ({"a": {"keys": [], "burst": "many"}}, "tenants.a.burst"),
        ({"a": {"keys": [], "priority": -1}}, "tenants.a.priority"),
        ({"a": 5}, "tenants.a: expected an object"),
        ([], "tenants: expected an object with entries by name"),
    ],
)
def test_invalid_tenants_are_refused_with_the_reason(tenants, problem):
    problems = read_table(table(tenants=tenants)).err_value
    assert any(problem in text for text in problems), problems


def test_problems_never_contain_a_key():
    shared = {"a": {"keys": ["hush-hush"]}, "b": {"keys": ["hush-hush", 7]}}
    assert "hush-hush" not in "".join(read_table(table(tenants=shared)).err_value)


@given(st.binary(max_size=60))
def test_any_non_empty_string_is_a_valid_key(data):
    document = table(tenants={"a": {"keys": [data.decode("latin-1")]}})
    text = json.dumps(document).encode()
    read = read_json(text).and_then(read_table)
    assert read.is_ok() == bool(data)


def test_changed_tenants_are_sent_as_rows():
    from cranklane.records.messages import ConfigRow

    before, after = table(), table(2, 1, {"shop": {"keys": ["new"]}, "more": {"keys": ["m"]}})
    rows_before, rows_after = rows_of(before), rows_of(after)
    deleted = {key: b"" for key in rows_before if key not in rows_after}
    whole = [ConfigRow(1, key, value) for key, value in rows_before.items()]
    changed = [ConfigRow(2, key, value) for key, value in {**rows_after, **deleted}.items()]
    first = with_rows(RouteTable(), whole).table
    second = with_rows(first, changed).table
    assert first.tenants.find_by_key(b"key-of-shop").name == "shop"
    assert second.tenants.by_name == read_table(after).ok_value.tenants.by_name
    none = with_rows(second, [ConfigRow(3, "keyed", b"")]).table
    assert none.tenants is None


def test_the_command_checks_a_route_table_file(tmp_path):
    good, bad = tmp_path / "good.json", tmp_path / "bad.json"
    good.write_text(json.dumps(table()))
    shared = {"a": {"keys": ["hush-hush"]}, "b": {"keys": ["hush-hush"]}}
    bad.write_text(json.dumps(table(tenants=shared)))
    checked = CliRunner().invoke(application, ["route-table", "check", str(good)])
    refused = CliRunner().invoke(application, ["route-table", "check", str(bad)])
    assert (checked.exit_code, checked.output) == (
        0,
        "version 1: 3 routes, 2 services, 2 tenants\n",
    )
    assert refused.exit_code == 1
    assert "tenants.b: shares a key with a" in refused.output
    assert "hush-hush" not in refused.output


# Revocation of API keys.


def remove_tenant_shop(mesh):
    without = {name: value for name, value in TENANTS.items() if name != "shop"}
    assert mesh.wait_for(lambda: mesh.apply_route_table(table(2, 1, without)).status == 200, 5)


def cut_off(mesh, machine):
    for controller in mesh.controllers:
        mesh.world.network.cut(machine.process.name, controller.process.name)
        mesh.world.network.cut(controller.process.name, machine.process.name)


def test_a_revoked_key_is_refused_by_sidecars_in_touch():
    def script(mesh):
        remove_tenant_shop(mesh)
        gevent.sleep(1.0)
        return [ask(mesh, "key-of-shop", machine=number).status for number in range(3)]

    assert play(script) == [401, 401, 401]


def revoke_key_of_isolated_sidecar(mesh):
    """Revoke a key while a sidecar is isolated; return its responses before and after the limit."""
    machine = mesh.machines[2]
    cut_off(mesh, machine)
    remove_tenant_shop(mesh)
    gevent.sleep(2.0)
    before = ask(mesh, "key-of-shop").status
    gevent.sleep(REVOCATION_SECONDS - 2.0)
    ran = len(runs(mesh))
    after = ask(mesh, "key-of-shop")
    return before, after.status, "retry-after" in after.headers, len(runs(mesh)) - ran


def test_an_isolated_sidecar_refuses_a_revoked_key_after_the_revocation_time():
    assert play(revoke_key_of_isolated_sidecar) == (200, 503, True, 0)


def test_without_the_lease_a_revoked_key_would_run(monkeypatch):
    monkeypatch.setattr(table_lease.TableLease, "is_valid", True)
    assert play(revoke_key_of_isolated_sidecar)[1] == 200


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_revoked_key_is_refused_with_the_leader_isolated(seed):
    def script(mesh):
        random = Random(seed)
        leader = mesh.leader().process.name
        followers = [
            controller.process.name
            for controller in mesh.controllers
            if controller.process.name != leader
        ]
        isolated = [machine for machine in mesh.machines if random.random() < 0.6]
        network = mesh.world.network
        for follower in followers:
            network.cut(leader, follower)
            network.cut(follower, leader)
            for machine in isolated:
                network.cut(machine.process.name, follower)
                network.cut(follower, machine.process.name)
        gevent.sleep(random.uniform(0.0, 4.0))
        without = {name: value for name, value in TENANTS.items() if name != "shop"}

        def acknowledged():
            answers = [
                mesh.apply_route_table(table(2, 1, without), number)
                for number, controller in enumerate(mesh.controllers)
                if controller.process.name != leader
            ]
            return any(answer is not None and answer.status == 200 for answer in answers)

        assert mesh.wait_for(acknowledged, 20)
        if random.random() < 0.5:
            mesh.machines[2].process.freeze(random.uniform(1.0, 4.0))
        gevent.sleep(REVOCATION_SECONDS)
        ran = len(runs(mesh))
        statuses = [ask(mesh, "key-of-shop", machine=number).status for number in range(3)]
        return set(statuses) <= {401, 503}, len(runs(mesh)) - ran

    assert play(script, seed) == (True, 0)


def test_a_lease_counts_from_the_time_of_the_request():
    now = [100.0]
    lease = TableLease(lambda: now[0], 5.0)
    assert not lease.is_valid
    lease.confirmed(newest_at=96.0, revision=3, in_force=3)
    assert lease.is_valid
    now[0] = 101.0
    assert not lease.is_valid


def test_a_lease_requires_the_confirmed_table_in_force():
    now = [100.0]
    lease = TableLease(lambda: now[0], 5.0)
    lease.confirmed(newest_at=100.0, revision=4, in_force=3)
    assert not lease.is_valid
    lease.adopted(3)
    assert not lease.is_valid
    lease.adopted(4)
    assert lease.is_valid


# Rate limits.

WINDOW_SECONDS = 5.0


def max_in_a_window(moments):
    first = maximum = 0
    for last, moment in enumerate(moments):
        while moments[first] < moment - WINDOW_SECONDS:
            first += 1
        maximum = max(maximum, last - first + 1)
    return maximum


class QuotaFleet:
    """Sidecars and the quotas of one controller, without a network.

    :param delay: delay of usage reports and ratios together, in seconds.
    """

    def __init__(self, rate, sidecars=71, delay=0.2, seed=1):
        self.now = 0.0
        self.random = Random(seed)
        self.tenant = Tenant("a", 0, rate, rate)
        self.delay = delay
        self.reporting = sidecars
        self.quotas = FleetQuotas(
            "c", self.clock, lambda: [self.tenant], lambda: FleetCount(sidecars, self.reporting)
        )
        self.sidecars = [
            TenantQuota(self.clock, self.random, lambda: sidecars) for _ in range(sidecars)
        ]
        self.cut: set[int] = set()
        self.reports: list = []
        self.shares: list = []
        self.ran: list[float] = []
        self.refused: list[float] = []

    def clock(self):
        return self.now

    def run(self, seconds, demand):
        """Send requests at a rate for some seconds."""
        step = 0.01
        for _ in range(round(seconds / step)):
            self.now += step
            for _ in range(self._arrivals(demand * step)):
                self._request(self.random.randrange(len(self.sidecars)))
            if round(self.now / step) % 10 == 0:
                self._exchange()

    def _arrivals(self, mean):
        whole = int(mean)
        return whole + (self.random.random() < mean - whole)

    def _request(self, number):
        sidecar = self.sidecars[number]
        if number not in self.cut:
            sidecar.updated(self.now)
        (self.ran if sidecar.admits(self.tenant) else self.refused).append(self.now)

    def _exchange(self):
        for number, sidecar in enumerate(self.sidecars):
            if number not in self.cut:
                usage = sidecar.take_usage()
                if usage:
                    self.reports.append((self.now + self.delay / 2, usage))
        while self.reports and self.reports[0][0] <= self.now:
            self.quotas.take_usage(self.reports.pop(0)[1])
        position = self.quotas.shares_position
        if self.quotas.step():
            shares = self.quotas.shares_since(position)
            self.shares.append((self.now + self.delay / 2, shares))
        while self.shares and self.shares[0][0] <= self.now:
            shares = self.shares.pop(0)[1]
            for number, sidecar in enumerate(self.sidecars):
                if number not in self.cut:
                    sidecar.take_shares(False, shares)

    @property
    def overrun(self):
        """Requests in the fullest window, relative to the limit plus a tenth and 20."""
        rate = self.tenant.rate_per_second
        return max_in_a_window(self.ran) / ((rate * WINDOW_SECONDS + rate) * 1.1 + 20)


@pytest.mark.parametrize("rate", [5, 26, 187])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_surge_of_one_tenant_stays_within_its_limit(rate, seed):
    fleet = QuotaFleet(rate, seed=seed)
    fleet.run(10, rate / 1.6)
    fleet.run(7, rate / 1.6 * 7.5)
    fleet.run(5, rate / 1.6)
    assert fleet.overrun <= 1.0
    served = len([moment for moment in fleet.ran if 10 < moment <= 17])
    assert served >= 0.75 * 7 * rate


def test_a_surge_exceeds_the_limit_without_admission_ratios(monkeypatch):
    monkeypatch.setattr(tenant_quota.TenantQuota, "take_shares", lambda *_: None)
    fleet = QuotaFleet(26)
    fleet.run(10, 26 / 1.6)
    fleet.run(7, 26 / 1.6 * 7.5)
    assert fleet.overrun > 2.0


@pytest.mark.parametrize("rate", [5, 26, 187])
def test_a_tenant_below_its_limit_is_rarely_refused(rate):
    fleet = QuotaFleet(rate)
    fleet.run(60, rate / 1.6)
    early = [moment for moment in fleet.refused if moment < 2]
    assert len(fleet.refused) - len(early) <= 0.01 * len(fleet.ran)


@pytest.mark.parametrize("rate", [26, 90])
def test_sidecars_without_updates_admit_their_local_share(rate):
    fleet = QuotaFleet(rate)
    fleet.run(10, rate / 1.6)
    fleet.cut = set(range(12))
    fleet.reporting = 59
    fleet.run(7, rate / 1.6 * 7.5)
    assert fleet.overrun <= 1.0


def test_requests_that_did_not_run_are_not_counted():
    now = [0.0]
    quotas = FleetQuotas("c", lambda: now[0], lambda: [Tenant("a", 0, 10, 10)], _whole_fleet)
    for _ in range(30):
        now[0] += 0.1
        quotas.take_usage([TenantUsage(5, 5, 5, "a")])
        quotas.step()
    assert quotas.shares_since(0) == []


def test_totals_of_another_controller_count_once_and_after_the_first_report():
    now = [0.0]
    tenants = [Tenant("a", 0, 10, 10)]
    local_quotas = FleetQuotas("one", lambda: now[0], lambda: tenants, _whole_fleet)
    peer_quotas = FleetQuotas("two", lambda: now[0], lambda: tenants, _whole_fleet)
    peer_quotas.take_usage([TenantUsage(1000, 1000, 0, "a")])
    local_quotas.take_totals(peer_quotas.totals_since(0))
    now[0] += 5
    local_quotas.step()
    assert local_quotas.shares_since(0) == []
    peer_quotas.take_usage([TenantUsage(50, 50, 0, "a")])
    for _ in range(2):
        local_quotas.take_totals(peer_quotas.totals_since(0))
    now[0] += 0.1
    local_quotas.step()
    assert 0 < local_quotas.shares_since(0)[0].permille < 1000


def _whole_fleet():
    return FleetCount(2, 2)


def test_a_refusal_over_the_limit_carries_retry_after():
    def script(mesh):
        gevent.sleep(2.0)
        answers = [ask(mesh, "key-of-clinic", machine=number % 3) for number in range(270)]
        refused = [answer for answer in answers if answer.status == 429]
        shop_statuses = [ask(mesh, "key-of-shop", machine=number).status for number in range(3)]
        return (
            len(refused) > 0,
            all("retry-after" in answer.headers for answer in refused),
            shop_statuses,
        )

    assert play(script) == (True, True, [200, 200, 200])


def test_a_just_started_sidecar_admits_its_local_share():
    quota = TenantQuota(lambda: 5.0, Random(1), lambda: 71)
    tenant = Tenant("a", 0, 10, 10)
    assert sum(quota.admits(tenant) for _ in range(10)) == LOCAL_SHARE_BURST
