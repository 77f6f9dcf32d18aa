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


def measure(fleet: fleet_.Fleet, streams: int, routed: bool) -> Figures:
    """Run `streams` streams side by side, begun a few ms apart."""
    first: list[float] = []
    tasks = []
    engines = fleet.running(shape_.ENGINES)
    began = time.process_time()
    for number in range(streams):
        guest = engines[number % len(engines)]
        address = guest.record.upstream.address
        if routed:
            address = fleet.routers[0].address
        tasks.append(green.spawn(_read, address, number, first))
        green.sleep_ms(_PAUSE_MS)
    for task in tasks:
        task.wait()
    spent = time.process_time() - began
    events = streams * _TOKENS / fleet.shape.times.stride
    return Figures(report_.percentiles(first), round(spent / events * 1e6, 1))


def _read(address: str, number: int, first: list[float]) -> None:
    """Read a stream to its end as cheaply as can be."""
    clock = clock_.SystemClock()
    began = clock.now()
    conn = connection_.Connection(address, clock)
    deadline = began + 60_000
    assert conn.connect(1000) is None
    headers = [
        ('Host', shape_.HOST),
        (names.REQUEST_ID, f'overhead-{number}-{began}'),
        (names.AUTHORIZATION, f'{names.KEY_SCHEME}key-kalnins'),
        (names.TOKENS, f'24,{_TOKENS}'),
    ]
    body = json.dumps({'letter': number}).encode()
    assert conn.send('POST', '/chat/x', headers, body, deadline) is None
    head = conn.read_head('POST', deadline)
    assert not isinstance(head, failures.Failure), head
    seen = False
    while data := conn.read_some(deadline):
        assert not isinstance(data, failures.Failure), data
        if not seen:
            seen = True
            first.append(clock.now() - began)
    conn.close()
