"""An event loop for gevent whose clock jumps to the next timer.

With a :class:`VirtualLoop` in gevent's hub, sleeping, timeouts, events and
queues all run on virtual time. Each timer belongs to the simulated process whose
task started it, so that a frozen process's timers wait and a dead one's never
fire.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import gevent
from gevent.hub import Hub, get_hub, set_hub

LEAST_WAIT_SECONDS = 1e-9
"""A wait is at least this long: one below the resolution of the virtual clock would end at the
second at which it began, and whoever waits until a time would wait for ever."""


class Owner(Protocol):
    """A simulated process, as far as the loop is concerned.

    :ivar frozen_until: virtual second until which nothing of it runs.
    :ivar dead: whether it has ended.
    :ivar clock_rate: its seconds for each true second.
    :ivar suspended_seconds: for how long its machine has been suspended, all in all.
    """

    frozen_until: float
    dead: bool
    clock_rate: float
    suspended_seconds: float


def current_owner() -> Any:
    """Return the simulated process of the running task, or None."""
    return getattr(gevent.getcurrent(), "owner", None)


class _Callback:
    """A call to make in the loop's next round; true until it has returned."""

    __slots__ = ("function", "args")

    def __init__(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        self.function: Callable[..., Any] | None = function
        self.args: tuple[Any, ...] | None = arguments

    @property
    def pending(self) -> bool:
        return self.args is not None

    def __bool__(self) -> bool:
        return self.pending

    def stop(self) -> None:
        self.function = None
        self.args = None

    close = stop


class _Timer:
    """A call at a virtual time.

    :ivar stands_still: whether it stands still while its owner's machine is suspended, as a
        process's timers do; what comes from the network does not.
    """

    def __init__(self, loop: VirtualLoop, after: float, repeat: float = 0.0) -> None:
        self._loop = loop
        self._after = after
        self._repeat = repeat
        self.callback: Callable[..., Any] | None = None
        self.args: tuple[Any, ...] = ()
        self.owner: Any = None
        self.stands_still = True
        self._suspended_before = 0.0
        self._generation = 0

    @property
    def active(self) -> bool:
        return self.callback is not None

    pending = active

    def start(self, callback: Callable[..., Any], *arguments: Any, update: Any = None) -> None:
        self.callback = callback
        self.args = arguments
        self.owner = current_owner()
        self._schedule(self._after)

    def again(self, callback: Callable[..., Any], *arguments: Any, update: Any = None) -> None:
        self.callback = callback
        self.args = arguments
        self._schedule(self._repeat or self._after)

    def _schedule(self, after: float) -> None:
        self._generation += 1
        rate = 1.0
        if self.owner is not None:
            rate = self.owner.clock_rate
            self._suspended_before = self.owner.suspended_seconds
        least = LEAST_WAIT_SECONDS if after > 0 else 0.0
        self._loop.schedule(max(least, after) / rate, self, self._generation)

    def take_suspension(self) -> float:
        """Return for how long it has stood still since this was asked last."""
        if self.owner is None or not self.stands_still:
            return 0.0
        still = self.owner.suspended_seconds - self._suspended_before
        self._suspended_before = self.owner.suspended_seconds
        return float(still)

    def fire(self, generation: int) -> None:
        """Make the call, unless the timer was stopped or started again."""
        callback = self.callback
        if callback is None or generation != self._generation:
            return
        if self._repeat:
            self._schedule(self._repeat)
        else:
            self.callback = None
        self._loop.call(callback, self.args)

    def stop(self) -> None:
        self._generation += 1
        self.callback = None

    def close(self) -> None:
        self.stop()

    def __enter__(self) -> _Timer:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()


class _Inert:
    """A watcher for things that do not exist in simulation."""

    active = pending = False
    ref = True

    def start(self, *_: Any, **__: Any) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""

    def send(self) -> None:
        """Do nothing."""

    def __enter__(self) -> _Inert:
        return self

    def __exit__(self, *_: object) -> None:
        pass


class VirtualLoop:
    """The loop. :ivar error: the first error that escaped a callback."""

    approx_timer_resolution = 0.0
    min_sleep_time = 0.0
    MAXPRI = 2
    MINPRI = -2
    default = True
    WatcherType = _Inert

    def __init__(self) -> None:
        self._now = 0.0
        self._callbacks: deque[_Callback] = deque()
        self._timers: list[tuple[float, int, _Timer, int]] = []
        self._order = 0
        self._broken = False
        self.error_handler: Any = None
        self.task_errors: list[str] = []
        self.steps = 0

    # What gevent asks of a loop.

    def run(self, nowait: bool = False, once: bool = False) -> bool:
        """Run until nothing is left to do."""
        while not self._broken:
            while self._callbacks:
                callback = self._callbacks.popleft()
                function, arguments = callback.function, callback.args
                if function is not None and arguments is not None:
                    self.steps += 1
                    callback.function = None
                    self.call(function, arguments)
                    callback.args = None
            if not self._fire_next_timer():
                return False
        return True

    def _fire_next_timer(self) -> bool:
        while self._timers:
            when, _, timer, generation = heapq.heappop(self._timers)
            owner = timer.owner
            if owner is not None:
                if owner.dead:
                    continue
                still = timer.take_suspension()
                if still > 0:
                    self._push(when + still, timer, generation)
                    continue
                if owner.frozen_until > when:
                    self._push(owner.frozen_until, timer, generation)
                    continue
            self._now = max(self._now, when)
            self.steps += 1
            timer.fire(generation)
            return True
        return False

    def call(self, function: Callable[..., Any], arguments: tuple[Any, ...]) -> None:
        """Call a function; an error goes to gevent's handler."""
        try:
            function(*arguments)
        except BaseException:  # gevent decides what to do with it
            import sys

            self.handle_error(None, *sys.exc_info())

    def handle_error(self, context: Any, kind: Any, value: Any, trace: Any) -> None:
        """Pass an error to the hub."""
        if self.error_handler is not None:
            self.error_handler.handle_error(context, kind, value, trace)

    def schedule(self, after: float, timer: _Timer, generation: int) -> None:
        """Fire a timer after so many true seconds."""
        self._push(self._now + after, timer, generation)

    def _push(self, when: float, timer: _Timer, generation: int) -> None:
        self._order += 1
        heapq.heappush(self._timers, (when, self._order, timer, generation))

    def run_callback(self, function: Callable[..., Any], *arguments: Any) -> _Callback:
        """Call a function in the next round."""
        callback = _Callback(function, arguments)
        self._callbacks.append(callback)
        return callback

    run_callback_threadsafe = run_callback

    def timer(
        self, after: float, repeat: float = 0.0, ref: bool = True, priority: Any = None
    ) -> _Timer:
        """Return a timer."""
        return _Timer(self, after, repeat)

    def now(self) -> float:
        """Return the virtual second."""
        return self._now

    def update_now(self) -> None:
        """Do nothing: time moves only between callbacks."""

    update = update_now

    def break_(self, *_: Any) -> None:
        """End :meth:`run`."""
        self._broken = True

    def destroy(self) -> None:
        """Forget everything."""
        self._callbacks.clear()
        self._timers.clear()

    def install_sigchld(self) -> None:
        """Do nothing."""

    def reinit(self, *_: Any) -> None:
        """Do nothing."""

    def closing_fd(self, _descriptor: int) -> bool:
        """Return that nothing waits for a descriptor."""
        return False

    def fileno(self) -> None:
        """Return that there is no descriptor."""

    def _inert(self, *_: Any, **__: Any) -> _Inert:
        return _Inert()

    async_ = check = prepare = signal = fork = child = io = idle = stat = _inert


class _Hub(Hub):
    """Keeps the errors that end tasks, besides printing them."""

    def handle_error(self, context: Any, kind: Any, value: Any, trace: Any) -> None:
        if not issubclass(kind, self.NOT_ERROR):
            self.loop.task_errors.append(f"{kind.__name__}: {value} in {context}")
        super().handle_error(context, kind, value, trace)


def run_virtual(function: Callable[[VirtualLoop], Any]) -> Any:
    """Run a function in a task on a new virtual loop and return what it returns.

    The hub of the thread is put back afterwards.
    """
    before = get_hub()
    loop = VirtualLoop()
    hub = _Hub(loop=loop)
    set_hub(hub)
    try:
        return gevent.spawn(function, loop).get()
    finally:
        loop.break_()
        loop.destroy()
        set_hub(before)
