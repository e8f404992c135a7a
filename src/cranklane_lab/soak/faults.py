"""Faults from outside the processes, drawn from a seed."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import gevent

from cranklane_lab.soak.proxy import ProxyMode
from cranklane_lab.soak.site import CONTROLLERS, SERVICES, SoakSite

REST_SECONDS = 0.8
"""Seconds between two faults on sidecars."""

CONTROL_REST_SECONDS = 5.0
"""Seconds after a fault on a controller before the next one: one loss is tolerated,
and a replica that comes back counts as lost until it has caught up."""

STOP_SECONDS = 12.0


class Faults:
    """Strikes sidecars and controllers until told to end.

    :param note: told of each fault.
    """

    def __init__(self, site: SoakSite, random: Random, note: Callable[[str], None]) -> None:
        self._site = site
        self._random = random
        self._note = note

    def strike_sidecars(self, until: Callable[[], bool]) -> None:
        """Strike one sidecar after the other."""
        faults = (self._kill_sidecar, self._pause_sidecar, self._stop_sidecar, self._spoil_link)
        while not until():
            number = self._random.randrange(len(SERVICES))
            self._random.choice(faults)(number)
            gevent.sleep(REST_SECONDS * (0.5 + self._random.random()))

    def strike_controllers(self, until: Callable[[], bool]) -> None:
        """Strike one controller after the other."""
        faults = (
            self._kill_controller,
            self._wipe_controller,
            self._pause_controller,
            self._stop_controller,
            self._spoil_controller_link,
        )
        while not until():
            number = self._random.randrange(CONTROLLERS)
            self._random.choice(faults)(number)
            gevent.sleep(CONTROL_REST_SECONDS)

    def _kill_sidecar(self, number: int) -> None:
        self._note(f"kill sidecar-{number}")
        self._site.sidecars[number].kill()
        gevent.sleep(self._random.uniform(0.0, 1.0))
        self._site.start_sidecar(number)

    def _pause_sidecar(self, number: int) -> None:
        seconds = self._random.uniform(0.2, 2.5)
        self._note(f"pause sidecar-{number} for {seconds:.1f} s")
        self._site.sidecars[number].freeze()
        gevent.sleep(seconds)
        self._site.sidecars[number].thaw()

    def _stop_sidecar(self, number: int) -> None:
        self._note(f"stop sidecar-{number}")
        process = self._site.sidecars[number]
        process.terminate()
        with gevent.Timeout(STOP_SECONDS, False):
            while process.alive:
                gevent.sleep(0.05)
        if process.alive:
            self._note(f"sidecar-{number} did not stop in {STOP_SECONDS} s")
            process.kill()
        self._site.start_sidecar(number)

    def _spoil_link(self, number: int) -> None:
        self._spoil(f"sidecar-{number}", 2.0)

    def _spoil_controller_link(self, number: int) -> None:
        self._spoil(f"controller-{number}", 4.0)

    def _spoil(self, name: str, most_seconds: float) -> None:
        modes = [mode for mode in ProxyMode if mode is not ProxyMode.PASS]
        mode = self._random.choice(modes)
        seconds = self._random.uniform(0.2, most_seconds)
        self._note(f"link of {name}: {mode.value} for {seconds:.1f} s")
        proxy = self._site.proxies[name]
        proxy.delay_seconds = self._random.uniform(0.005, 0.2)
        proxy.set(mode)
        gevent.sleep(seconds)
        proxy.set(ProxyMode.PASS)

    def _kill_controller(self, number: int) -> None:
        self._note(f"kill controller-{number}")
        self._site.controllers[number].kill()
        gevent.sleep(self._random.uniform(0.0, 3.0))
        self._site.start_controller(number)

    def _wipe_controller(self, number: int) -> None:
        self._note(f"empty the disk of controller-{number}")
        self._site.controllers[number].kill()
        gevent.sleep(self._random.uniform(0.0, 1.0))
        self._site.start_controller(number, empty=True)

    def _pause_controller(self, number: int) -> None:
        seconds = self._random.uniform(0.2, 4.0)
        self._note(f"pause controller-{number} for {seconds:.1f} s")
        self._site.controllers[number].freeze()
        gevent.sleep(seconds)
        self._site.controllers[number].thaw()

    def _stop_controller(self, number: int) -> None:
        self._note(f"stop controller-{number}")
        process = self._site.controllers[number]
        process.terminate()
        with gevent.Timeout(STOP_SECONDS, False):
            while process.alive:
                gevent.sleep(0.05)
        process.kill()
        self._site.start_controller(number)
