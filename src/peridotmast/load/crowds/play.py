"""Plays a crowd against a router process beside ordinary callers."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import resource
import socket
import typing as ty

from eventlet.green import socket as green_socket

from peridotmast.embedded import process_fleet
from peridotmast.embedded import process_router
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load.crowds import crowd as crowd_
from peridotmast.load.crowds import metrics_reader
from peridotmast.load.crowds import ordinary_caller
from peridotmast.load.crowds import process_watch
from peridotmast.load import driver as driver_
from peridotmast.load import report as report_
from peridotmast.platform import names
from peridotmast.platform import upstream_codec
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import endless_engine
from peridotmast.standin import engine as engine_
from peridotmast.standin import plain_service

MEMORY_MB = 160.0
DESCRIPTORS = 1024
"""What the router may use if a play does not say otherwise."""
_CONFIG = shape_.CONFIG + f'max_body_bytes = {crowd_.MAX_BODY_BYTES}\n'
_SLOTS = 4096
_SEND_LIMIT_MS = 15_000
"""Longest time to wait for a crowd to have sent all. Crowds without an end go
on to send until they leave."""
_HOLD_MS = 2000
"""Time from then to the ordinary request beside the crowd."""
_AFTER_MS = 500
_RECEIVE_BUFFER_BYTES = 4096
_SLOW_READ_BYTES = 1024
_SLOW_READ_MS = 100
_LOWER_BODY_BYTES = crowd_.MAX_BODY_BYTES // 2
_NOTICE_MS = 1000
_TROUBLE_MS = 1500


@dataclasses.dataclass(frozen=True)
class Play:
    """A crowd, and what the router may use."""

    crowd: crowd_.Crowd
    memory_mb: float = MEMORY_MB
    descriptors: int = DESCRIPTORS
    work_ms: float = 20.0
    """Time that the upstream takes for each request."""
    stops: bool = False
    """Whether the router is stopped as planned while the crowd is there."""
    streams: str = ''
    """What the engine sends in place of events, as `standin.endless` names
    it; empty for an engine that behaves."""
    stream_bytes: int = 0
    """Size of such a stream, after which the engine is silent; 0 if it has no
    end."""
    troubles: bool = False
    """Whether the limits on requests change and an upstream is reclaimed while
    the crowd is there."""


@dataclasses.dataclass
class Result:
    """What a play has shown."""

    lives: bool = False
    """Whether the process runs, or has stopped as planned."""
    peak_mb: float = 0.0
    resident_mb: float = 0.0
    unread_mb: float = 0.0
    rest_mb: float = 0.0
    """Resident memory before the crowd, in MB."""
    after_mb: float = 0.0
    """Resident memory after the crowd has left, in MB."""
    descriptors: int = 0
    answered_beside: bool = False
    """Whether an ordinary caller was answered while the crowd was there."""
    answered_after: bool = False
    """Whether one was answered after the crowd had left."""
    ready_after: bool = False
    """Whether the router said that it was ready after the crowd had left."""
    sent_whole: int = 0
    """Clients that have sent all that they meant to."""
    closed: int = 0
    """Connections that the router has closed."""
    metrics: dict[str, float] = dataclasses.field(default_factory=dict)
    """Values of the router's metrics after the crowd has left."""

    def violations(self, play: Play) -> list[str]:
        """Return what does not hold."""
        broken = []
        if not self.lives:
            broken.append('the process has ended, or does not stop')
        if self.peak_mb > play.memory_mb:
            broken.append(f'{self.peak_mb:.0f} MB, {play.memory_mb:.0f} may')
        if self.descriptors > play.descriptors:
            broken.append(
                f'{self.descriptors} descriptors, {play.descriptors} may'
            )
        if not (self.answered_beside or play.stops):
            broken.append('no ordinary caller answered beside the crowd')
        if not (self.answered_after or play.stops):
            broken.append('no ordinary caller answered after the crowd')
        if not (self.ready_after or play.stops):
            broken.append('readiness not answered after the crowd')
        return broken


def run(
    play: Play, seed: int, folder: str, progress: driver_.Progress
) -> list[str]:
    """Play, write the report, and return the violations."""
    result = run_play(play, seed, os.path.join(folder, 'routers'))
    broken = result.violations(play)
    crowd = play.crowd
    progress(f'{crowd.kind.value} {broken or "held"}')
    report = {
        'kind': crowd.kind.value,
        'clients': crowd.clients,
        'server': crowd.server.name.lower(),
        'violations': broken,
        **{
            name: value
            for name, value in dataclasses.asdict(result).items()
            if name != 'metrics'
        },
    }
    report_.write(folder, report)
    return broken


def run_play(play: Play, seed: int, folder: str) -> Result:
    """Play a crowd against one router, and return what it has shown."""
    shape = shape_.FleetShape(
        routers=1,
        domains=1,
        engines=int(
            play.crowd.kind is crowd_.Kind.STREAMS and not play.streams
        ),
        engine_profile=engine_.EngineProfile(batch_size=_SLOTS),
        services=0,
        config=_CONFIG,
        machine={'memory_mb': play.memory_mb, 'descriptors': play.descriptors},
    )
    fleet = process_fleet.ProcessFleet(shape, seed, folder)
    with contextlib.ExitStack() as stack:
        stack.callback(fleet.stop)
        service = plain_service.PlainService(
            'service-1', work_ms=play.work_ms, slots=_SLOTS
        )
        fleet.add_upstream(
            service, fleet.domains[0], shape_.PLAIN_SERVICE, _SLOTS
        )
        if play.troubles:
            _add_reclaimable(fleet, play.work_ms)
        if play.streams:
            stack.callback(_start_endless_engine(fleet, play).stop)
        fleet.start()
        router: ty.Any = fleet.routers[0]
        limits = (play.descriptors, play.descriptors)
        resource.prlimit(router.pid, resource.RLIMIT_NOFILE, limits)
        return _play(play, router, fleet)


def _add_reclaimable(
    fleet: process_fleet.ProcessFleet, work_ms: float
) -> None:
    """Add an upstream that can be reclaimed while requests run there."""
    service = plain_service.PlainService(
        'service-2', work_ms=work_ms, slots=_SLOTS
    )
    fleet.add_upstream(
        service,
        fleet.domains[0],
        shape_.PLAIN_SERVICE,
        _SLOTS,
        reclaimable=True,
    )


def _start_endless_engine(
    fleet: process_fleet.ProcessFleet, play: Play
) -> endless_engine.EndlessEngine:
    """Start an engine whose streams hold no whole event, with its entry."""
    engine = endless_engine.EndlessEngine(
        'endless-1', play.streams, play.stream_bytes
    )
    record = pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=engine.name,
            address=engine.address,
            failure_domain=fleet.domains[0],
            service=shape_.ENGINE_SERVICE,
            slots=_SLOTS,
        ),
        state=pb.UPSTREAM_STATE_LIVE,
    )
    entry = upstream_codec.write_upstream(record)
    fleet.store.put(names.UPSTREAM_KIND, engine.name, entry)
    return engine


def _begin_troubles(fleet: process_fleet.ProcessFleet) -> None:
    """Lower a limit on requests, and reclaim an upstream, at once."""
    fleet.write_config(
        shape_.CONFIG + f'max_body_bytes = {_LOWER_BODY_BYTES}\n'
    )
    fleet.reclaim(fleet.domains[0], _NOTICE_MS)
    green.sleep_ms(_TROUBLE_MS)


def _play(
    play: Play,
    router: process_router.ProcessRouter,
    fleet: process_fleet.ProcessFleet,
) -> Result:
    result = Result()
    ordinary = ordinary_caller.OrdinaryCaller(router.address)
    readiness = ordinary_caller.OrdinaryCaller(
        router.addresses['ready_address'], 'GET', names.READY_PATH
    )
    ordinary.is_answered()
    watch = process_watch.ProcessWatch(router.pid, router.addresses.values())
    result.rest_mb = watch.current_mb()
    clients = _Clients(play.crowd, router.addresses[play.crowd.server.value])
    clients.send()
    if play.troubles:
        _begin_troubles(fleet)
    if play.stops:
        result.lives = _has_stopped(router)
    else:
        green.sleep_ms(_HOLD_MS)
        result.answered_beside = ordinary.is_answered()
    result.closed = clients.leave()
    result.sent_whole = clients.sent_whole
    if not play.stops:
        green.sleep_ms(_AFTER_MS)
        result.answered_after = ordinary.is_answered()
        result.ready_after = readiness.is_answered()
        result.lives = router.is_running
        result.metrics = metrics_reader.read(router.addresses['chat_address'])
    if router.is_running:
        result.after_mb = watch.current_mb()
    watch.stop()
    result.peak_mb = watch.peak_mb
    result.resident_mb = watch.resident_mb
    result.unread_mb = watch.unread_mb
    result.descriptors = watch.descriptors
    return result


def _has_stopped(router: process_router.ProcessRouter) -> bool:
    """Stop a router as planned; return whether it has ended by itself."""
    try:
        router.drain()
    except TimeoutError:
        return False
    return router.exit_code == 0


class _Clients:
    """The clients of a crowd, each in a task of its own."""

    def __init__(self, crowd: crowd_.Crowd, address: str) -> None:
        self._crowd = crowd
        host, _, port = address.rpartition(':')
        self._address = host, int(port)
        self._socks: list[ty.Any] = []
        self._tasks: list[ty.Any] = []
        self._readers: list[ty.Any] = []
        self.sent_whole = 0

    def send(self) -> None:
        """Begin to send, and wait for the end, but not for long."""
        self._tasks = [
            green.spawn(self._run, number)
            for number in range(self._crowd.clients)
        ]
        with green.Timeout(_SEND_LIMIT_MS / 1000, False):
            for task in self._tasks:
                task.wait()

    def leave(self) -> int:
        """Close all connections; return how many were closed already."""
        for task in (*self._tasks, *self._readers):
            task.kill()
        closed = sum(_is_closed(sock) for sock in self._socks)
        for sock in self._socks:
            sock.close()
        return closed

    def _run(self, number: int) -> None:
        for turn in range(self._crowd.rounds):
            sock = self._connect()
            if sock is None:
                continue
            self._socks.append(sock)
            try:
                for part in self._crowd.sent_by(number):
                    sock.sendall(part)
                    # A socket that takes everything would keep the others
                    # waiting.
                    green.sleep_ms(0)
                self.sent_whole += 1
                if self._crowd.reads_slowly:
                    self._readers.append(green.spawn(_read_slowly, sock))
            except OSError:
                # The router has closed the connection.
                pass
            if turn + 1 < self._crowd.rounds:
                self._socks.remove(sock)
                sock.close()

    def _connect(self) -> ty.Any:
        sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        # Answers that are not read fill a small buffer soon.
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        try:
            sock.connect(self._address)
        except OSError:
            sock.close()
            return None
        return sock


def _read_slowly(sock: ty.Any) -> None:
    """Read a few bytes at a time until the end."""
    with contextlib.suppress(OSError):
        while sock.recv(_SLOW_READ_BYTES):
            green.sleep_ms(_SLOW_READ_MS)


def _is_closed(sock: ty.Any) -> bool:
    """Return whether the other side has closed, past what it has sent."""
    flags = socket.MSG_DONTWAIT
    try:
        while sock.fd.recv(1 << 16, flags):
            pass
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
