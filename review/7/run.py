"""An unreadable entry of another writer stops all routers."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib-2'))

import rig as rig_  # noqa: E402

ENTRY_BYTES = 1_000_000
TIMEOUT_MS = 1500
EVERY_S = 0.2
CALLED_S = 30


def foreign_text() -> str:
    """A list of objects in each of which one value is no JSON (`True`)."""
    item = '{"spec":{"id":%d,"up":True}}'
    items, size = [], 2
    while size < ENTRY_BYTES - 100:
        items.append(item % len(items))
        size += len(items[-1]) + 1
    return f'[{",".join(items)}]'


async def case(rig, trouble: bool) -> int:
    for number in range(3):
        worker = rig_.Worker(rig.worker_ip, f'i-app-{number}')
        rig.workers.append((worker, 'starting-grid', 'abc'[number], 6))
    ok = await rig.start({
        'version': 7,
        'routes': [{'name': 'r-read', 'host': rig_.HOST, 'prefix': '/read/',
                    'kind': 'idempotent', 'timeout-ms': TIMEOUT_MS,
                    'target-latency-ms': 120, 'priority': 2, 'service': 'starting-grid',
                    'attempts': 2, 'public': False}],
        'services': [{'name': 'starting-grid', 'health-path': '/health', 'max-conns': 100}],
        'limits': rig_.LIMITS, 'tenants': rig_.TENANTS})
    if not ok:
        return rig.record.result(2, 'the routers did not become ready')
    rows, tasks = [], []

    async def one(router, number: int) -> None:
        request_id = f'{router.name}-{number}'
        sent = rig.record.at()
        found = await rig_.call(
            router.ip, router.front, 'GET', '/read/x',
            {'Host': rig_.HOST, 'X-Request-Id': request_id, 'X-Deadline-Ms': TIMEOUT_MS,
             'Authorization': f'Bearer {rig_.KEY}'}, timeout=TIMEOUT_MS / 1000 + 0.6)
        ready = await router.readiness() if number % 10 == 0 else ''
        rows.append((sent, router.name, found['status'], found['ms']))
        rig.record.line(f'{request_id} sent at {sent}, status {found["status"]} '
                        f'({found["end"]}) after {found["ms"]} ms; readiness {ready}')

    written_at = None
    for number in range(int(CALLED_S / EVERY_S)):
        if number == 15:
            written_at = rig.record.at()
            if trouble:
                text = foreign_text()
                rig.record.line(f'another writer puts servers/w-dump: {len(text)} bytes')
                rig.store.put('servers', 'w-dump', None, raw=text)
            else:
                rig.record.line('another writer puts servers/w-dump: {}')
                rig.store.put('servers', 'w-dump', {})
        for router in rig.routers:
            tasks.append(asyncio.create_task(one(router, number)))
        await asyncio.sleep(EVERY_S)
    await asyncio.gather(*tasks)
    sent = [row for row in rows if row[0] >= written_at]
    late = [row for row in sent if not row[2] or row[3] > TIMEOUT_MS + 500]
    text = (f'{len(late)} of {len(sent)} requests sent after the write had no answer 0.5 s '
            f'after their route\'s {TIMEOUT_MS} ms, at {len({row[1] for row in late})} of '
            f'{len(rig.routers)} routers; before: '
            f'{sum(not r[2] for r in rows if r[0] < written_at)} of {len(rows) - len(sent)}')
    # RULES, CONFIG: eight or more, and over a quarter.
    broken = len(late) >= 8 and len(late) > len(sent) / 4
    return rig.record.result(1 if broken else 0, text)


rig_.main(case, HERE, routers=3, params=rig_.MAGNOLIA)
