"""One entry of another writer among the workers, then a worker drains."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import case as case_  # noqa: E402
import upstream_standin as upstream  # noqa: E402

DRAIN_MS = 3000
SERVES_ON_S = 4.5
"""Time for which the draining worker serves after its report: `drain-ms` and a
little longer."""


def body(case: case_.Case) -> int:
    case.store.put(
        'config',
        'main',
        case_.config(
            7,
            [case_.route('order', 'non_idempotent', 'ledger')],
            [case_.service('ledger')],
        ),
    )
    workers = [
        upstream.Worker(case.store, 'ledger', name, 45, case.note)
        for name in ('i-a', 'i-b', 'i-c', 'i-d', 'i-e')
    ]
    routers = [case.router(number, drain_ms=DRAIN_MS) for number in (1, 2)]
    for router in routers:
        router.wait_until_ready()
    answers: dict[str, case_.Answer] = {}
    stop = threading.Event()

    def ask(router: case_.Router, number: int) -> None:
        count = 0
        while not stop.is_set():
            count += 1
            request_id = f'r{number}-{count}'
            answers[request_id] = case_.send(
                case, router.address('front'), request_id, '/order/1'
            )
            stop.wait(0.1)

    threads = [
        threading.Thread(target=ask, args=(routers[n % 2], n))
        for n in range(4)
    ]
    for thread in threads:
        thread.start()
    time.sleep(4)
    if case.has_trouble:
        # A whole number with 400 digits where the worker's own count stands.
        foreign = {**workers[0].entry, 'addr': '127.0.0.1:9', 'seq': 10**400}
        case.store.put('servers', 'i-other', foreign)
        case.note('foreign_entry', name='i-other')
    time.sleep(2)
    acked_at = workers[0].drain()
    case.note('draining_acked', worker='i-a')
    time.sleep(SERVES_ON_S)
    workers[0].stop()
    case.note('worker_exits', worker='i-a')
    time.sleep(3)
    stop.set()
    for thread in threads:
        thread.join()
    late = [
        (at - acked_at, request_id)
        for at, request_id in workers[0].runs
        if at > acked_at + DRAIN_MS / 1000
    ]
    cut = [i for i, how in workers[0].ended.items() if how == 'cut']
    failed = {i: a.status for i, a in answers.items() if a.status != 200}
    case.note('late_runs', count=len(late), first=late[:1], last=late[-1:])
    case.note('runs_cut', ids=cut)
    case.note('not_answered_200', answers=failed)
    served = sum(a.status == 200 for a in answers.values())
    if served < 50:
        raise case_.Unable(f'only {served} requests were served')
    return case_.BROKEN if late else case_.HELD


case_.play(str(HERE), body)
