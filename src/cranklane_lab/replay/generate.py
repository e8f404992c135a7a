"""Generates random traces and shrinks traces that violate a promise."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from cranklane_lab.replay.player import deployment_of
from cranklane_lab.replay.trace import Event, Trace

TRACE_SECONDS = 6.0
REQUESTS_PER_SECOND = 30.0
_FAULT_INTERVAL_SECONDS = (0.2, 0.7)
_MAX_FAULT_SECONDS = 4.0


def random_trace(seed: int, controls: int = 3, ledgers: int = 3) -> Trace:
    """Return a trace of random requests and faults of all kinds."""
    trace = Trace(controls=controls, ledgers=ledgers, seed=seed)
    random = Random(seed)
    events = [*_requests(random, trace), *_faults(random, trace)]
    return replace(trace, events=tuple(sorted(events, key=lambda event: event.at)))


def _requests(random: Random, trace: Trace) -> list[Event]:
    kinds = deployment_of(trace).requests
    weights = [kind.weight for kind in kinds]
    events: list[Event] = []
    at = 0.0
    while (at := at + random.expovariate(REQUESTS_PER_SECOND)) < TRACE_SECONDS:
        kind = random.choices(kinds, weights)[0]
        nonce = f"{kind.name}-{len(events)}"
        events.append(Event(at, "request", kind=kind.name, nonce=nonce, key=f"key-{nonce}"))
        if kind.once and random.random() < 0.5:
            retry_at = at + random.uniform(0.05, 2.0)
            retry = Event(retry_at, "request", kind=kind.name, nonce=nonce, key=f"key-{nonce}")
            events.append(retry)
    return events


def _faults(random: Random, trace: Trace) -> list[Event]:
    names = _process_names(trace)
    services = [plan.name for plan in deployment_of(trace).services]
    events: list[Event] = []
    at = 0.0
    while (at := at + random.uniform(*_FAULT_INTERVAL_SECONDS)) < TRACE_SECONDS:
        ends_at = at + random.uniform(0.2, _MAX_FAULT_SECONDS)
        first, second = random.sample(names, 2)
        match random.choice(("kill", "power", "freeze", "cut", "slow")):
            case "freeze":
                events.append(Event(at, "freeze", process=first, seconds=ends_at - at))
            case "cut":
                events.append(Event(at, "cut", source=first, target=second))
                events.append(Event(ends_at, "heal", source=first, target=second))
            case "slow":
                service = random.choice(services)
                events.append(Event(at, "slow", service=service, factor=20.0))
                events.append(Event(ends_at, "slow", service=service))
            case action:
                events.append(Event(at, action, process=first))
                events.append(Event(ends_at, "restart", process=first))
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


def shrink(trace: Trace, violates: Callable[[Trace], bool]) -> Trace:
    """Return a shorter trace that still violates the promise.

    Removes ever smaller ranges of events as long as the violation remains.

    :param violates: returns whether a trace violates the same promise as the original one.
    """
    events = list(trace.events)
    size = len(events) // 2
    while size:
        start = 0
        while start < len(events):
            kept_events = events[:start] + events[start + size :]
            if violates(replace(trace, events=tuple(kept_events))):
                events = kept_events
            else:
                start += size
        size //= 2
    return replace(trace, events=tuple(events))
