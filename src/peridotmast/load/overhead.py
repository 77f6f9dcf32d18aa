"""Overhead of a router: time to the first event, processor time per event."""

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
"""Number of concurrent streams."""
_TOKENS = 240
_CONNECT_TIMEOUT_MS = 1000
_STREAM_TIMEOUT_MS = 60_000
"""Time-out of a stream, which takes 6 s on an idle machine."""
_STEP_MS = 25.0
_START_INTERVAL_MS = 15
_MAX_ADDED_MS = 10.0
_MAX_ADDED_US = 150.0


@dataclasses.dataclass
class Figures:
    """Measurements of one path."""

    first_event_ms: dict[str, float]
    us_an_event: float
    """Processor time of the whole process per event, in us."""


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Measure both paths, write the report and return the violated limits."""
    shape = shape_.FleetShape(
        routers=1,
        domains=2,
        services=0,
        engine_profile=engine.EngineProfile(step_ms=_STEP_MS, batch_size=64),
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
    violations = []
    if added_ms > _MAX_ADDED_MS:
        violations.append(
            f'the router adds {added_ms:.1f} ms to the first event'
        )
    if added_us > _MAX_ADDED_US:
        violations.append(
            f'the router adds {added_us:.0f} us of processor time per event'
        )
    return violations


class IncompleteStreamError(Exception):
    """A stream ended early, so that its measurements are meaningless."""


def measure(fleet: fleet_.Fleet, streams: int, routed: bool) -> Figures:
    """Run concurrent streams that start a few ms apart.

    Raises
    ------
    IncompleteStreamError
        If a stream is incomplete; the message lists all of these with the
        router's decisions on them.
    """
    first_event_ms: list[float] = []
    tasks = []
    engines = fleet.running_upstreams(shape_.ENGINE_SERVICE)
    expected_events = -(
        -_TOKENS // fleet.shape.engine_profile.tokens_per_event
    )
    began = time.process_time()
    for number in range(streams):
        guest = engines[number % len(engines)]
        address = guest.record.upstream.address
        if routed:
            address = fleet.routers[0].address
        request_id = f'overhead-{number}-{fleet.clock.now()}'
        task = green.spawn(
            _read_stream, address, request_id, expected_events, first_event_ms
        )
        tasks.append((request_id, task))
        green.sleep_ms(_START_INTERVAL_MS)
    incomplete = [
        (request_id, error)
        for request_id, task in tasks
        if (error := task.wait())
    ]
    spent = time.process_time() - began
    if incomplete:
        raise IncompleteStreamError(_describe(fleet, incomplete, routed))
    us = spent / (streams * expected_events) * 1e6
    return Figures(report_.percentiles(first_event_ms), round(us, 1))


def _describe(
    fleet: fleet_.Fleet, incomplete: list[tuple[str, str]], routed: bool
) -> str:
    path = 'through the router' if routed else 'direct to engines'
    lines = [f'{len(incomplete)} streams {path} were incomplete']
    for request_id, error in incomplete:
        lines.append(f'{request_id}: {error}')
        if routed:
            decisions = fleet.routers[0].serving.decisions
            lines += [
                f'  {at} {text}' for at, text in decisions.history(request_id)
            ]
    return '\n'.join(lines)


def _read_stream(
    address: str,
    request_id: str,
    expected_events: int,
    first_event_ms: list[float],
) -> str:
    """Read a stream with as little processor time as possible.

    Returns
    -------
    str
        Reason why the stream is incomplete; empty if it is complete.
    """
    clock = clock_.SystemClock()
    conn = connection_.Connection(address, clock)
    began = clock.now()
    count, error = _read_events(conn, clock, request_id, first_event_ms)
    conn.close()
    if not error and count == expected_events:
        return ''
    return (
        f'{error or "stream ended"} after {count} events, '
        f'{clock.now() - began} ms'
    )


def _read_events(
    conn: connection_.Connection,
    clock: clock_.SystemClock,
    request_id: str,
    first_event_ms: list[float],
) -> tuple[int, str]:
    """Return the number of events received and the error, if any."""
    began = clock.now()
    deadline = began + _STREAM_TIMEOUT_MS
    headers = [
        ('Host', shape_.HOST),
        (names.REQUEST_ID, request_id),
        (names.AUTHORIZATION, f'{names.KEY_SCHEME}key-kalnins'),
        (names.TOKEN_COUNTS, f'24,{_TOKENS}'),
    ]
    body = json.dumps({'letter': request_id}).encode()
    failure = conn.connect(_CONNECT_TIMEOUT_MS) or conn.send(
        'POST', '/chat/x', headers, body, deadline
    )
    if failure is not None:
        return 0, str(failure)
    head = conn.read_head('POST', deadline)
    if isinstance(head, failures.Failure):
        return 0, str(head)
    if head.status != 200:
        return 0, f'status {head.status}'
    count, last, is_started = 0, b'', False
    while data := conn.read_some(deadline):
        if isinstance(data, failures.Failure):
            return count, str(data)
        if not is_started:
            is_started = True
            first_event_ms.append(clock.now() - began)
        # The two newlines that end an event may arrive in separate reads.
        count += (last + data).count(b'\n\n')
        last = data[-1:] if not data.endswith(b'\n\n') else b''
    return count, ''
