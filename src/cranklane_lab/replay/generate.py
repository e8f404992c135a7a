"""Random traces from a seed, and making a trace that breaks a promise shorter."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from cranklane_lab.replay.player import deployment_of
from cranklane_lab.replay.trace import Event, Trace

SECONDS = 6.0
REQUESTS_PER_SECOND = 30.0
_FAULT_PAUSE = (0.2, 0.7)
_LONGEST_FAULT = 4.0


def random_trace(seed: int, controls: int = 3, ledgers: int = 3) -> Trace:
    """Return requests of all kinds and failures of all kinds at random moments."""
    trace = Trace(controls=controls, ledgers=ledgers, seed=seed)
    random = Random(seed)
    events = [*_requests(random, trace), *_faults(random, trace)]
    return replace(trace, events=tuple(sorted(events, key=lambda event: event.at)))


def _requests(random: Random, trace: Trace) -> list[Event]:
    kinds = deployment_of(trace).requests
    weights = [kind.weight for kind in kinds]
    events: list[Event] = []
    at = 0.0
    while (at := at + random.expovariate(REQUESTS_PER_SECOND)) < SECONDS:
        kind = random.choices(kinds, weights)[0]
        nonce = f"{kind.name}-{len(events)}"
        events.append(Event(at, "request", kind=kind.name, nonce=nonce, key=f"key-{nonce}"))
        if kind.once and random.random() < 0.5:
            resend = at + random.uniform(0.05, 2.0)
            again = Event(resend, "request", kind=kind.name, nonce=nonce, key=f"key-{nonce}")
            events.append(again)
    return events


def _faults(random: Random, trace: Trace) -> list[Event]:
    names = _process_names(trace)
    services = [plan.name for plan in deployment_of(trace).services]
    events: list[Event] = []
    at = 0.0
    while (at := at + random.uniform(*_FAULT_PAUSE)) < SECONDS:
        until = at + random.uniform(0.2, _LONGEST_FAULT)
        first, second = random.sample(names, 2)
        match random.choice(("kill", "power", "freeze", "cut", "slow")):
            case "freeze":
                events.append(Event(at, "freeze", process=first, seconds=until - at))
            case "cut":
                events.append(Event(at, "cut", source=first, target=second))
                events.append(Event(until, "heal", source=first, target=second))
            case "slow":
                service = random.choice(services)
                events.append(Event(at, "slow", service=service, factor=20.0))
                events.append(Event(until, "slow", service=service))
            case ending:
                events.append(Event(at, ending, process=first))
                events.append(Event(until, "restart", process=first))
    return events


def _process_names(trace: Trace) -> list[str]:
    pairs = [
        f"{plan.name}-{number}-{kind}"
        for plan in deployment_of(trace).services
        for number in range(plan.workers)
        for kind in ("worker", "node")
    ]
    controls = [f"control-{number}" for number in range(trace.controls)]
    ledgers = [f"ledger-{number}" for number in range(trace.ledgers)]
    return [*pairs, *controls, *ledgers]


def shrink(trace: Trace, breaks: Callable[[Trace], bool]) -> Trace:
    """Return a shorter trace that still breaks, by leaving out ever smaller parts.

    :param breaks: returns whether a trace breaks what the first one broke.
    """
    events = list(trace.events)
    size = len(events) // 2
    while size:
        start = 0
        while start < len(events):
            fewer = events[:start] + events[start + size :]
            if breaks(replace(trace, events=tuple(fewer))):
                events = fewer
            else:
                start += size
        size //= 2
    return replace(trace, events=tuple(events))
