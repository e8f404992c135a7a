"""An event loop for gevent whose clock jumps to the next timer.

With a :class:`VirtualLoop` in gevent's hub, sleeps, timeouts, events and queues
use virtual time. Each timer is owned by the simulated process whose task started
it: timers of a frozen process are deferred, those of a dead process never fire.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import gevent
from gevent.hub import Hub, get_hub, set_hub

MIN_WAIT_SECONDS = 1e-9
"""Minimum duration of a wait. A shorter one could round to zero virtual time, and a loop that
waits for a point in time would never reach it."""


class Owner(Protocol):
    """The attributes of a simulated process that the loop uses.

    :ivar frozen_until: virtual second until which none of its timers fires.
    :ivar dead: whether it has exited.
    :ivar clock_rate: local seconds per virtual second.
    :ivar suspended_seconds: total time for which its machine was suspended.
    """

    frozen_until: float
    dead: bool
    clock_rate: float
    suspended_seconds: float


def current_owner() -> Any:
    """Return the simulated process that owns the running task, or None."""
    return getattr(gevent.getcurrent(), "owner", None)


class _Callback:
    """A call for the loop's next iteration; truthy until it has returned."""

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
    """A call scheduled at a virtual time.

    :ivar pauses_when_suspended: whether it pauses while its owner's machine is suspended:
        true for a process's timers, false for network deliveries.
    """

    def __init__(self, loop: VirtualLoop, after: float, repeat: float = 0.0) -> None:
        self._loop = loop
        self._after = after
        self._repeat = repeat
        self.callback: Callable[..., Any] | None = None
        self.args: tuple[Any, ...] = ()
        self.owner: Any = None
        self.pauses_when_suspended = True
        self._counted_suspension = 0.0
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
            self._counted_suspension = self.owner.suspended_seconds
        minimum = MIN_WAIT_SECONDS if after > 0 else 0.0
        self._loop.schedule(max(minimum, after) / rate, self, self._generation)

    def take_suspended_seconds(self) -> float:
        """Return the seconds of suspension since the previous call."""
        if self.owner is None or not self.pauses_when_suspended:
            return 0.0
        paused_seconds = self.owner.suspended_seconds - self._counted_suspension
        self._counted_suspension = self.owner.suspended_seconds
        return float(paused_seconds)

    def fire(self, generation: int) -> None:
        """Run the callback, unless the timer was stopped or restarted."""
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


class _NullWatcher:
    """A no-op watcher for event sources that the simulation lacks."""

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

    def __enter__(self) -> _NullWatcher:
        return self

    def __exit__(self, *_: object) -> None:
        pass


class VirtualLoop:
    """A gevent event loop on virtual time.

    :ivar task_errors: descriptions of the errors that ended tasks.
    :ivar steps: number of callbacks and timers run.
    """

    approx_timer_resolution = 0.0
    min_sleep_time = 0.0
    MAXPRI = 2
    MINPRI = -2
    default = True
    WatcherType = _NullWatcher

    def __init__(self) -> None:
        self._now = 0.0
        self._callbacks: deque[_Callback] = deque()
        self._timers: list[tuple[float, int, _Timer, int]] = []
        self._order = 0
        self._broken = False
        self.error_handler: Any = None
        self.task_errors: list[str] = []
        self.steps = 0

    # The interface that gevent requires of a loop.

    def run(self, nowait: bool = False, once: bool = False) -> bool:
        """Run until no callback or timer is left, or :meth:`break_` is called."""
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
                paused_seconds = timer.take_suspended_seconds()
                if paused_seconds > 0:
                    self._push(when + paused_seconds, timer, generation)
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
        """Call a function and pass its errors to gevent's error handler."""
        try:
            function(*arguments)
        except BaseException:  # gevent's handler decides, also on GreenletExit and SystemExit
            import sys

            self.handle_error(None, *sys.exc_info())

    def handle_error(self, context: Any, kind: Any, value: Any, trace: Any) -> None:
        """Pass an error to the hub's error handler."""
        if self.error_handler is not None:
            self.error_handler.handle_error(context, kind, value, trace)

    def schedule(self, after: float, timer: _Timer, generation: int) -> None:
        """Schedule a timer ``after`` virtual seconds from now."""
        self._push(self._now + after, timer, generation)

    def _push(self, when: float, timer: _Timer, generation: int) -> None:
        self._order += 1
        heapq.heappush(self._timers, (when, self._order, timer, generation))

    def run_callback(self, function: Callable[..., Any], *arguments: Any) -> _Callback:
        """Schedule a call in the next iteration."""
        callback = _Callback(function, arguments)
        self._callbacks.append(callback)
        return callback

    run_callback_threadsafe = run_callback

    def timer(
        self, after: float, repeat: float = 0.0, ref: bool = True, priority: Any = None
    ) -> _Timer:
        """Return a timer that fires after ``after`` seconds, then every ``repeat`` seconds."""
        return _Timer(self, after, repeat)

    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def update_now(self) -> None:
        """Do nothing: virtual time advances only between timers."""

    update = update_now

    def break_(self, *_: Any) -> None:
        """Make :meth:`run` return."""
        self._broken = True

    def destroy(self) -> None:
        """Drop all callbacks and timers."""
        self._callbacks.clear()
        self._timers.clear()

    def install_sigchld(self) -> None:
        """Do nothing."""

    def reinit(self, *_: Any) -> None:
        """Do nothing."""

    def closing_fd(self, _descriptor: int) -> bool:
        """Return False: no watcher uses file descriptors."""
        return False

    def fileno(self) -> None:
        """Return None: the loop has no file descriptor."""

    def _null_watcher(self, *_: Any, **__: Any) -> _NullWatcher:
        return _NullWatcher()

    async_ = check = prepare = signal = fork = child = io = idle = stat = _null_watcher


class _Hub(Hub):
    """Records the errors that end tasks, in addition to printing them."""

    def handle_error(self, context: Any, kind: Any, value: Any, trace: Any) -> None:
        if not issubclass(kind, self.NOT_ERROR):
            self.loop.task_errors.append(f"{kind.__name__}: {value} in {context}")
        super().handle_error(context, kind, value, trace)


def run_virtual(function: Callable[[VirtualLoop], Any]) -> Any:
    """Run a function in a task on a new virtual loop and return its result.

    Restores the thread's hub afterwards.
    """
    previous_hub = get_hub()
    loop = VirtualLoop()
    hub = _Hub(loop=loop)
    set_hub(hub)
    try:
        return gevent.spawn(function, loop).get()
    finally:
        loop.break_()
        loop.destroy()
        set_hub(previous_hub)
