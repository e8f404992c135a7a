"""Demonstration: runs both deployments as processes, with requests and faults."""

from __future__ import annotations

import json
import tempfile
import time
from collections import Counter, defaultdict
from pathlib import Path

import gevent
from gevent.pool import Pool

from cranklane.common.http_client import HttpClient
from cranklane.runtime.interface import format_address
from cranklane.runtime.real import RealRuntime
from cranklane_lab.deployments import DEPLOYMENTS, EXAMPLES
from cranklane_lab.fleet.processes import start
from cranklane_lab.fleet.site import (
    OPERATOR_TOKEN,
    Site,
    start_site,
    wait_for_members,
    wait_until_serving,
)
from cranklane_lab.standins.client import Client, ClientResult

REQUESTS_PER_KIND = 40
CONCURRENCY = 16


class Demo:
    """Demonstration run.

    :ivar problems: one line per failed check.
    :ivar results: results of the requests by deployment name.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._runtime = RealRuntime()
        self.problems: list[str] = []
        self.results: dict[str, list[ClientResult]] = defaultdict(list)
        self.sites: list[Site] = []

    def run(self) -> None:
        """Start the sites, send requests, inject faults and check the results."""
        started = time.monotonic()
        self.sites = [start_site(d, self._folder / d.name) for d in DEPLOYMENTS.values()]
        try:
            for site in self.sites:
                self._prepare(site)
            if self.problems:
                return
            processes = sum(len(site.processes()) for site in self.sites)
            print(f"{processes} processes serving after {time.monotonic() - started:.1f} s")
            gevent.joinall([gevent.spawn(self._send_requests, site) for site in self.sites])
            self._check_runs()
            self._print_results(time.monotonic() - started)
        finally:
            for site in self.sites:
                site.stop()

    def _prepare(self, site: Site) -> None:
        name = site.deployment.name
        if not wait_for_members(site, len(site.pairs)):
            self.problems.append(f"{name}: some nodes have not joined in time")
            return
        apply_process = start(
            f"{name}-apply",
            "cranklane.cli.entry",
            ["config", "apply", str(EXAMPLES / f"{name}.policy"), "--token", OPERATOR_TOKEN]
            + [
                "--control",
                ",".join(format_address(control.http) for control in site.control_addresses),
            ],
            site.folder,
        )
        if apply_process.process.wait() != 0:
            self.problems.append(
                f"{name}: the policy was rejected: {apply_process.log.read_text()}"
            )
        elif not wait_until_serving(site):
            self.problems.append(f"{name}: the edge does not serve requests")

    def _send_requests(self, site: Site) -> None:
        fault_task = gevent.spawn_later(0.4, self._inject_faults, site)
        client = Client(self._runtime, site.edge_http, site.deployment.name, site.deployment.token)
        pool = Pool(CONCURRENCY)
        for number in range(REQUESTS_PER_KIND):
            for kind in site.deployment.requests:
                nonce = f"{site.deployment.name}-{kind.name}-{number}"
                pool.spawn(self._send, site, client, kind, nonce)
        pool.join()
        fault_task.join()
        client.close()

    def _send(self, site: Site, client: Client, kind: object, nonce: str) -> None:
        result = client.send(kind, nonce, key=f"key-{nonce}")  # type: ignore[arg-type]
        self.results[site.deployment.name].append(result)

    def _inject_faults(self, site: Site) -> None:
        """Kill a worker and drain a node of another service."""
        services = site.deployment.services
        killed, drained = site.pairs_of(services[0].name)[0], site.pairs_of(services[2].name)[0]
        killed.worker.kill()
        client = HttpClient(self._runtime, drained.admin)
        client.request("POST", "/drain").read()
        client.close()
        print(f"{killed.worker.name} killed, {drained.node.name} drained")

    def _check_runs(self) -> None:
        for site in self.sites:
            runs: Counter[str] = Counter()
            by_key: Counter[str] = Counter()
            for pair in site.pairs:
                if not pair.worker.alive:
                    continue
                client = HttpClient(self._runtime, pair.worker_address)
                state = json.loads(client.request("GET", "/_lab/state").read())
                client.close()
                runs.update(nonce for nonce, _ in state["runs"])
                by_key.update(key for _, key in state["runs"] if key)
            for result in self.results[site.deployment.name]:
                self._check(result, runs, by_key)

    def _check(self, result: ClientResult, runs: Counter[str], by_key: Counter[str]) -> None:
        if result.wrong:
            self.problems.append(f"{result.nonce}: {result.wrong}")
        if result.outcome == "not_run" and runs[result.nonce]:
            self.problems.append(f"{result.nonce}: reported as not_run, but ran")
        if result.outcome == "lost":
            self.problems.append(f"{result.nonce}: no response: {result.reason}")
        if result.key and by_key[result.key] > 1:
            self.problems.append(f"{result.nonce}: ran {by_key[result.key]} times")

    def _print_results(self, seconds: float) -> None:
        print(f"{'request':<24}{'whole':>7}{'not run':>9}{'unknown':>9}{'other':>7}{'p50 ms':>8}")
        for site in self.sites:
            for kind in site.deployment.requests:
                results = [
                    result
                    for result in self.results[site.deployment.name]
                    if result.kind == kind.name
                ]
                outcomes = Counter(result.outcome for result in results)
                whole = sum(result.good for result in results)
                times = sorted(result.seconds for result in results)
                label = f"{site.deployment.name} {kind.name}"
                print(
                    f"{label:<24}{whole:>7}{outcomes['not_run']:>9}{outcomes['unknown']:>9}"
                    f"{outcomes['answered'] - whole:>7}{times[len(times) // 2] * 1000:>8.1f}"
                )
        print(f"finished after {seconds:.1f} s")


def run_demo() -> int:
    """Run the demonstration; return the exit status."""
    with tempfile.TemporaryDirectory(prefix="cranklane-demo-") as folder:
        demo = Demo(Path(folder))
        demo.run()
        for problem in demo.problems:
            print(f"problem: {problem}")
        return 1 if demo.problems else 0
