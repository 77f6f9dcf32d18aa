"""What a router adds: time to the first token, processor time a token."""

from __future__ import annotations

import dataclasses
import time
import typing as ty

from peridotmast import clock as clock_
from peridotmast.embedded import fleet as fleet_
from peridotmast import green
from peridotmast import http_client
from peridotmast.load import driver as driver_
from peridotmast.load import oracle as oracle_
from peridotmast.load import report as report_
from peridotmast.standin import engine

STREAMS = 100
_TOKENS = 120
_STEP_MS = 50.0
_PAUSE_MS = 15
_MOST_MS = 10.0
_MOST_US = 100.0


@dataclasses.dataclass
class Figures:
    """Figures of one path."""

    first_token_ms: dict[str, float]
    us_a_token: float
    """Processor time of the whole process, in us."""


def run(seed: int, folder: str, progress: driver_.Progress) -> list[str]:
    """Measure both paths, write the report, return what fell short."""
    shape = fleet_.FleetShape(
        routers=1,
        controllers=0,
        domains=2,
        services=0,
        times=engine.EngineTimes(step_ms=_STEP_MS, batch=64),
    )
    fleet = fleet_.Fleet(shape, seed)
    fleet.start()
    progress('through the router')
    _measure(fleet, 10, routed=True)
    routed = _measure(fleet, STREAMS, routed=True)
    progress('direct')
    direct = _measure(fleet, STREAMS, routed=False)
    fleet.stop()
    added_ms = routed.first_token_ms['p95'] - direct.first_token_ms['p95']
    added_us = routed.us_a_token - direct.us_a_token
    report_.write(
        folder,
        {
            'streams': STREAMS,
            'direct': dataclasses.asdict(direct),
            'routed': dataclasses.asdict(routed),
            'added_first_token_p95_ms': round(added_ms, 2),
            'added_us_a_token': round(added_us, 1),
        },
    )
    found = []
    if added_ms > _MOST_MS:
        found.append(f'added first token {added_ms:.1f} ms')
    if added_us > _MOST_US:
        found.append(f'added processor time {added_us:.0f} us a token')
    return found


def _measure(fleet: fleet_.Fleet, streams: int, routed: bool) -> Figures:
    """Run `streams` streams side by side, begun a few ms apart."""
    first: list[float] = []
    tasks = []
    began = time.process_time()
    for number in range(streams):
        path, address, body = _request(fleet, number, routed)
        tasks.append(green.spawn(_read, path, address, body, first))
        green.sleep_ms(_PAUSE_MS)
    for task in tasks:
        task.wait()
    spent = time.process_time() - began
    return Figures(
        report_.percentiles(first),
        round(spent / (streams * _TOKENS) * 1e6, 1),
    )


def _request(
    fleet: fleet_.Fleet, number: int, routed: bool
) -> tuple[str, str, dict[str, ty.Any]]:
    prompt = f'letter {number} ' * 12
    if routed:
        body: dict[str, ty.Any] = {
            'model': oracle_.MODEL,
            'messages': [{'role': 'user', 'content': prompt}],
            'max_tokens': _TOKENS,
            'stream': True,
            'team': 'kalnins',
            'work': 'interactive',
        }
        return '/v1/chat/completions', fleet.routers[0].address, body
    body = {
        'stream_id': f'direct-{number}',
        'model': oracle_.MODEL,
        'prompt': prompt,
        'max_tokens': _TOKENS,
    }
    engines = fleet.engines()
    return '/v1/streams', engines[number % len(engines)].address, body


def _read(
    path: str, address: str, body: dict[str, ty.Any], first: list[float]
) -> None:
    """Read a stream to its end as cheaply as can be."""
    clock = clock_.SystemClock()
    began = clock.now()
    stream = http_client.Stream(address, 1000, 10_000)
    assert stream.connect() is None
    assert stream.send('POST', path, body) == 200
    mark = b'"content"' if path.endswith('completions') else b'"t": '
    seen = False
    while data := stream.read_some():
        assert isinstance(data, bytes), data
        if not seen and mark in data:
            seen = True
            first.append(clock.now() - began)
    stream.close()
