"""With one unreadable entry in the store no router comes back from a kill."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib-2'))

import rig as rig_  # noqa: E402

TEXT = '[{"service":"backup"'
"""A list whose write was cut off inside its first object."""
TIMEOUT_MS = 1500
EVERY_S = 0.2
BEFORE_S = 4
DOWN_S = 0.95
RECOVER_S = 15
JUDGED_S = 20


async def case(rig, trouble: bool) -> int:
    for number in range(3):
        worker = rig_.Worker(rig.worker_ip, f'i-app-{number}')
        rig.workers.append((worker, 'starting-grid', 'abc'[number], 6))
    config = {
        'version': 7,
        'routes': [{'name': 'r-read', 'host': rig_.HOST, 'prefix': '/read/',
                    'kind': 'idempotent', 'timeout-ms': TIMEOUT_MS,
                    'target-latency-ms': 120, 'priority': 2, 'service': 'starting-grid',
                    'attempts': 2, 'public': False}],
        'services': [{'name': 'starting-grid', 'health-path': '/health', 'max-conns': 100}],
        'limits': rig_.LIMITS, 'tenants': rig_.TENANTS}
    if not await rig.start(config):
        return rig.record.result(2, 'the routers did not become ready')
    rows = []

    async def one(router, number: int, is_judged: bool) -> None:
        request_id = f'{router.name}-{number}'
        found = await rig_.call(
            router.ip, router.front, 'GET', f'/read/{number}',
            {'Host': rig_.HOST, 'X-Request-Id': request_id, 'X-Deadline-Ms': TIMEOUT_MS,
             'Authorization': f'Bearer {rig_.KEY}'}, timeout=TIMEOUT_MS / 1000)
        ready = await router.readiness() if number % 10 == 0 else ''
        rows.append((is_judged, found['status'] == 200))
        rig.record.line(f'{request_id} status {found["status"]} ({found["end"]}, '
                        f'{found["body"][:20]!r}) after {found["ms"]} ms; readiness {ready}')

    number = 0

    async def ask_for(seconds: float, is_judged: bool) -> None:
        nonlocal number
        tasks = []
        for _ in range(int(seconds / EVERY_S)):
            number += 1
            for router in rig.routers:
                tasks.append(asyncio.create_task(one(router, number, is_judged)))
            await asyncio.sleep(EVERY_S)
        await asyncio.gather(*tasks)

    text = TEXT if trouble else '{}'
    rig.record.line(f'another writer puts servers/h-backup: {text}')
    rig.store.put('servers', 'h-backup', None, raw=text)
    await ask_for(BEFORE_S, False)
    # The final fault comes right after a config was acknowledged.
    rig.store.put('config', 'main', {**config, 'version': 9})
    rig.record.line('config 9 is acknowledged; all processes of the system are killed')
    for router in rig.routers:
        router.signal(signal.SIGKILL)
        router.process.wait()
    await asyncio.sleep(DOWN_S)
    for router in rig.routers:
        router.start()
    rig.record.line('all processes of the system are started again')
    await ask_for(RECOVER_S, False)
    rig.record.line(f'{RECOVER_S} s have passed')
    await ask_for(JUDGED_S, True)
    running = sum(router.is_running() for router in rig.routers)
    before = [ok for is_judged, ok in rows if not is_judged][:int(BEFORE_S / EVERY_S) * 3]
    after = [ok for is_judged, ok in rows if is_judged]
    result = (f'{sum(after)} of {len(after)} requests sent later than {RECOVER_S} s after the '
              f'restart were served, {sum(before)} of {len(before)} before the kill; '
              f'{running} of {len(rig.routers)} routers run')
    was_served = sum(before) >= len(before) / 4
    broken = was_served and sum(after) < len(after) / 4
    return rig.record.result(1 if broken else 0, result)


rig_.main(case, HERE, routers=3, params=rig_.MAGNOLIA)
