"""Steps for routers that find each other by entries in the store."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from memory_store import MemoryStore

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast.coordination import registry as registry_
from peridotmast.schema import peridotmast_pb2 as pb


_FIRST_PORT = 1000


class StartingRouter:
    """The parts of a starting router that register it in the store."""

    def __init__(self, store, name, port, run=1):
        me = pb.Member(
            name=name,
            incarnation=run,
            beacon_address=f'10.0.0.1:{port}',
            state=members_.ALIVE,
        )
        self.members = members_.Members(me, clock_.ManualClock(), 1250)
        self.registry = registry_.Registry(store, self.members)

    @property
    def known(self):
        return {p.member.name: p.member for p in self.members.peers()}


@given('a store with the entries of {count:d} routers')
def register_routers(context, count):
    context.store = MemoryStore()
    context.count = count
    for number in range(count):
        assert StartingRouter(
            context.store, f'r{number}', _FIRST_PORT + number
        ).registry.register()


@when('one of the registered routers restarts at its address')
def restart_at_same_address(context):
    restart_at_port(context, port=_FIRST_PORT + 1)


@when('one of the registered routers restarts at another address')
def restart_elsewhere(context):
    restart_at_port(context, port=77)


def restart_at_port(context, port):
    context.store.calls = 0
    context.started = StartingRouter(context.store, 'r1', port, run=2)
    context.has_registered = context.started.registry.register()


@then('the router knows all other routers after {count:d} calls to the store')
@then('the router knows all other routers after {count:d} call to the store')
def check_knows_all_others(context, count):
    assert context.has_registered
    assert len(context.started.known) == context.count - 1
    assert context.store.calls == count, context.store.calls


@then(
    'a router that starts later finds the restarted router at its new address'
)
def check_found_at_new_address(context):
    other = StartingRouter(context.store, 'r9', 9)
    assert other.registry.register()
    assert other.known['r1'].beacon_address == '10.0.0.1:77'


@when('a new router gets no answer to the write of its entry, and retries')
def register_after_lost_reply(context):
    context.started = StartingRouter(context.store, 'new', 50)
    context.store.lose_replies = 1
    assert not context.started.registry.register()
    assert context.started.registry.register()


@then(
    'the router knows all other routers, and a router that starts later finds'
    ' it'
)
def check_knows_others_and_found(context):
    assert len(context.started.known) == context.count
    other = StartingRouter(context.store, 'r9', 9)
    assert other.registry.register() and 'new' in other.known


@then('the router knows that an earlier run may have used its retry budget')
def check_has_earlier_run(context):
    assert not context.started.registry.is_first_run
    # Its own entry may be the one that it finds when it registers again.
    assert context.started.registry.register()
    assert not context.started.registry.is_first_run


@then('the router knows that this is its first run')
def check_is_first_run(context):
    assert context.started.registry.is_first_run


@when('two routers start at once, with their calls interleaved')
def start_two_interleaved(context):
    real, runs = context.store.list, []
    context.both = [
        StartingRouter(context.store, name, port)
        for name, port in (('a', 1), ('b', 2))
    ]

    def list_interleaved(kind):
        listing = real(kind)
        if not runs:
            runs.append(True)
            assert context.both[1].registry.register()
        return listing

    context.store.list = list_interleaved
    assert context.both[0].registry.register()


@then('at least one of the two knows the other')
def check_one_knows_the_other(context):
    first, second = context.both
    assert 'b' in first.known or 'a' in second.known
