"""Steps for link faults of proxies, and for the requests they excuse."""

from __future__ import annotations

import random
import types
import uuid

from behave import given
from behave import then
from behave import when

from peridotmast.client import caller as caller_
from peridotmast import clock as clock_
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import link_proxy
from peridotmast import failures
from peridotmast.load import arrivals
from peridotmast.load import faults
from peridotmast.load import oracle
from peridotmast.load import soak
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.standin import plain_service
from peridotmast.wire import connection as connection_

TIMEOUT_MS = 30_000
ADDRESS = '127.0.0.1:1'
CLOCK = clock_.SystemClock()


class ProxiedExchange:
    """A connection through the proxy, and its last request."""

    def __init__(self, proxy):
        self.conn = connection_.Connection(proxy.address, CLOCK)
        self.failure = self.conn.connect(TIMEOUT_MS)
        self.id = self.body = None

    def send(self):
        self.id = uuid.uuid4().hex
        self.body = f'{"x" * 20_000}"request_id": "{self.id}"'.encode()
        deadline = CLOCK.now() + TIMEOUT_MS
        self.conn.send('POST', '/', [('Host', 'x')], self.body, deadline)

    def receive(self):
        deadline = CLOCK.now() + TIMEOUT_MS
        head = self.conn.read_head('POST', deadline)
        if isinstance(head, failures.Failure):
            return head
        return self.conn.read_all(deadline, 1 << 20)


@given('a connection through a proxy')
def connection_through_proxy(context):
    context.target = plain_service.PlainService('s')
    context.recorded = {}
    context.proxy = link_proxy.LinkProxy(
        context.target.address, context.recorded
    )
    context.closing += [context.target.stop, context.proxy.close]
    context.exchange = new_exchange(context)


def new_exchange(context):
    exchange = ProxiedExchange(context.proxy)
    exchange.send()
    assert exchange.receive() == b'done:' + exchange.body
    return exchange


@when(
    'the link of the connection is {mode}, and a new connection gets an answer'
)
def begin_link_fault(context, mode):
    mode, _, affected = mode.partition(', ')
    context.fault = link_proxy.LinkFault(
        link_proxy.FaultMode(mode), affects_requests=affected == 'requests'
    )
    context.proxy.begin_fault(context.fault, random.Random(1))
    context.exchange.send()
    new_exchange(context)


@then(
    'the first connection receives nothing until the fault ends, and then it'
    ' {ends}'
)
def check_until_fault_end(context, ends):
    assert context.exchange.conn.is_clean()
    context.proxy.end_fault(context.fault)
    context.execute_steps(f'Then the first connection {ends}')


@then('the first connection gets its answer')
def check_first_answered(context):
    assert context.exchange.receive() == b'done:' + context.exchange.body


@then('the first connection is reset, with the fault recorded as {fault}')
def check_first_reset(context, fault):
    found = context.exchange.receive()
    assert isinstance(found, failures.Failure), found
    assert found.reason == 'broke_off', found
    assert context.recorded == {context.exchange.id: fault}


@then(
    "a new connection after the stop of the proxy's target is reset, with the"
    ' fault recorded as {fault}'
)
def check_reset_after_stop(context, fault):
    context.target.stop()
    context.exchange = ProxiedExchange(context.proxy)
    context.exchange.send()
    check_first_reset(context, fault)


@then('the next connection is refused until the target listens again')
def check_refused_until_restart(context):
    assert ProxiedExchange(context.proxy).failure.reason == 'no_connection'
    context.closing.append(context.target.restarted().stop)
    context.proxy.open()
    new_exchange(context)


@then(
    'an answer cut by a planned stop counts as such unless the proxy has'
    ' recorded a fault of its request'
)
def check_faulty_request_excused(context):
    context.fleet = fleet_.Fleet()
    for request_id, count in (('', 1), ('another', 1), ('its', 0)):
        context.fleet.links.drop_reasons[request_id] = 'reset'
        assert count_cuts(context.fleet, 50, {ADDRESS: (0, 100)}) == count


def count_cuts(fleet, ended, drained, ms=1):
    """Judge one broken answer; return how many cuts by planned stops count.

    Its caller has waited for `ms`.
    """
    attempt = caller_.Attempt('its', ADDRESS, ended_at=ended)
    answer = caller_.Answer(
        failure=failures.unknown('broke_off'), started_at=ended - ms
    )
    answer.attempts.append(attempt)
    arrival = arrivals.draw(soak.WORKLOADS[-1:], 9, 1)[0]
    judge = oracle.Oracle(fleet)
    judge.add(oracle.Outcome(arrival, answer))
    return judge.judge({}, drained, []).cut_by_planned_stop


@then(
    'an answer that ends with the time of its caller does not count as cut by'
    ' a planned stop'
)
def check_ended_caller_excused(context):
    context.fleet = fleet_.Fleet()
    (arrival,) = arrivals.draw(soak.WORKLOADS[-1:], 9, 1)[:1]
    for ms, count in ((arrival.deadline_ms, 0), (arrival.deadline_ms - 1, 1)):
        assert count_cuts(context.fleet, 50, {ADDRESS: (0, 100)}, ms) == count


@then(
    'an answer cut before the kill counts as cut by the planned stop, and one'
    ' cut by the kill does not'
)
def check_cuts_around_kill(context):
    context.fleet = fleet = fleet_.Fleet()
    driver = faults.FaultDriver(fleet, 0)
    fleet.add_router = lambda *args, **kwargs: None
    router = types.SimpleNamespace(
        chat_address=ADDRESS,
        cfg=types.SimpleNamespace(failure_domain='fd-1'),
        stop=lambda: None,
    )
    fleet.running_routers = lambda: [router] * 3
    fleet.restart_router = lambda router: None
    router.drain = lambda: driver.inject(pb.Fault(kind='kill_all_routers'))
    driver.inject(pb.Fault(kind='drain_router'))
    began, ended = driver.drain_spans[ADDRESS]
    killed = ended + 1 + oracle.DISCONNECT_WINDOW_MS
    assert began <= killed <= CLOCK.now()
    assert count_cuts(fleet, killed, driver.drain_spans) == 0
    driver.drain_spans[ADDRESS] = killed - 9, ended
    assert count_cuts(fleet, killed - 1, driver.drain_spans) == 1
