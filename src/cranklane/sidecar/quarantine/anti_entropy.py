"""Compares this sidecar's quarantine with that of others, to repair what updates have missed.

What a cut or a restart has kept from a sidecar it learns from any other: when it starts, when its
worker comes back, when control is found again, and, while anything is quarantined, from a
comparison with one other now and then.

Owns when to compare and with whom. Relies on the table's digest: equal digests mean that the same
requests are quarantined at both.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from cranklane.records.messages import QuarantineEntry, QuarantineNews
from cranklane.runtime.interface import Address, Runtime
from cranklane.sidecar.quarantine.sidecar_directory import OtherSidecar, SidecarDirectory
from cranklane.sidecar.quarantine.table import Quarantine

COMPARE_SECONDS = 2.0
"""Between two comparisons with another sidecar while anything is quarantined. A choice: one that
was cut off learns of a quarantine about this long after it is back."""

MAX_ASKED = 3
"""Sidecars that are asked in one round, until one answers. A choice: of three, one is seldom
neither paused nor cut off."""

ANSWER_SECONDS = 0.1
"""Time after which another sidecar is asked too: the first may be paused or cut off. A choice."""

CATCH_UP_PAUSE_SECONDS = 0.1
"""Pause before the second round; each is longer by as much. A choice."""

CATCH_UP_ROUNDS = 8
"""Rounds of asking others that do not know either, 4 s in all. A choice: sidecars that were killed
together start within that time, and by then one of them has met one that knows."""

Exchange = Callable[[Address, QuarantineNews], QuarantineNews | None]
"""Sends a record to a sidecar and returns its answer, None when it gives none."""


class AntiEntropy:
    """Learns from other sidecars what they have quarantined, and corrects them.

    :param merge: takes entries that another sidecar reported.
    :ivar settled: whether this sidecar has learnt from others since its start, as far as it can.
    """

    def __init__(
        self,
        runtime: Runtime,
        directory: SidecarDirectory,
        table: Quarantine,
        exchange: Exchange,
        merge: Callable[[list[QuarantineEntry]], None],
    ) -> None:
        self._runtime = runtime
        self._directory = directory
        self._table = table
        self._exchange = exchange
        self._merge = merge
        self._catching_up = False
        self.settled = False

    def run(self) -> None:
        """Compare with another sidecar now and then while anything is quarantined, for ever."""
        while True:
            self._table.filled.wait()
            gevent.sleep(COMPARE_SECONDS)
            self._table.forget_old()
            if self._table.quarantined():
                self._learn()

    def catch_up(self) -> None:
        """Learn what is quarantined until a sidecar has answered that is settled.

        One that has just started itself may know nothing. Where all have, nobody does.
        """
        if self._catching_up:
            return
        self._catching_up = True
        rounds = 0
        while rounds < CATCH_UP_ROUNDS:
            if self._directory.of():
                rounds += 1
                if self._learn():
                    break
            gevent.sleep(CATCH_UP_PAUSE_SECONDS * (1 + rounds))
        self.settled = True
        self._catching_up = False

    def _learn(self) -> bool:
        """Compare with others at random; return whether one answered that is settled.

        Those whose workers are there come first. The next one is asked when the one before it
        has not answered for a moment.
        """
        others = self._directory.of()
        self._runtime.random.shuffle(others)
        others.sort(key=lambda other: other.away_since is not None)
        tasks = []
        for other in others[:MAX_ASKED]:
            tasks.append(self._runtime.spawn(self._compare, other))
            if any(task.value for task in gevent.wait(tasks, ANSWER_SECONDS, count=len(tasks))):
                return True
        return any(task.value for task in gevent.wait(tasks))

    def _compare(self, other: OtherSidecar) -> bool:
        """Exchange entries with another until both agree; return whether it is settled."""
        question = QuarantineNews(digest=self._table.digest(), asks=True)
        answer = self._exchange(other.address, question)
        if answer is None:
            return False
        self._merge(answer.entries)
        if self._table.digest() != answer.digest:
            entries = self._table.entries() + self._table.corrections(answer.entries)
            update = QuarantineNews(digest=self._table.digest(), entries=entries)
            corrected = self._exchange(other.address, update)
            self._merge(corrected.entries if corrected is not None else [])
        return answer.settled
