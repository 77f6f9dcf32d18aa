"""Steps of how routers that start find each other in the store."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
from memory_store import MemoryStore

from peridotmast import clock as clock_
from peridotmast.coordination import members as members_
from peridotmast.coordination import registry as registry_
from peridotmast.schema import peridotmast_pb2 as pb


class Starting:
    """A router's run, as far as it enters the store."""

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


@given('a store that {count:d} routers have entered')
def have_entered(context, count):
    context.store = MemoryStore()
    context.count = count
    for number in range(count):
        assert Starting(
            context.store, f'r{number}', number
        ).registry.register()


@when('one of them starts again at its address')
def starts_again(context):
    begin(context, port=1)


@when('one of them starts again at another address')
def starts_elsewhere(context):
    begin(context, port=77)


def begin(context, port):
    context.store.calls = 0
    context.started = Starting(context.store, 'r1', port, run=2)
    context.entered = context.started.registry.register()


@then('it knows all the others after {count:d} calls of the store')
@then('it knows all the others after {count:d} call of the store')
def knows_all(context, count):
    assert context.entered
    assert len(context.started.known) == context.count - 1
    assert context.store.calls == count, context.store.calls


@then('one that starts after it finds it at its new address')
def finds_it(context):
    other = Starting(context.store, 'r9', 9)
    assert other.registry.register()
    assert other.known['r1'].beacon_address == '10.0.0.1:77'


@when('its entry is not answered, and it tries again')
def not_answered(context):
    context.started = Starting(context.store, 'new', 50)
    context.store.lose_replies = 1
    assert not context.started.registry.register()
    assert context.started.registry.register()


@then('it knows all the others, who find it')
def knows_and_found(context):
    assert len(context.started.known) == context.count
    other = Starting(context.store, 'r9', 9)
    assert other.registry.register() and 'new' in other.known


@when('two start at once, each step of the one between two of the other')
def two_at_once(context):
    real, runs = context.store.list, []
    context.both = [
        Starting(context.store, name, port)
        for name, port in (('a', 1), ('b', 2))
    ]

    def list_between(kind):
        found = real(kind)
        if not runs:
            runs.append(True)
            assert context.both[1].registry.register()
        return found

    context.store.list = list_between
    assert context.both[0].registry.register()


@then('at least one of them knows the other')
def one_knows(context):
    first, second = context.both
    assert 'b' in first.known or 'a' in second.known
