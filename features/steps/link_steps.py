"""Steps of the proxies in front of links, and of what they excuse."""

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

WAIT_MS = 30_000
ADDRESS = '127.0.0.1:1'
CLOCK = clock_.SystemClock()


class Exchange:
    """One connection, and its last request."""

    def __init__(self, proxy):
        self.conn = connection_.Connection(proxy.address, CLOCK)
        self.failure = self.conn.connect(WAIT_MS)
        self.id = self.body = None

    def send(self):
        self.id = uuid.uuid4().hex
        self.body = f'{"x" * 20_000}"request_id": "{self.id}"'.encode()
        deadline = CLOCK.now() + WAIT_MS
        self.conn.send('POST', '/', [('Host', 'x')], self.body, deadline)

    def receive(self):
        deadline = CLOCK.now() + WAIT_MS
        head = self.conn.read_head('POST', deadline)
        if isinstance(head, failures.Failure):
            return head
        return self.conn.read_all(deadline, 1 << 20)


@given('a connection through a proxy')
def through_proxy(context):
    context.target = plain_service.PlainService('s')
    context.noted = {}
    context.proxy = link_proxy.LinkProxy(context.target.address, context.noted)
    context.closing += [context.target.stop, context.proxy.close]
    context.one = new_answered(context)


def new_answered(context):
    new = Exchange(context.proxy)
    new.send()
    assert new.receive() == b'done:' + new.body
    return new


@when('its link is {mode}, and a new connection is answered')
def has_trouble(context, mode):
    mode, _, hit = mode.partition(', ')
    context.trouble = link_proxy.LinkFault(
        link_proxy.FaultMode(mode), affects_requests=hit == 'requests'
    )
    context.proxy.begin_fault(context.trouble, random.Random(1))
    context.one.send()
    new_answered(context)


@then('nothing came back to it until that is over, and it {ends}')
def until_over(context, ends):
    assert context.one.conn.is_clean()
    context.proxy.end_fault(context.trouble)
    context.execute_steps(f'Then it {ends}')


@then('it gets its answer')
def gets_answer(context):
    assert context.one.receive() == b'done:' + context.one.body


@then('it is reset, noted as {why}')
def is_reset(context, why):
    found = context.one.receive()
    assert isinstance(found, failures.Failure), found
    assert found.reason == 'broke_off', found
    assert context.noted == {context.one.id: why}


@then('where its target ends a new one is reset, noted as {why}')
def target_ends(context, why):
    context.target.stop()
    context.one = Exchange(context.proxy)
    context.one.send()
    is_reset(context, why)


@then('the next one is refused, until the target listens again')
def refused(context):
    assert Exchange(context.proxy).failure.reason == 'no_connection'
    context.closing.append(context.target.restarted().stop)
    context.proxy.open()
    new_answered(context)


@then("a planned stop's cut counts where no or another request is noted")
def excused(context):
    context.fleet = fleet_.Fleet()
    for noted, count in (('', 1), ('another', 1), ('its', 0)):
        context.fleet.links.drop_reasons[noted] = 'reset'
        assert cuts(context.fleet, 50, {ADDRESS: (0, 100)}) == count


def cuts(fleet, ended, drained):
    """Return how many cuts by planned stops one broken answer counts as."""
    attempt = caller_.Attempt('its', ADDRESS, ended_at=ended)
    answer = caller_.Answer(failure=failures.unknown('broke_off'))
    answer.attempts.append(attempt)
    arrival = arrivals.draw(soak.WORKLOADS[-1:], 9, 1)[0]
    judge = oracle.Oracle(fleet)
    judge.add(oracle.Outcome(arrival, answer))
    return judge.judge({}, drained, []).cut_by_planned_stop


@then('what ended before the kill counts as cut, and what went with it not')
def killed_in_stop(context):
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
    router.drain = lambda: driver.bring(pb.Fault(kind='kill_all_routers'))
    driver.bring(pb.Fault(kind='drain_router'))
    began, ended = driver.drained[ADDRESS]
    killed = ended + 1 + oracle.CUT_MS
    assert began <= killed <= CLOCK.now()
    assert cuts(fleet, killed, driver.drained) == 0
    driver.drained[ADDRESS] = killed - 9, ended
    assert cuts(fleet, killed - 1, driver.drained) == 1
