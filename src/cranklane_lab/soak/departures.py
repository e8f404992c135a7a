"""Lets workers leave as planned, restarts their sidecars meanwhile, and delivers heartbeats late.

A worker either drains first or only deregisters; it serves on for a while after the
acknowledgement, and is started again, every other time under its id.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from random import Random

import gevent
from gevent.event import Event

from cranklane_lab.evidence.departure_rules import DepartureRules
from cranklane_lab.soak.faults import FaultInjector
from cranklane_lab.soak.site import SoakSite
from cranklane_lab.standins.routed_worker import RoutedWorker

MEAN_PAUSE_SECONDS = 1.2
"""Mean time between the departures of two workers."""

ACKNOWLEDGEMENT_SECONDS = 4.0
"""Time after which a worker without an acknowledgement exits."""

RETRY_SECONDS = 0.2
"""Pause before a departure that was not acknowledged is stated again."""

QUIET_SECONDS = 0.25
"""Time before and after an acknowledgement in which callers send nothing. A sidecar with a request
under way learns of the departure from the reply; most sidecars of a large fleet have none."""

SERVING_SECONDS = (2.5, 10.0)
"""Shortest and longest time from the acknowledgement to the exit."""

MAX_DELAYED_HEARTBEATS = 3
MAX_DELAY_SECONDS = 8.0
"""Longest time from the acknowledgement to the delivery of a heartbeat from before it."""

RESTART_FRACTION = 0.8
MAX_RESTART_DELAY_SECONDS = 1.5
"""Fraction of the departures with restarts of the sidecar, and their longest delay."""

WRONG_HEALTH_FRACTION = 0.3
"""Fraction of the departures in which the health check states the opposite of the truth."""


class Departures:
    """Lets random workers leave; several may be leaving at once.

    :param injector: restarts the sidecars of leaving workers.
    :param callers: set while the callers may send requests.
    :param on_change: called with a description of each departure.
    """

    def __init__(
        self,
        site: SoakSite,
        rules: DepartureRules,
        injector: FaultInjector,
        callers: Event,
        random: Random,
        clock: Callable[[], float],
        on_change: Callable[[str], None],
    ) -> None:
        self._site = site
        self._rules = rules
        self._injector = injector
        self._callers = callers
        self._quiet_departures = 0
        self._random = random
        self._clock = clock
        self._on_change = on_change

    def run(self, should_stop: Callable[[], bool]) -> None:
        """Let random workers leave until ``should_stop`` returns true."""
        while not should_stop():
            gevent.sleep(MEAN_PAUSE_SECONDS * 2 * self._random.random())
            number = self._random.randrange(len(self._site.workers))
            worker = self._site.workers[number]
            if worker.phase == "ready" and not worker.ended and not worker.state.leaving:
                gevent.spawn(self._leave, number, worker)

    def _leave(self, number: int, worker: RoutedWorker) -> None:
        delayed = self._delayed_heartbeats(worker)
        drains_first = self._random.random() < 0.5
        worker.state.health_is_wrong = self._random.random() < WRONG_HEALTH_FRACTION
        self._on_change(f"worker-{number} {'drains' if drains_first else 'deregisters'}")
        if self._acknowledged_in_quiet(worker, drains_first):
            self._disturb(number, worker, delayed)
            gevent.sleep(self._random.uniform(*SERVING_SECONDS))
            if drains_first and not worker.ended:
                worker.depart()
        self._site.exit_worker(worker)

    def _delayed_heartbeats(self, worker: RoutedWorker) -> list[bytes]:
        """Return heartbeats that are delivered late; some are also delivered in time."""
        delayed = []
        for _ in range(self._random.randint(0, MAX_DELAYED_HEARTBEATS)):
            heartbeat = worker.next_heartbeat()
            if self._random.random() < 0.5:
                worker.deliver_heartbeat(heartbeat)
            delayed.append(heartbeat)
        return delayed

    def _acknowledged_in_quiet(self, worker: RoutedWorker, drains_first: bool) -> bool:
        """Like :meth:`_acknowledged`, while the callers send nothing."""
        self._quiet_departures += 1
        self._callers.clear()
        gevent.sleep(QUIET_SECONDS)
        acknowledged = self._acknowledged(worker, drains_first)
        gevent.spawn_later(QUIET_SECONDS, self._end_quiet)
        return acknowledged

    def _end_quiet(self) -> None:
        self._quiet_departures -= 1
        if not self._quiet_departures:
            self._callers.set()

    def _acknowledged(self, worker: RoutedWorker, drains_first: bool) -> bool:
        """State the departure until it is acknowledged; return False if it is not in time."""
        state_departure = worker.drain if drains_first else worker.depart
        ends_at = self._clock() + ACKNOWLEDGEMENT_SECONDS
        while not worker.ended and self._clock() < ends_at:
            if state_departure() == HTTPStatus.OK:
                self._rules.acknowledged(worker.label, self._clock())
                return True
            gevent.sleep(RETRY_SECONDS)
        return False

    def _disturb(self, number: int, worker: RoutedWorker, delayed: list[bytes]) -> None:
        if self._random.random() < RESTART_FRACTION:
            delay = self._random.uniform(0.0, MAX_RESTART_DELAY_SECONDS)
            gevent.spawn_later(delay, self._injector.restart_sidecar, number)
        for heartbeat in delayed:
            delay = self._random.uniform(0.0, MAX_DELAY_SECONDS)
            gevent.spawn_later(delay, worker.deliver_heartbeat, heartbeat)
