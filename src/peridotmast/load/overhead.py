"""What a router adds: time to the first event, processor time an event."""

from __future__ import annotations

import dataclasses
import json
import time

from peridotmast import clock as clock_
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.load import driver as driver_
from peridotmast.load import report as report_
from peridotmast.platform import names
from peridotmast.standin import engine
from peridotmast.wire import connection as connection_

STREAMS = 100
_TOKENS = 240
_CONNECT_MS = 1000
_WHOLE_MS = 60_000
"""Bound on a stream that takes 6 s on an idle machine."""
_STEP_MS = 25.0
_PAUSE_MS = 15
_MOST_MS = 10.0
_MOST_US = 150.0


@dataclasses.dataclass
class Figures:
    """Figures of one path."""

    first_event_ms: dict[str, float]
    us_an_event: float
    """Processor time of the whole process, in us."""


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Measure both paths, write the report, return what fell short."""
    shape = shape_.FleetShape(
        routers=1,
        domains=2,
        services=0,
        times=engine.EngineTimes(step_ms=_STEP_MS, batch=64),
        chat=False,
    )
    fleet = fleet_.Fleet(shape, seed)
    fleet.start()
    progress('through the router')
    measure(fleet, 10, routed=True)
    routed = measure(fleet, STREAMS, routed=True)
    progress('direct')
    direct = measure(fleet, STREAMS, routed=False)
    fleet.stop()
    added_ms = routed.first_event_ms['p95'] - direct.first_event_ms['p95']
    added_us = routed.us_an_event - direct.us_an_event
    report_.write(
        folder,
        {
            'streams': STREAMS,
            'direct': dataclasses.asdict(direct),
            'routed': dataclasses.asdict(routed),
            'added_first_event_p95_ms': round(added_ms, 2),
            'added_us_an_event': round(added_us, 1),
        },
    )
    found = []
    if added_ms > _MOST_MS:
        found.append(f'added first event {added_ms:.1f} ms')
    if added_us > _MOST_US:
        found.append(f'added processor time {added_us:.0f} us an event')
    return found


class NotWholeError(Exception):
    """A stream did not come whole, so that nothing can be said of it."""


def measure(fleet: fleet_.Fleet, streams: int, routed: bool) -> Figures:
    """Run `streams` streams side by side, begun a few ms apart.

    Raises
    ------
    NotWholeError
        With each one that did not come whole, and what the router decided
        on it.
    """
    first: list[float] = []
    tasks = []
    engines = fleet.running(shape_.ENGINES)
    wanted = -(-_TOKENS // fleet.shape.times.stride)
    began = time.process_time()
    for number in range(streams):
        guest = engines[number % len(engines)]
        address = guest.record.upstream.address
        if routed:
            address = fleet.routers[0].address
        request_id = f'overhead-{number}-{fleet.clock.now()}'
        task = green.spawn(_read, address, request_id, wanted, first)
        tasks.append((request_id, task))
        green.sleep_ms(_PAUSE_MS)
    broken = [
        (request_id, found)
        for request_id, task in tasks
        if (found := task.wait())
    ]
    spent = time.process_time() - began
    if broken:
        raise NotWholeError(_told(fleet, broken, routed))
    us = spent / (streams * wanted) * 1e6
    return Figures(report_.percentiles(first), round(us, 1))


def _told(
    fleet: fleet_.Fleet, broken: list[tuple[str, str]], routed: bool
) -> str:
    path = 'through the router' if routed else 'direct'
    lines = [f'{len(broken)} streams, {path}, were not whole']
    for request_id, found in broken:
        lines.append(f'{request_id}: {found}')
        if routed:
            decisions = fleet.routers[0].serving.decisions
            lines += [
                f'  {at} {text}' for at, text in decisions.history(request_id)
            ]
    return '\n'.join(lines)


def _read(
    address: str, request_id: str, wanted: int, first: list[float]
) -> str:
    """Read a stream of `wanted` events as cheaply as can be.

    Returns
    -------
    str
        Why it did not come whole; empty where it did.
    """
    clock = clock_.SystemClock()
    conn = connection_.Connection(address, clock)
    began = clock.now()
    count, found = _take(conn, clock, request_id, first)
    conn.close()
    if not found and count == wanted:
        return ''
    return (
        f'{found or "it ended"} after {count} events, {clock.now() - began} ms'
    )


def _take(
    conn: connection_.Connection,
    clock: clock_.SystemClock,
    request_id: str,
    first: list[float],
) -> tuple[int, str]:
    """Return how many events came, and what went wrong, if anything did."""
    began = clock.now()
    deadline = began + _WHOLE_MS
    headers = [
        ('Host', shape_.HOST),
        (names.REQUEST_ID, request_id),
        (names.AUTHORIZATION, f'{names.KEY_SCHEME}key-kalnins'),
        (names.TOKEN_COUNTS, f'24,{_TOKENS}'),
    ]
    body = json.dumps({'letter': request_id}).encode()
    failure = conn.connect(_CONNECT_MS) or conn.send(
        'POST', '/chat/x', headers, body, deadline
    )
    if failure is not None:
        return 0, str(failure)
    head = conn.read_head('POST', deadline)
    if isinstance(head, failures.Failure):
        return 0, str(head)
    if head.status != 200:
        return 0, f'status {head.status}'
    count, last, seen = 0, b'', False
    while data := conn.read_some(deadline):
        if isinstance(data, failures.Failure):
            return count, str(data)
        if not seen:
            seen = True
            first.append(clock.now() - began)
        # The end of an event may come in two reads.
        count += (last + data).count(b'\n\n')
        last = data[-1:] if not data.endswith(b'\n\n') else b''
    return count, ''
