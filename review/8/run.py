"""A text inside an unreadable entry names a worker that has left."""

import asyncio
import json
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib-2'))

import rig as rig_  # noqa: E402

TIMEOUT_MS = 1500
WORK_MS = 90
DRAIN_MS = rig_.MAGNOLIA['drain-ms']
STABLE_MS = 4000
SERVES_ON_MS = 14000
"""Time for which the worker serves on after its entry is removed."""


class App(rig_.Worker):
    """The plain service: requests that may run once."""

    async def run(self, method, target, headers, body, reader, writer) -> bool:
        request_id = headers.get('x-request-id', '')
        self.runs.append((rig_.now_ms(), request_id))
        await asyncio.sleep(WORK_MS / 1000)
        rig_.send(writer, 200, self.seal(request_id), (request_id.encode() * 60)[:800])
        await writer.drain()
        return True


async def case(rig, trouble: bool) -> int:
    for number in range(4):
        rig.workers.append(
            (App(rig.worker_ip, f'i-app-{number}'), 'starting-grid', 'abc'[number % 3], 6))
    ok = await rig.start({
        'version': 7,
        'routes': [{'name': 'r-commit', 'host': rig_.HOST, 'prefix': '/commit/',
                    'kind': 'non_idempotent', 'timeout-ms': TIMEOUT_MS,
                    'target-latency-ms': 120, 'priority': 2, 'service': 'starting-grid',
                    'attempts': 1, 'public': False}],
        'services': [{'name': 'starting-grid', 'health-path': '/health', 'max-conns': 100}],
        'limits': rig_.LIMITS, 'tenants': rig_.TENANTS})
    if not ok:
        return rig.record.result(2, 'the routers did not become ready')

    # Another writer keeps a copy of the listing, which is cut off.
    listing = '[' + ','.join(
        rig.store._text(o) for (kind, _), o in sorted(rig.store.objects.items())
        if kind == 'servers') + ']'
    text = listing[:-150] if trouble else '{}'
    try:
        json.loads(text)
        rig.record.line('servers/copy holds {}')
    except ValueError as exc:
        rig.record.line(f'servers/copy holds {len(text)} bytes that are no JSON: {exc}')
    rig.store.put('servers', 'copy', None, raw=text)
    await asyncio.sleep(1)

    leaving = rig.workers[0][0]
    rig.store.delete('servers', leaving.name)
    left_at = rig_.now_ms()
    rig.record.line(f'the entry of {leaving.name} is removed; it serves on')
    stop = asyncio.get_running_loop().call_later(
        SERVES_ON_MS / 1000, lambda: asyncio.ensure_future(leaving.stop()))

    # A worker is added, as after each removal of a release.
    added = App(rig.worker_ip, 'i-app-9')
    rig.workers.append((added, 'starting-grid', 'a', 6))
    await added.start()
    rig.store.put('servers', added.name, rig_.entry(added, 'starting-grid', 'a', 6))
    rig.record.line(f'{added.name} is added')

    router = rig.routers[0]
    router.signal(signal.SIGTERM)
    rig.record.line(f'{router.name} gets SIGTERM')
    for _ in range(100):
        if not router.is_running():
            break
        await asyncio.sleep(0.1)
    router.start()
    if not await router.wait_ready():
        return rig.record.result(2, 'the router did not start again')
    ready_at = rig_.now_ms()
    rig.record.line(f'{router.name} is ready again')
    # From here on it is in touch: no SIGTERM or start for stable-ms.
    await asyncio.sleep(max(0, STABLE_MS + 500) / 1000)
    began = rig_.now_ms()
    ends = {}

    async def one(at, number: int) -> None:
        request_id = f'{at.name}-{number}'
        found = await rig_.call(
            at.ip, at.front, 'POST', '/commit/x',
            {'Host': rig_.HOST, 'X-Request-Id': request_id, 'X-Deadline-Ms': TIMEOUT_MS,
             'Authorization': f'Bearer {rig_.KEY}'}, b'y' * 600, timeout=TIMEOUT_MS / 1000)
        ends[request_id] = found['status']
        rig.record.line(f'{request_id} status {found["status"]} ({found["end"]}) '
                        f'after {found["ms"]} ms')

    tasks, number = [], 0
    while rig_.now_ms() < left_at + SERVES_ON_MS + 1000:
        for at in rig.routers:
            tasks.append(asyncio.create_task(one(at, number)))
        number += 1
        await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    stop.cancel()
    late = [(at, i) for at, i in leaving.runs if at > left_at + DRAIN_MS and at >= began]
    for at, request_id in late:
        rig.record.line(f'{request_id} ran at {leaving.name} {at - left_at} ms after its '
                        f'removal, {at - ready_at} ms after the start; status {ends[request_id]}')
    return rig.record.result(1 if late else 0, (
        f'{len(late)} of {len(ends)} requests reached {leaving.name} more than {DRAIN_MS} ms '
        f'after its removal; of these {sum(ends[i] != 200 for _, i in late)} were cut off'))


rig_.main(case, HERE, routers=3, params=rig_.MAGNOLIA)
