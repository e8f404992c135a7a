"""Injects random process and network faults."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import gevent

from cranklane_lab.soak.proxy import ProxyMode
from cranklane_lab.soak.site import CONTROLLERS, SoakSite

SIDECAR_FAULT_GAP_SECONDS = 0.8
"""Mean time between two faults on sidecars."""

CONTROLLER_FAULT_GAP_SECONDS = 5.0
"""Shortest time between two faults on controllers."""

RESTORE_TIMEOUT_SECONDS = 30.0
RESTORE_POLL_SECONDS = 0.5
"""Time for a restarted controller to catch up, and the interval at which it is polled. A replica
counts as lost until then, and the group tolerates one loss. On a busy machine the start of the
process alone can take longer than the gap."""

STOP_TIMEOUT_SECONDS = 12.0

MAX_RESTARTS_IN_SERIES = 4
MAX_RESTART_GAP_SECONDS = 0.6
"""Longest time between two kills of a series; shorter than a start takes to be ready."""


class FaultInjector:
    """Injects faults into sidecars and controllers.

    Several tasks may inject at once: faults on different sidecars overlap.

    :param on_fault: called with a description of each fault.
    :param on_disturbed: called with a sidecar's number at the start and the end of its fault.
    """

    def __init__(
        self,
        site: SoakSite,
        random: Random,
        on_fault: Callable[[str], None],
        on_disturbed: Callable[[int], None] = lambda _number: None,
    ) -> None:
        self._site = site
        self._random = random
        self._on_fault = on_fault
        self._on_disturbed = on_disturbed
        self._disturbed: set[int] = set()

    def inject_sidecar_faults(self, should_stop: Callable[[], bool]) -> None:
        """Inject faults, each into a random sidecar, until ``should_stop`` returns true."""
        faults = (
            self._kill_sidecar,
            self._pause_sidecar,
            self._stop_sidecar,
            self._disrupt_sidecar_link,
            self._restart_sidecar_in_series,
            self._signal_sidecar,
        )
        while not should_stop():
            number = self._random.randrange(self._site.machines)
            fault = self._random.choice(faults)
            if number not in self._disturbed:
                self._disturb(number, fault)
            gevent.sleep(SIDECAR_FAULT_GAP_SECONDS * (0.5 + self._random.random()))

    def restart_sidecar(self, number: int) -> None:
        """Restart a sidecar in a random way, unless another fault on it is in progress."""
        restarts = (self._kill_sidecar, self._stop_sidecar, self._restart_sidecar_in_series)
        if number not in self._disturbed:
            self._disturb(number, self._random.choice(restarts))

    def _disturb(self, number: int, fault: Callable[[int], None]) -> None:
        self._disturbed.add(number)
        self._on_disturbed(number)
        try:
            fault(number)
        finally:
            self._on_disturbed(number)
            self._disturbed.discard(number)

    def inject_controller_faults(self, should_stop: Callable[[], bool]) -> None:
        """Inject faults, each into a random controller, until ``should_stop`` returns true."""
        faults = (
            self._kill_controller,
            self._wipe_controller,
            self._pause_controller,
            self._stop_controller,
            self._disrupt_controller_link,
        )
        while not should_stop():
            number = self._random.randrange(CONTROLLERS)
            self._random.choice(faults)(number)
            gevent.sleep(CONTROLLER_FAULT_GAP_SECONDS)
            self._wait_for_controllers(should_stop)

    def _wait_for_controllers(self, should_stop: Callable[[], bool]) -> None:
        """Wait until the group has all its voters again."""
        for _ in range(int(RESTORE_TIMEOUT_SECONDS / RESTORE_POLL_SECONDS)):
            if self._site.controllers_restored() or should_stop():
                return
            gevent.sleep(RESTORE_POLL_SECONDS)
        self._on_fault(f"controllers are not restored after {RESTORE_TIMEOUT_SECONDS} s")

    def _kill_sidecar(self, number: int) -> None:
        self._on_fault(f"kill sidecar-{number}")
        self._site.sidecars[number].kill()
        gevent.sleep(self._random.uniform(0.0, 1.0))
        self._site.start_sidecar(number)

    def _pause_sidecar(self, number: int) -> None:
        seconds = self._random.uniform(0.2, 2.5)
        self._on_fault(f"pause sidecar-{number} for {seconds:.1f} s")
        self._site.sidecars[number].freeze()
        gevent.sleep(seconds)
        self._site.sidecars[number].thaw()

    def _stop_sidecar(self, number: int) -> None:
        self._on_fault(f"stop sidecar-{number}")
        process = self._site.sidecars[number]
        process.terminate()
        with gevent.Timeout(STOP_TIMEOUT_SECONDS, False):
            while process.alive:
                gevent.sleep(0.05)
        if process.alive:
            self._on_fault(f"sidecar-{number} did not stop in {STOP_TIMEOUT_SECONDS} s")
            process.kill()
        self._site.start_sidecar(number)

    def _restart_sidecar_in_series(self, number: int) -> None:
        """Kill a sidecar several times, some while it starts or after a request to stop."""
        restarts = self._random.randint(2, MAX_RESTARTS_IN_SERIES)
        self._on_fault(f"restart sidecar-{number} {restarts} times")
        for _ in range(restarts):
            if self._random.random() < 0.5:
                self._site.sidecars[number].terminate()
                gevent.sleep(self._random.uniform(0.0, MAX_RESTART_GAP_SECONDS))
            self._site.sidecars[number].kill()
            self._site.start_sidecar(number)
            gevent.sleep(self._random.uniform(0.0, MAX_RESTART_GAP_SECONDS))

    def _signal_sidecar(self, number: int) -> None:
        """Rewrite the settings file of a sidecar and signal it several times."""
        signals = self._random.randint(1, 5)
        self._on_fault(f"reload sidecar-{number} {signals} times")
        for _ in range(signals):
            self._site.change_settings(number)
            self._site.sidecars[number].hang_up()
            gevent.sleep(self._random.uniform(0.0, 0.1))

    def _disrupt_sidecar_link(self, number: int) -> None:
        self._disrupt_link(f"sidecar-{number}", 2.0)

    def _disrupt_controller_link(self, number: int) -> None:
        self._disrupt_link(f"controller-{number}", 4.0)

    def _disrupt_link(self, name: str, max_seconds: float) -> None:
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
        mode = self._random.choice(modes)
        seconds = self._random.uniform(0.2, max_seconds)
        self._on_fault(f"link of {name}: {mode.value} for {seconds:.1f} s")
        proxy = self._site.proxies[name]
        proxy.delay_seconds = self._random.uniform(0.005, 0.2)
        proxy.set_mode(mode)
        gevent.sleep(seconds)
        proxy.set_mode(ProxyMode.PASS)

    def _kill_controller(self, number: int) -> None:
        self._on_fault(f"kill controller-{number}")
        self._site.controllers[number].kill()
        gevent.sleep(self._random.uniform(0.0, 3.0))
        self._site.start_controller(number)

    def _wipe_controller(self, number: int) -> None:
        self._on_fault(f"empty the disk of controller-{number}")
        self._site.controllers[number].kill()
        gevent.sleep(self._random.uniform(0.0, 1.0))
        self._site.start_controller(number, empty=True)

    def _pause_controller(self, number: int) -> None:
        seconds = self._random.uniform(0.2, 4.0)
        self._on_fault(f"pause controller-{number} for {seconds:.1f} s")
        self._site.controllers[number].freeze()
        gevent.sleep(seconds)
        self._site.controllers[number].thaw()

    def _stop_controller(self, number: int) -> None:
        self._on_fault(f"stop controller-{number}")
        process = self._site.controllers[number]
        process.terminate()
        with gevent.Timeout(STOP_TIMEOUT_SECONDS, False):
            while process.alive:
                gevent.sleep(0.05)
        process.kill()
        self._site.start_controller(number)
