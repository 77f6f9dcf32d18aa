"""A requester takes a stream up, and the worker that it reaches leaves."""

import pathlib
import re
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import case as case_  # noqa: E402
import upstream_standin as upstream  # noqa: E402

NOTICE_S = 2.0
"""Time from the worker's report `draining` until it is gone."""
TIMEOUT_MS = 10000
PIECES = 20
LAST = 5
"""Last piece that the requester has when its channel breaks."""
FIRST_EVENT_MS = 1800
"""Time to the first event of the request that takes the stream up."""


class ChannelBroken(Exception):
    """Raised by the requester at the break of its channel."""


def ids_of(data: bytes) -> list[int]:
    return [int(n) for n in re.findall(rb'^id: ?(\d+)$', data, re.M)]


def body(case: case_.Case) -> int:
    pool = case_.service('pool', engine=case_.ENGINE)
    route = case_.route(
        'recap', 'streaming', 'pool', sticky=True, resumable=True,
        attempts=2,
        **{
            'timeout-ms': TIMEOUT_MS, 'target-latency-ms': 1000,
            'target-gap-ms': 600,
        },
    )  # fmt: skip
    case.store.put('config', 'main', case_.config(7, [route], [pool]))
    engines = [
        upstream.Engine(
            case.store, 'pool', name, 0, case.note,
            slots=64, gap_ms=60, count=PIECES,
        )
        for name in ('i-a', 'i-b', 'i-c', 'i-d', 'i-e')
    ]  # fmt: skip
    for engine in engines:
        engine.peers = {e.address: e for e in engines if e is not engine}
    router = case.router(1, drain_ms=3000)
    router.wait_until_ready()
    # From then on a router knows the version of each stream that may still
    # be taken up.
    time.sleep(TIMEOUT_MS / 1000 + 1.5)
    headers = {'X-Model': 'm', 'X-Token-Counts': '1200,180'}
    headers['X-Prefix-Hash'] = '5c1e07a2:800,e4402b7d:400'

    got: list[int] = []

    def read_until_break(data: bytes) -> None:
        got.extend(ids_of(data))
        if got and got[-1] >= LAST:
            # The channel is reset.
            raise ConnectionResetError('channel reset')

    case_.send(
        case, router.address('front'), 's1', '/recap/1',
        deadline_ms=TIMEOUT_MS, headers=headers, on_bytes=read_until_break,
    )  # fmt: skip
    first = got[:LAST]
    if first != list(range(1, LAST + 1)):
        raise case_.Unable(f'the first part had the pieces {got}')
    time.sleep(0.3)
    for engine in engines:
        engine.first_ms = FIRST_EVENT_MS

    def leave() -> None:
        """Let the worker leave that the second request has reached."""
        end = time.monotonic() + 5
        while time.monotonic() < end:
            for engine in engines:
                if any(i == 's2' for _, i in engine.runs):
                    time.sleep(0.05)
                    engine.leaves_at = time.monotonic() + NOTICE_S
                    engine.drain()
                    case.note('draining_acked', worker=engine.name)
                    time.sleep(NOTICE_S)
                    engine.stop()
                    case.note('worker_exits', worker=engine.name)
                    return
            time.sleep(0.01)

    if case.has_trouble:
        threading.Thread(target=leave, daemon=True).start()
    answer = case_.send(
        case, router.address('front'), 's2', '/recap/1',
        deadline_ms=TIMEOUT_MS,
        headers={**headers, 'Last-Event-Id': str(LAST)},
    )  # fmt: skip
    second = ids_of(answer.body)
    case.note('pieces', first=first, second=second)
    if answer.status != 200:
        raise case_.Unable(f'taken up with status {answer.status}')
    everything = first + second
    twice = sorted({i for i in everything if everything.count(i) > 1})
    missing = [i for i in range(1, max(everything)) if i not in everything]
    is_short = answer.is_complete and everything[-1] != PIECES
    case.note('check', twice=twice, missing=missing, ends_early=is_short)
    is_broken = twice or missing or is_short
    return case_.BROKEN if is_broken else case_.HELD


case_.play(str(HERE), body)
