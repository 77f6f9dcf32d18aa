"""Green threads, timers and socket waits, on top of eventlet.

Eventlet only receives bug fixes. The rest of the project therefore uses it
only through this module, `wire.server` and `rpc`, so that replacing it would
only change these three modules and `loop_hub`, the hub.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import math
import os
import random
import select
import time
import typing as ty
import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is')
# All addresses are numeric. Without eventlet's DNS resolver a router starts
# 0.3 s sooner and takes 7 MB less memory (the imports with the resolver take
# 0.96 s and 55.7 MB).
os.environ['EVENTLET_NO_GREENDNS'] = 'yes'

import eventlet  # noqa: E402
import eventlet.asyncio  # noqa: E402
from eventlet import event  # noqa: E402
from eventlet import greenpool  # noqa: E402
from eventlet import hubs  # noqa: E402
from eventlet import queue  # noqa: E402
from eventlet import semaphore  # noqa: E402

from peridotmast import loop_hub  # noqa: E402

_FIRST_RESTART_MS = 100
_MAX_RESTART_MS = 1000
"""First and longest pause before a supervised task runs again. The longest
one is below the two seconds in which a change must be in force."""
_RESTART_JITTER = 0.3
"""Share by which pauses differ, so that the routers of a fleet whose tasks
fail at the same time don't call the store at the same time again."""
_STABLE_MS = 10_000
"""Time without an error after which the next pause is the first one again."""

Event = event.Event
GreenPool = greenpool.GreenPool
Queue = queue.Queue
Empty = queue.Empty
Semaphore = semaphore.Semaphore
Timeout = eventlet.Timeout
GreenletExit = eventlet.greenlet.GreenletExit

spawn = eventlet.spawn
current = eventlet.getcurrent
listen = eventlet.listen


def setup() -> None:
    """Select the hub; called once at the start of a program.

    The asyncio hub lets gRPC's servers and channels run on the same loop.
    Nothing is monkey-patched, since that crashes in combination with gRPC.
    """
    hubs.use_hub(loop_hub.LoopHub)
    # The program's own log reports errors of tasks; the hub must not print
    # them.
    hubs.get_hub().set_debug_listeners(False)


def sleep_ms(ms: float) -> None:
    """Suspend the current task for `ms` milliseconds."""
    eventlet.sleep(ms / 1000)


def call_after_ms(ms: float, callback: ty.Callable[[], None]) -> None:
    """Call `callback`, which must not block, after `ms` milliseconds."""
    hubs.get_hub().loop.call_later(ms / 1000, callback)


class DelayedTask:
    """A task that begins after a delay.

    A task of eventlet that is killed before it begins keeps the exception
    with all frames of the caller, and with them a request and its body, until
    the garbage collector finds it. Here only a timer is cancelled.

    Parameters
    ----------
    ms : float
        Delay, in ms.
    func : callable
        Run with `args` in a new task.
    """

    def __init__(
        self, ms: float, func: ty.Callable[..., ty.Any], *args: ty.Any
    ) -> None:
        self._task: ty.Any = None
        self._timer = hubs.get_hub().loop.call_later(
            ms / 1000, self._begin, func, args
        )

    def kill(self) -> None:
        """End the task, or keep it from beginning."""
        self._timer.cancel()
        if self._task is not None:
            self._task.kill()

    def _begin(
        self, func: ty.Callable[..., ty.Any], args: tuple[ty.Any, ...]
    ) -> None:
        self._task = spawn(func, *args)


def spawn_after_ms(
    ms: float, func: ty.Callable[..., ty.Any], *args: ty.Any
) -> DelayedTask:
    """Run ``func(*args)`` in a new task after `ms` milliseconds."""
    return DelayedTask(ms, func, *args)


def on_signal(
    number: int, callback: ty.Callable[..., None], *args: ty.Any
) -> None:
    """Call `callback` on the loop when the signal `number` is received.

    The signal wakes the loop. Polling for signals would take half a percent
    of a core.
    """
    hubs.get_hub().loop.add_signal_handler(number, callback, *args)


def add_reader(fd: int, callback: ty.Callable[[], None]) -> None:
    """Call `callback` on the loop whenever `fd` is readable."""
    hubs.get_hub().loop.add_reader(fd, callback)


def remove_reader(fd: int) -> None:
    """Remove the reader of `fd`."""
    hubs.get_hub().loop.remove_reader(fd)


def wait_for(awaitable: ty.Any) -> ty.Any:
    """Wait in a green task for an asyncio awaitable and return its result.

    An exception of the awaitable is passed on as a value and raised here,
    since the hub prints a traceback for every task that ends with one.
    """
    task = eventlet.asyncio.spawn_for_awaitable(_capture(awaitable))
    result, error = task.wait()
    if error is not None:
        raise error
    return result


async def _capture(
    awaitable: ty.Any,
) -> tuple[ty.Any, ty.Optional[BaseException]]:
    try:
        return await awaitable, None
    except (Exception, asyncio.CancelledError) as exc:
        return None, exc


class Ready(enum.Flag):
    """Operations that a socket is ready for."""

    NOTHING = 0
    READ = select.EPOLLIN
    WRITE = select.EPOLLOUT


class SocketPoller:
    """Waits for readiness of long-lived sockets.

    Eventlet's own wait adds the socket to the loop and removes it again each
    time, and sets a timer. Here each socket is registered once, in an epoll
    set that the loop watches as a whole, and a further wait only rearms the
    registration. One timer expires all timeouts, at intervals of at least
    50 ms. This saves two thirds of the processor time per event of a stream
    (`peridotmast-load overhead`, 100 streams).
    """

    _MIN_TIMER_S = 0.05
    _BASE_EVENTS = select.EPOLLRDHUP | select.EPOLLONESHOT

    def __init__(self) -> None:
        self._epoll: ty.Any = None
        self._registered: set[int] = set()
        self._waiters: dict[int, tuple[ty.Any, float]] = {}
        self._timer_due_at = math.inf
        self._timer: ty.Any = None

    def wait(
        self, fd: int, timeout_ms: float, events: Ready = Ready.READ
    ) -> Ready:
        """Wait until `fd` is ready; return `Ready.NOTHING` on a timeout.

        An error, and a close by the peer, count as readable.
        """
        self._arm(fd, events.value | self._BASE_EVENTS)
        deadline = time.monotonic() + timeout_ms / 1000
        self._waiters[fd] = eventlet.getcurrent(), deadline
        if deadline < self._timer_due_at:
            self._schedule_timeouts(deadline)
        try:
            return hubs.get_hub().switch()
        finally:
            self._waiters.pop(fd, None)

    def unregister(self, fd: int) -> None:
        """Remove `fd` from the epoll set; called before `fd` is closed."""
        if fd in self._registered:
            self._registered.discard(fd)
            # The kernel has removed a descriptor that is already closed.
            with contextlib.suppress(OSError):
                self._epoll.unregister(fd)

    def expire(self, fd: int) -> None:
        """End the wait for a descriptor, if there is one, as if timed out."""
        waiter = self._waiters.get(fd)
        if waiter is not None:
            now = time.monotonic()
            self._waiters[fd] = waiter[0], now
            self._schedule_timeouts(now)

    def _arm(self, fd: int, events: int) -> None:
        if self._epoll is None:
            self._epoll = select.epoll()
            loop = hubs.get_hub().loop
            loop.add_reader(self._epoll.fileno(), self._on_ready)
        if fd in self._registered:
            try:
                self._epoll.modify(fd, events)
                return
            except FileNotFoundError:
                # The garbage collector closed the registered socket, and a new
                # one has the same descriptor.
                pass
        self._epoll.register(fd, events)
        self._registered.add(fd)

    def _on_ready(self) -> None:
        for fd, events in self._epoll.poll(0):
            waiter = self._waiters.pop(fd, None)
            if waiter is not None:
                ready = Ready(events & Ready.WRITE.value)
                if events & ~Ready.WRITE.value:
                    ready |= Ready.READ
                waiter[0].switch(ready)

    def _schedule_timeouts(self, due_at: float) -> None:
        """Set the timer to `due_at`, in seconds on the monotonic clock."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_at = due_at
        delay = max(0.0, due_at - time.monotonic())
        self._timer = hubs.get_hub().loop.call_later(
            delay, self._expire_timeouts
        )

    def _expire_timeouts(self) -> None:
        self._timer_due_at, self._timer = math.inf, None
        now = time.monotonic()
        expired = [fd for fd, (_, at) in self._waiters.items() if at <= now]
        for fd in expired:
            waiter = self._waiters.pop(fd, None)
            if waiter is not None:
                waiter[0].switch(Ready.NOTHING)
        if self._waiters:
            first = min(at for _, at in self._waiters.values())
            self._schedule_timeouts(max(first, now + self._MIN_TIMER_S))


poller = SocketPoller()
"""The poller of this process."""


def raise_in_task(task: ty.Any, exc: BaseException) -> None:
    """Raise `exc` in the waiting `task`; called from the loop."""
    task.throw(exc)


class Interrupt(Exception):
    """Lets one task end the wait of another.

    The waiting task uses an interrupt as a context manager around the wait.
    Only one task at a time may wait with the same interrupt.
    """

    def __init__(self) -> None:
        super().__init__('interrupted')
        self._task: ty.Any = None

    def __enter__(self) -> None:
        self._task = eventlet.greenlet.getcurrent()

    def __exit__(self, kind: ty.Any, exc: ty.Any, trace: ty.Any) -> bool:
        self._task = None
        # The frames that it passed must not live as long as this object.
        self.__traceback__ = None
        return exc is self

    def fire(self) -> None:
        """End the wait when the loop runs next, if the task still waits."""
        hubs.get_hub().loop.call_soon(self._throw)

    def _throw(self) -> None:
        if self._task is not None:
            self._task.throw(self)


class ReadWatch:
    """Calls a function once a socket that no task reads becomes readable.

    Parameters
    ----------
    fd : int
        Descriptor of the socket.
    callback : callable
        Called on the loop, once.
    """

    def __init__(self, fd: int, callback: ty.Callable[[], None]) -> None:
        self._fd = fd
        self._callback = callback
        hub = hubs.get_hub()
        self._listener = hub.add(
            hub.READ, fd, self._on_ready, self._on_closed, None
        )

    def cancel(self) -> None:
        """Stop watching the socket; has no effect if already stopped."""
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None

    def _on_ready(self, fd: int) -> None:
        self.cancel()
        self._callback()

    def _on_closed(self, *error: ty.Any) -> None:
        self.cancel()


class Tasks:
    """Green tasks of one object, which are stopped together.

    Parameters
    ----------
    on_error : callable
        Called with the name of a task and the exception that it raised.
    """

    def __init__(self, on_error: ty.Callable[[str, BaseException], None]):
        self._on_error = on_error
        self._running: set[ty.Any] = set()

    def spawn(
        self, name: str, func: ty.Callable[..., ty.Any], *args: ty.Any
    ) -> None:
        """Run ``func(*args)`` in a new task."""
        task = spawn(self._run, name, func, *args)
        self._running.add(task)
        task.link(self._running.discard)

    def supervise(
        self, name: str, func: ty.Callable[..., ty.Any], *args: ty.Any
    ) -> None:
        """Run ``func(*args)`` in a new task, and again after each error.

        An error is reported, and the task runs again after a pause. It ends
        once `func` returns.
        """
        self.spawn(name, self._run_until_done, name, func, *args)

    def run_every(
        self, name: str, period_ms: float, func: ty.Callable[[], ty.Any]
    ) -> None:
        """Call `func` repeatedly, with a pause of `period_ms` between calls.

        An error in one call is reported, and the calls continue.
        """
        self.spawn(name, self._run_periodically, name, period_ms, func)

    def stop(self) -> None:
        """Kill all tasks."""
        for task in list(self._running):
            task.kill()

    def _run_periodically(
        self, name: str, period_ms: float, func: ty.Callable[[], ty.Any]
    ) -> None:
        while True:
            self._run(name, func)
            sleep_ms(period_ms)

    def _run_until_done(
        self, name: str, func: ty.Callable[..., ty.Any], *args: ty.Any
    ) -> None:
        pause_ms = _FIRST_RESTART_MS
        began = time.monotonic()
        while not self._run(name, func, *args):
            ran_ms = 1000 * (time.monotonic() - began)
            if ran_ms >= _STABLE_MS:
                pause_ms = _FIRST_RESTART_MS
            jitter = random.uniform(1 - _RESTART_JITTER, 1 + _RESTART_JITTER)
            sleep_ms(pause_ms * jitter)
            pause_ms = min(_MAX_RESTART_MS, 2 * pause_ms)
            began = time.monotonic()

    def _run(
        self, name: str, func: ty.Callable[..., ty.Any], *args: ty.Any
    ) -> bool:
        """Run a task; return whether it ended without an error."""
        try:
            func(*args)
        except (Exception, Timeout) as exc:
            self._on_error(name, exc)
            return False
        return True
