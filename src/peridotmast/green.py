"""The one module that uses eventlet's hub; the others use its names.

Eventlet is in bug-fix mode upstream, and the house runs on it. What the
rest of the project needs of it passes through here, `wire.server` and `rpc`,
so that a successor has three modules to replace, and `loop_hub`, the hub.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import math
import os
import select
import time
import typing as ty
import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is')
# Addresses are numbers here. Without eventlet's resolver a router starts 0.3 s
# sooner and takes 7 MB less (imports timed alone, 0.96 s and 55.7 MB before).
os.environ['EVENTLET_NO_GREENDNS'] = 'yes'

import eventlet  # noqa: E402
import eventlet.asyncio  # noqa: E402
from eventlet import event  # noqa: E402
from eventlet import greenpool  # noqa: E402
from eventlet import hubs  # noqa: E402
from eventlet import queue  # noqa: E402
from eventlet import semaphore  # noqa: E402

from peridotmast import loop_hub  # noqa: E402

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
    """Choose the hub; called once at a program's start.

    The asyncio hub lets gRPC's servers and channels run on the same loop.
    Nothing is monkey-patched: with gRPC that ends in a crash.
    """
    hubs.use_hub(loop_hub.LoopHub)
    # A task that dies is reported by its program's own log, not the hub's.
    hubs.get_hub().set_debug_listeners(False)


def sleep_ms(ms: float) -> None:
    """Let other tasks run for `ms` milliseconds."""
    eventlet.sleep(ms / 1000)


def call_after_ms(ms: float, callback: ty.Callable[[], None]) -> None:
    """Call `callback`, which must not wait, in `ms` milliseconds."""
    hubs.get_hub().loop.call_later(ms / 1000, callback)


def spawn_after_ms(
    ms: float, func: ty.Callable[..., ty.Any], *args: ty.Any
) -> ty.Any:
    """Run ``func(*args)`` in a task of its own in `ms` milliseconds."""
    return eventlet.spawn_after(ms / 1000, func, *args)


def on_signal(
    number: int, callback: ty.Callable[..., None], *args: ty.Any
) -> None:
    """Call `callback` on the loop when the signal `number` comes.

    The loop is woken by it; looking now and then would cost half a percent
    of a core.
    """
    hubs.get_hub().loop.add_signal_handler(number, callback, *args)


def add_reader(fd: int, callback: ty.Callable[[], None]) -> None:
    """Call `callback` on the loop whenever `fd` can be read."""
    hubs.get_hub().loop.add_reader(fd, callback)


def remove_reader(fd: int) -> None:
    """Call back no more."""
    hubs.get_hub().loop.remove_reader(fd)


def wait_for(awaitable: ty.Any) -> ty.Any:
    """Wait in a green task for something that asyncio waits for.

    The error is carried out as a value, since the hub prints a trace for
    every task that ends by one.
    """
    waiting = eventlet.asyncio.spawn_for_awaitable(_outcome(awaitable))
    result, error = waiting.wait()
    if error is not None:
        raise error
    return result


async def _outcome(
    awaitable: ty.Any,
) -> tuple[ty.Any, ty.Optional[BaseException]]:
    try:
        return await awaitable, None
    except (Exception, asyncio.CancelledError) as exc:
        return None, exc


class Ready(enum.Flag):
    """What a socket is ready for."""

    NOTHING = 0
    READ = select.EPOLLIN
    WRITE = select.EPOLLOUT


class SocketPoller:
    """Waits for sockets that are waited for again and again.

    Eventlet's own wait enters a socket into the loop and takes it out
    again each time, with a timer beside it. Here a socket is entered once,
    into a set of its own that the loop watches as a whole; each further
    wait only arms it again. Timeouts are looked at when the first of them
    may be over, 50 ms apart at least. It buys two thirds of the processor
    time of a stream's event (`peridotmast-load overhead`, 100 streams).
    """

    _LOOK_S = 0.05
    _ALWAYS = select.EPOLLRDHUP | select.EPOLLONESHOT

    def __init__(self) -> None:
        self._epoll: ty.Any = None
        self._known: set[int] = set()
        self._waiting: dict[int, tuple[ty.Any, float]] = {}
        self._look_at = math.inf
        self._timer: ty.Any = None

    def wait(
        self, fd: int, timeout_ms: float, wanted: Ready = Ready.READ
    ) -> Ready:
        """Wait until `fd` is ready; `Ready.NOTHING` if time was over first.

        An error or the other side's close counts as ready to be read.
        """
        self._arm(fd, wanted.value | self._ALWAYS)
        deadline = time.monotonic() + timeout_ms / 1000
        self._waiting[fd] = eventlet.getcurrent(), deadline
        if deadline < self._look_at:
            self._look_later(deadline)
        try:
            return hubs.get_hub().switch()
        finally:
            self._waiting.pop(fd, None)

    def unregister(self, fd: int) -> None:
        """Leave `fd` out from now on; called before it is closed."""
        if fd in self._known:
            self._known.discard(fd)
            # One that is closed already has left the set by itself.
            with contextlib.suppress(OSError):
                self._epoll.unregister(fd)

    def _arm(self, fd: int, events: int) -> None:
        if self._epoll is None:
            self._epoll = select.epoll()
            loop = hubs.get_hub().loop
            loop.add_reader(self._epoll.fileno(), self._on_ready)
        if fd in self._known:
            try:
                self._epoll.modify(fd, events)
                return
            except FileNotFoundError:
                # Its socket was closed by the collector; this is another.
                pass
        self._epoll.register(fd, events)
        self._known.add(fd)

    def _on_ready(self) -> None:
        for fd, events in self._epoll.poll(0):
            waiting = self._waiting.pop(fd, None)
            if waiting is not None:
                ready = Ready(events & Ready.WRITE.value)
                if events & ~Ready.WRITE.value:
                    ready |= Ready.READ
                waiting[0].switch(ready)

    def _look_later(self, moment: float) -> None:
        """Look at the timeouts at `moment`, on the monotonic clock, in s."""
        if self._timer is not None:
            self._timer.cancel()
        self._look_at = moment
        left = max(0.0, moment - time.monotonic())
        self._timer = hubs.get_hub().loop.call_later(left, self._look)

    def _look(self) -> None:
        self._look_at, self._timer = math.inf, None
        now = time.monotonic()
        late = [fd for fd, (_, at) in self._waiting.items() if at <= now]
        for fd in late:
            waiting = self._waiting.pop(fd, None)
            if waiting is not None:
                waiting[0].switch(Ready.NOTHING)
        if self._waiting:
            first = min(at for _, at in self._waiting.values())
            self._look_later(max(first, now + self._LOOK_S))


poller = SocketPoller()
"""The one set of this process."""


def throw_into(task: ty.Any, exc: BaseException) -> None:
    """Raise `exc` in `task` where it waits; called from the loop."""
    task.throw(exc)


class Interrupt(Exception):
    """Ends one wait of a task from another one.

    Used as a context manager around the wait, by one task at a time.
    """

    def __init__(self) -> None:
        super().__init__('interrupted')
        self._task: ty.Any = None

    def __enter__(self) -> None:
        self._task = eventlet.greenlet.getcurrent()

    def __exit__(self, kind: ty.Any, exc: ty.Any, trace: ty.Any) -> bool:
        self._task = None
        return exc is self

    def fire(self) -> None:
        """End the wait, if there is one by the time the loop gets to it."""
        hubs.get_hub().loop.call_soon(self._throw)

    def _throw(self) -> None:
        if self._task is not None:
            self._task.throw(self)


class ReadWatch:
    """Calls back once a socket that nobody reads can be read.

    Parameters
    ----------
    fd : int
        The socket's descriptor.
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
        """Watch no more; doing so twice is the same as once."""
        if self._listener is not None:
            hubs.get_hub().remove(self._listener)
            self._listener = None

    def _on_ready(self, fd: int) -> None:
        self.cancel()
        self._callback()

    def _on_closed(self, *error: ty.Any) -> None:
        self.cancel()


class Tasks:
    """Green tasks of one owner, ended together.

    Parameters
    ----------
    on_error : callable
        Called with the task's name and the exception that ended it.
    """

    def __init__(self, on_error: ty.Callable[[str, BaseException], None]):
        self._on_error = on_error
        self._running: set[ty.Any] = set()

    def spawn(
        self, name: str, func: ty.Callable[..., ty.Any], *args: ty.Any
    ) -> None:
        """Run ``func(*args)`` in a task of its own."""
        thread = spawn(self._run, name, func, *args)
        self._running.add(thread)
        thread.link(self._running.discard)

    def every(
        self, name: str, period_ms: float, func: ty.Callable[[], ty.Any]
    ) -> None:
        """Call `func` again and again, `period_ms` after it returned.

        An error in one call is reported and does not end the others.
        """
        self.spawn(name, self._repeat, name, period_ms, func)

    def stop(self) -> None:
        """End all tasks where they are."""
        for thread in list(self._running):
            thread.kill()

    def _repeat(
        self, name: str, period_ms: float, func: ty.Callable[[], ty.Any]
    ) -> None:
        while True:
            self._run(name, func)
            sleep_ms(period_ms)

    def _run(
        self, name: str, func: ty.Callable[..., ty.Any], *args: ty.Any
    ) -> None:
        try:
            func(*args)
        except (Exception, Timeout) as exc:
            self._on_error(name, exc)
