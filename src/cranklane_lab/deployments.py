"""Deployments used in demos, simulations and measurements, with the work of each route."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from pathlib import Path

CLIENT_ZONE = "clients"
EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@dataclass(frozen=True)
class Work:
    """Work of a simulated worker for a request on a route.

    :ivar seconds: time that the request holds a slot, without child calls.
    :ivar size: size of the response body in bytes.
    :ivar children: service and path of each child call.
    :ivar parallel: whether the child calls are concurrent.
    """

    seconds: float
    size: int = 200
    children: tuple[tuple[str, str], ...] = ()
    parallel: bool = False


@dataclass(frozen=True)
class ServicePlan:
    """Size of a service, and its work by the first path segment."""

    name: str
    workers: int
    slots: int
    work: dict[str, Work] = field(default_factory=dict)


@dataclass(frozen=True)
class RequestKind:
    """Kind of client request.

    :ivar path: path template; ``{n}`` is replaced by the nonce of the request.
    :ivar weight: relative share of the traffic.
    :ivar once: whether requests carry an idempotency key.
    """

    name: str
    method: str
    service: str
    path: str
    weight: int
    once: bool = False


@dataclass(frozen=True)
class Deployment:
    """Deployment of a tenant.

    :ivar zone_delay: one-way delay between zones, in seconds.
    :ivar client_delay: one-way delay between clients and zones, in seconds.
    :ivar policy_text: text of the policy; if empty, it is read from the examples.
    """

    name: str
    zones: tuple[str, ...]
    zone_delay: float
    client_delay: float
    services: tuple[ServicePlan, ...]
    requests: tuple[RequestKind, ...]
    policy_text: str = ""

    def between_zones(self, source: str, target: str) -> float:
        """Return the one-way delay in seconds between two zones or a zone and the clients."""
        if CLIENT_ZONE in (source, target):
            return self.client_delay
        return self.zone_delay

    @property
    def token(self) -> str:
        """Token of the deployment's clients; the policy contains its hash."""
        return f"{self.name}-demo"

    def policy(self) -> str:
        """Return the text of the policy."""
        return self.policy_text or (EXAMPLES / f"{self.name}.policy").read_text()

    def service(self, name: str) -> ServicePlan:
        """Return the plan of a service."""
        return next(plan for plan in self.services if plan.name == name)


SONGHAN = Deployment(
    name="songhan",
    zones=("danang-a", "danang-b", "danang-c", "danang-d"),
    zone_delay=0.0005,
    client_delay=0.008,
    services=(
        ServicePlan(
            "archive",
            5,
            6,
            {
                "minutes": Work(0.012, 8_000, (("transcripts", "/glossary/terms"),)),
                "speakers": Work(0.006, 1_000),
                "reindex": Work(0.030, 200),
            },
        ),
        ServicePlan(
            "signing", 4, 8, {"signatures": Work(0.015, 300, (("archive", "/speakers/x"),))}
        ),
        ServicePlan(
            "audio",
            4,
            9,
            {"recordings": Work(0.040, 2_000_000), "segments": Work(0.008, 40_000)},
        ),
        ServicePlan(
            "transcripts",
            4,
            10,
            {
                "search": Work(
                    0.010, 4_000, (("audio", "/segments/1"), ("archive", "/speakers/1")), True
                ),
                "glossary": Work(0.004, 500),
            },
        ),
    ),
    requests=(
        RequestKind("read-minutes", "GET", "archive", "/minutes/{n}", 30),
        RequestKind("sign", "POST", "signing", "/signatures/{n}", 10, once=True),
        RequestKind("recording", "GET", "audio", "/recordings/{n}", 5),
        RequestKind("search", "GET", "transcripts", "/search/{n}", 40),
        RequestKind("reindex", "POST", "archive", "/reindex/{n}", 15),
    ),
)

GAUJAS = Deployment(
    name="gaujas",
    zones=("riga-a", "riga-b", "riga-c"),
    zone_delay=0.001,
    client_delay=0.003,
    services=(
        ServicePlan(
            "proofs",
            6,
            16,
            {
                "proofs": Work(
                    0.015, 30_000, (("layouts", "/layouts/1"), ("layouts", "/thumbnails/1")), True
                ),
                "warm": Work(0.030, 200),
            },
        ),
        ServicePlan(
            "orders",
            4,
            13,
            {
                "orders": Work(0.012, 500, (("proofs", "/proofs/1"),)),
                "payments": Work(0.020, 400),
            },
        ),
        ServicePlan(
            "print-files", 3, 20, {"files": Work(0.050, 4_000_000, (("layouts", "/layouts/2"),))}
        ),
        ServicePlan(
            "layouts", 3, 23, {"layouts": Work(0.008, 6_000), "thumbnails": Work(0.004, 2_000)}
        ),
    ),
    requests=(
        RequestKind("browse", "GET", "proofs", "/proofs/{n}", 40),
        RequestKind("order", "POST", "orders", "/orders/{n}", 15),
        RequestKind("pay", "POST", "orders", "/payments/{n}", 15, once=True),
        RequestKind("download", "GET", "print-files", "/files/{n}", 5),
        RequestKind("layout", "GET", "layouts", "/layouts/{n}", 15),
        RequestKind("warm", "POST", "proofs", "/warm/{n}", 10),
    ),
)

DEPLOYMENTS = {deployment.name: deployment for deployment in (SONGHAN, GAUJAS)}


def chain(depth: int, workers: int = 2, slots: int = 8, retries: int = 3) -> Deployment:
    """Return a deployment with a linear chain of services.

    :param depth: number of services.
    :param workers: workers per service.
    :param slots: slots per worker.
    """
    name = "chain"
    token = hashlib.sha256(f"{name}-demo".encode()).hexdigest()
    lines = [f"tenant {name} {{", f"  token sha256:{token}", f"  retries {retries}"]
    lines += ["  repeat repeatable", "  deadline 5s"]
    plans = []
    for level in range(depth):
        last = level == depth - 1
        caller = f"{name}.s{level - 1}" if level else f"{name}.edge"
        lines += [f"  service s{level} {{", f"    slots {slots}", f"    callers {caller}"]
        if not last:
            lines.append(f"    calls {name}.s{level + 1}")
        lines += [f"    route step{level} GET /step{level}/* {{}}", "  }"]
        children = () if last else ((f"s{level + 1}", f"/step{level + 1}/1"),)
        plans.append(
            ServicePlan(f"s{level}", workers, slots, {f"step{level}": Work(0.002, 100, children)})
        )
    return Deployment(
        name=name,
        zones=("zone-a", "zone-b"),
        zone_delay=0.0005,
        client_delay=0.003,
        services=tuple(plans),
        requests=(RequestKind("walk", "GET", "s0", "/step0/{n}", 1),),
        policy_text="\n".join([*lines, "}"]),
    )


def _pair() -> Deployment:
    """Return a deployment of two services, a caller and a callee, without work time."""
    name = "pair"
    token = hashlib.sha256(f"{name}-demo".encode()).hexdigest()
    policy = f"""tenant {name} {{
  token sha256:{token}
  retries 3
  repeat repeatable
  deadline 5s
  service caller {{
    slots 64
    calls {name}.callee
    callers {name}.edge
    route call GET /call/* {{}}
  }}
  service callee {{
    slots 64
    callers {name}.edge, {name}.caller
    route work GET /work/* {{}}
  }}
}}
"""
    return Deployment(
        name=name,
        zones=("zone-a",),
        zone_delay=0.0005,
        client_delay=0.003,
        services=(
            ServicePlan("caller", 1, 64, {"call": Work(0.0, 100, (("callee", "/work/1"),))}),
            ServicePlan("callee", 1, 64, {"work": Work(0.0, 100)}),
        ),
        requests=(RequestKind("call", "GET", "caller", "/call/{n}", 1),),
        policy_text=policy,
    )


PAIR = _pair()
"""Minimal deployment for measurements."""


def find_deployment(name: str) -> Deployment:
    """Return a deployment by its name.

    :raises KeyError: if no deployment has this name.
    """
    return {**DEPLOYMENTS, PAIR.name: PAIR}[name]
