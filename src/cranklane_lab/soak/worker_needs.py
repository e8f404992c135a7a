"""Lets workers state limits and departures, and answer in ways that others must bear, at random."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import gevent

from cranklane_lab.soak.site import SoakSite

MEAN_PAUSE_SECONDS = 1.5
"""Mean time between two changes of what workers state."""

LIMITS = (b"0", b"0.3", b"2", b"5.5", b"12", b"30")

ENDLESS_PARTS = ("head", "interim", "body", "refusal")
MAX_ENDLESS_ANSWERS = 3
ENDLESS_PAUSES_SECONDS = (0.001, 0.4)
"""Pauses between the pieces of an answer without end: a flood, and one below every timeout of a
single read."""

EARLY_FAULTS = ("refuse_early", "answer_early")
MAX_EARLY_ANSWERS = 8
EARLY_ANSWER_DELAYS_SECONDS = (0.0, 0.05, 0.3)
LATE_READ_PAUSES_SECONDS = (0.0, 0.3)
"""Time from the head of a request to its early answer, and from there to the first read of its
body. In the longer ones, bodies fill the buffers of all connections on the way."""

INVALID_STATUSES = (b"000", b"099", b"101", b"600", b"999")
MAX_INVALID_ANSWERS = 5

LEAVING_SECONDS = (1.0, 4.0)
"""Shortest and longest time from the statement of a departure to the exit."""


class WorkerNeeds:
    """Changes what workers state, and lets some of their answers not end.

    :param on_change: called with a description of each change.
    """

    def __init__(self, site: SoakSite, random: Random, on_change: Callable[[str], None]) -> None:
        self._site = site
        self._random = random
        self._on_change = on_change

    def run(self, should_stop: Callable[[], bool]) -> None:
        """Change random workers until ``should_stop`` returns true; then end all limits."""
        changes = (
            self._state_limit,
            self._state_limit,
            self._end_limit,
            self._leave,
            self._send_without_end,
            self._answer_early,
            self._answer_early,
            self._answer_with_invalid_status,
        )
        while not should_stop():
            number = self._random.randrange(len(self._site.workers))
            self._random.choice(changes)(number)
            gevent.sleep(MEAN_PAUSE_SECONDS * 2 * self._random.random())
        for worker in self._site.workers:
            worker.state.rate_limit = b""
            worker.state.endless_answers = 0
            worker.state.refuse_early = worker.state.answer_early = 0
            worker.state.invalid_statuses = []

    def _state_limit(self, number: int) -> None:
        limit = self._random.choice(LIMITS)
        self._on_change(f"worker-{number} states a limit of {limit.decode()}")
        self._site.workers[number].state.rate_limit = limit

    def _end_limit(self, number: int) -> None:
        self._on_change(f"worker-{number} states no limit")
        self._site.workers[number].state.rate_limit = b""

    def _send_without_end(self, number: int) -> None:
        """Let the next answers of a worker have a part without end."""
        state = self._site.workers[number].state
        state.endless_part = self._random.choice(ENDLESS_PARTS)
        state.endless_pause = self._random.choice(ENDLESS_PAUSES_SECONDS)
        state.endless_answers = self._random.randint(1, MAX_ENDLESS_ANSWERS)
        self._on_change(
            f"worker-{number} sends {state.endless_answers} answers with a {state.endless_part} "
            "without end"
        )

    def _answer_early(self, number: int) -> None:
        """Let a worker answer its next requests before it reads their bodies."""
        state = self._site.workers[number].state
        fault = self._random.choice(EARLY_FAULTS)
        count = self._random.randint(1, MAX_EARLY_ANSWERS)
        state.early_answer_delay = self._random.choice(EARLY_ANSWER_DELAYS_SECONDS)
        state.late_read_pause = self._random.choice(LATE_READ_PAUSES_SECONDS)
        setattr(state, fault, count)
        self._on_change(f"worker-{number}: {fault} {count} after {state.early_answer_delay} s")

    def _answer_with_invalid_status(self, number: int) -> None:
        """Let the next answers of a worker have statuses that are not in the protocol."""
        count = self._random.randint(1, MAX_INVALID_ANSWERS)
        statuses = self._random.choices(INVALID_STATUSES, k=count)
        self._site.workers[number].state.invalid_statuses = statuses
        self._on_change(f"worker-{number} answers with {b' '.join(statuses).decode()}")

    def _leave(self, number: int) -> None:
        """State a departure, which no heartbeat mentions, and exit some time later."""
        worker = self._site.workers[number]
        if worker.state.leaving or worker.ended:
            return
        self._on_change(f"worker-{number} leaves")
        worker.state.leaving = True
        gevent.spawn_later(self._random.uniform(*LEAVING_SECONDS), self._site.exit_worker, worker)
