"""Helpers shared by the steps of many features."""

from __future__ import annotations

import itertools
import socket
import types

from eventlet.green import socket as green_socket

from peridotmast import clock as clock_
from peridotmast.coordination import store_era
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast.platform import names
from peridotmast.serving import crash_tracker
from peridotmast.serving import decisions as decisions_
from peridotmast.serving.limits import brittleness
from peridotmast.serving.limits import slot_shares
from peridotmast.serving.limits import upstream_limits
from peridotmast.serving import quota as quota_
from peridotmast.serving import retry_budget
from peridotmast.serving import version_gate
from peridotmast.wire import connection as connection_

KEY = f'{names.KEY_SCHEME}key-noor'
LONG_MS = 8000

_ids = itertools.count(1)


def start_fleet(context, **values):
    """Start a fleet that is stopped at the end of the scenario."""
    router = {'fatal_invariants': True, **values.pop('router', {})}
    bounds = {'lease_ms': 1000, **values.pop('bounds', {})}
    shape = shape_.FleetShape(router=router, bounds=bounds, **values)
    context.fleet = fleet_.Fleet(shape, seed=7)
    context.fleet.start()
    return context.fleet


def wait_until(condition, what, limit_ms=LONG_MS):
    """Wait until `condition` holds; fail with `what` after `limit_ms`."""
    clock = clock_.SystemClock()
    deadline = clock.now() + limit_ms
    while not condition():
        assert clock.now() < deadline, f'timed out after {limit_ms} ms: {what}'
        green.sleep_ms(10)


class Answer:
    """The response to one request."""

    def __init__(self, request_id):
        self.request_id = request_id
        self.status = 0
        self.headers = []
        self.body = b''
        self.complete = False
        self.failure = None
        self.ms = 0

    def header(self, name):
        lower_name = name.lower()
        return next(
            (v for n, v in self.headers if n.lower() == lower_name), ''
        )

    def __repr__(self):
        return f'{self.status} {self.headers} {self.body[:200]} {self.failure}'


def send_request(
    address,
    path='/holds/seat',
    method='POST',
    body=b'seat 1',
    headers=(),
    host=shape_.HOST,
    key=KEY,
    deadline_ms=LONG_MS,
    request_id='',
    on_bytes=None,
    conn=None,
):
    """Send one request as a caller of the platform's API does."""
    clock = clock_.SystemClock()
    answer = Answer(request_id or f'req-{next(_ids)}')
    began = clock.now()
    deadline = began + LONG_MS
    is_own = conn is None
    conn = conn or connection_.Connection(address, clock)
    if is_own:
        answer.failure = conn.connect(1000)
    lines = [('Host', host), (names.REQUEST_ID, answer.request_id)]
    if key:
        lines.append((names.AUTHORIZATION, key))
    if deadline_ms:
        lines.append((names.DEADLINE_MS, str(deadline_ms)))
    lines += list(headers)
    if answer.failure is None:
        answer.failure = conn.send(method, path, lines, body, deadline)
    if answer.failure is None:
        _read(conn, method, deadline, answer, on_bytes)
    answer.ms = clock.now() - began
    if is_own:
        conn.close()
    return answer


def _read(conn, method, deadline, answer, on_bytes):
    head = conn.read_head(method, deadline)
    if isinstance(head, failures.Failure):
        answer.failure = head
        return
    answer.status, answer.headers = head.status, head.headers
    while True:
        data = conn.read_some(deadline)
        if isinstance(data, failures.Failure):
            answer.failure = data
            return
        if not data:
            answer.complete = True
            return
        answer.body += data
        if on_bytes is not None:
            on_bytes(answer)


def raw_exchange(address, data, wait_ms=1500):
    """Send raw bytes; return all bytes received until the connection ends."""
    sock = raw_connect(address)
    sock.sendall(data)
    return read_rest(sock, wait_ms)


def raw_connect(address):
    host, _, port = address.rpartition(':')
    sock = green_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.connect((host, int(port)))
    return sock


def read_rest(sock, wait_ms=1500):
    """Return the bytes received until the peer closes or `wait_ms` pass."""
    chunks = []
    with green.Timeout(wait_ms / 1000, False):
        while data := sock.recv(65536):
            chunks.append(data)
    sock.close()
    return b''.join(chunks)


def make_limits(clock):
    """Return the limits of a router without the rest of the router."""
    return types.SimpleNamespace(
        quota=quota_.Quota(clock),
        retry_budget=retry_budget.RetryBudget(
            clock, 0.2, 10_000, 50, decisions_.Decisions(clock, 'r-1')
        ),
        crashes=crash_tracker.CrashTracker(clock, 'router-1'),
        limits=upstream_limits.UpstreamLimits(clock, 'router-1'),
        brittleness=brittleness.Brittleness(
            clock, 'router-1', slot_shares.SlotShares(clock, 'router-1')
        ),
        versions=version_gate.VersionGate(clock, 'router-1', False),
    )


def era_parts(clock):
    """Return what a fleet state without a store knows of the store's era."""
    return {
        'store': types.SimpleNamespace(era=store_era.StoreEra(clock)),
        'note_peer_era': lambda era: None,
    }


def routers(context):
    return {router.cfg.name: router for router in context.fleet.routers}


def guests(context, service=''):
    return context.fleet.running_upstreams(service)


def run_count(context, request_id):
    return sum(
        guest.upstream.app.runs[request_id]
        for guest in context.fleet.instances
    )


def arrival_count(context, request_id):
    return sum(
        arrived_id == request_id
        for guest in context.fleet.instances
        for _, arrived_id in guest.upstream.app.arrivals
    )


def event_ids(body):
    """Return the ids of the events in a response body."""
    return [
        int(line[4:]) for line in body.split(b'\n') if line.startswith(b'id: ')
    ]
