"""Steps of at-most-once, on routers without sockets."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import once_nodes

from peridotmast import failures
from peridotmast.schema import peridotmast_pb2 as pb

NOT_RUN = failures.FailureKind.NOT_RUN
UNKNOWN = failures.FailureKind.OUTCOME_UNKNOWN


def start(context, *names):
    context.world = once_nodes.World()
    context.objects = context.world.objects
    context.results = []
    for name in names:
        context.world.start(name)


def send(context, name, request_id, payload='seat'):
    context.world.gossip()
    node = context.world.nodes[name]
    context.results.append(node.send(request_id, payload))
    context.world.gossip()


def is_answer(result):
    return not isinstance(result, failures.Failure) and result.answer == 'ran'


def ran(context, request_id):
    return context.world.runs[f'noor/{request_id}']


@given('routers {names}')
def some_routers(context, names):
    start(context, *names.split(' and '))


@when('"{request_id}" is sent to "{name}"')
def is_sent(context, request_id, name):
    send(context, name, request_id)


@when('"{request_id}" with another payload is sent to "{name}"')
def other_is_sent(context, request_id, name):
    send(context, name, request_id, 'another seat')


@when(
    '"{other}" claims "{request_id}" between the read and the write '
    'of "{name}"'
)
def claim_between(context, other, request_id, name):
    world = context.world
    store = world.nodes[name].guard._claims._store

    def interfere(key):
        store.after_get = lambda key: None
        send(context, other, request_id)

    store.after_get = interfere
    send(context, name, request_id)


@when('a ticket of "{name}" is taken')
def take_ticket(context, name):
    context.ticket = context.world.nodes[name].guard.issue_ticket()


@when('a ticket of "{issuer}" is sent to "{name}"')
def send_new_ticket(context, issuer, name):
    take_ticket(context, issuer)
    send(context, name, context.ticket)


@when('the ticket is sent to "{name}"')
def send_ticket(context, name):
    send(context, name, context.ticket)


@when('"{name}" dies {when_} it runs "{request_id}"')
@when('"{name}" dies {when_} it ran "{request_id}"')
def dies_at(context, name, when_, request_id):
    context.world.crash_at = when_
    send(context, name, request_id)


@when('"{name}" dies')
def dies(context, name):
    context.world.crash(name)
    context.world.gossip()


@when('"{name}" is started again')
def started_again(context, name):
    context.world.start(name)


@when('the platform goes out with the write of "{name}" for "{request_id}"')
def out_with_write(context, name, request_id):
    store = context.world.nodes[name].guard._claims._store
    put = store.put

    def put_and_go_out(key, value, version):
        put(key, value, version)
        context.objects.out = True
        return failures.unknown('no_answer')

    store.put = put_and_go_out
    send(context, name, request_id)
    store.put = put


@when('the platform is back')
def platform_back(context):
    context.objects.out = False


@when('"{name}" drains')
def drains(context, name):
    context.world.nodes[name].drain.run()
    context.world.gossip()


@when('"{name}" drains and the replies of its first {count:d} tries are lost')
def drains_unsure(context, name, count):
    context.world.lose_peer_replies = count
    drains(context, name)
    context.world.lose_peer_replies = 0


@when('"{name}" drains and the first reply of the hand-over is lost')
def drains_twice(context, name):
    context.world.lose_peer_replies = 1
    drains(context, name)


@when('"{name}" and its successor die')
def both_die(context, name):
    owner = context.world.nodes[name].guard.owner
    for node in context.world.live():
        if node.name == name or owner in node.members.me.adopted:
            context.world.crash(node.name)
    context.world.gossip()


@when('the ticket is sent to the one that is left')
def send_to_left(context):
    send(context, context.world.live()[0].name, context.ticket)


def learn_epoch(context, epoch):
    for node in context.world.live():
        node.guard.learn_epoch(epoch)


@when('the epoch is {epoch:d} and "{request_id}" is sent to "{name}"')
def epoch_and_send(context, epoch, request_id, name):
    learn_epoch(context, epoch)
    send(context, name, request_id)


@when(
    'the epoch is {epoch:d} and {count:d} requests of it are sent to "{name}"'
)
def epoch_and_many(context, epoch, count, name):
    learn_epoch(context, epoch)
    for number in range(count):
        send(context, name, f'e{epoch}.n{number}')


@when('{count:d} further requests are sent to "{name}"')
def further(context, count, name):
    for number in range(count):
        send(context, name, f'e0.further{number}')


@then('the claims of epoch 0 are gone')
def claims_gone(context):
    for key, (_, value) in context.objects.values.items():
        if key.startswith('claims/bucket/'):
            bucket = pb.ClaimBucket.FromString(value)
            assert all(claim.epoch > 0 for claim in bucket.claims), key


@then('it got the answer')
def got_answer(context):
    assert is_answer(context.results[-1]), context.results[-1]


@then('both got the answer')
def both_got(context):
    assert all(map(is_answer, context.results)), context.results
    assert len(context.results) == 2


@then('it got the answer or was truly not run')
def answer_or_not_run(context):
    result = context.results[-1]
    truly = result.kind is NOT_RUN if not is_answer(result) else True
    assert truly or result.kind is UNKNOWN, result
    if not is_answer(result):
        assert ran(context, context.ticket) == 0


@then('the outcome is unknown')
def outcome_unknown(context):
    result = context.results[-1]
    assert isinstance(result, failures.Failure), result
    assert result.kind is UNKNOWN, result


@then('it was truly not run')
def truly_not_run(context):
    result = context.results[-1]
    assert isinstance(result, failures.Failure), result
    assert result.kind is NOT_RUN, result


@then('it failed as a conflict')
def failed_conflict(context):
    kind = context.results[-1].kind
    assert kind is failures.FailureKind.CONFLICT, kind


@then('it failed as invalid')
def failed_invalid(context):
    kind = context.results[-1].kind
    assert kind is failures.FailureKind.INVALID, kind


@then('"{request_id}" ran {count:d} time')
@then('"{request_id}" ran {count:d} times')
def ran_times(context, request_id, count):
    assert ran(context, request_id) == count, context.world.runs


@then('the ticket ran {count:d} time')
@then('the ticket ran {count:d} times')
def ticket_ran(context, count):
    assert ran(context, context.ticket) == count, context.world.runs


@then('the ticket ran at most 1 time')
def ticket_at_most(context):
    assert ran(context, context.ticket) <= 1, context.world.runs


class OnceMachine(stateful.RuleBasedStateMachine):
    """Repeats, crashes, hand-overs, lost replies, outages, epochs."""

    def __init__(self):
        super().__init__()
        self.world = once_nodes.World()
        for name in 'abc':
            self.world.start(name)
        self.epoch = 0
        self.ids = []
        self.maybe_run = set()

    def node(self, number):
        live = self.world.live()
        return live[number % len(live)]

    @stateful.rule(number=strategies.integers(0, 2))
    def new_ticket(self, number):
        ticket = self.node(number).guard.issue_ticket()
        if not isinstance(ticket, failures.Failure):
            self.ids.append(ticket)

    @stateful.rule()
    def new_claimed_id(self):
        self.ids.append(f'e{self.epoch}.n{len(self.ids)}')

    @stateful.precondition(lambda self: self.ids)
    @stateful.rule(
        which=strategies.integers(0, 1000),
        number=strategies.integers(0, 2),
        crash=strategies.sampled_from(['', '', '', '', 'before', 'after']),
    )
    def send(self, which, number, crash):
        # The newest ids are the likeliest to be repeated.
        request_id = self.ids[-1 - which % min(6, len(self.ids))]
        if len(self.world.live()) < 2:
            crash = ''
        self.world.crash_at = crash
        key = f'noor/{request_id}'
        before = self.world.runs[key]
        result = self.node(number).send(request_id)
        self.world.crash_at = ''
        if is_answer(result):
            assert self.world.runs[key] == 1, key
        elif result.kind is NOT_RUN:
            assert self.world.runs[key] == before, f'{key} ran all the same'

    @stateful.rule(number=strategies.integers(0, 2))
    def crash(self, number):
        if len(self.world.live()) > 1:
            self.world.crash(self.node(number).name)

    @stateful.rule(name=strategies.sampled_from('abc'))
    def start_again(self, name):
        if self.world.nodes[name].dead:
            self.world.start(name).guard.learn_epoch(self.epoch)

    @stateful.rule(
        number=strategies.integers(0, 2), lost=strategies.integers(0, 4)
    )
    def drain(self, number, lost):
        node = self.node(number)
        if node.drain.state.value == 'serving':
            self.world.lose_peer_replies = lost
            node.drain.run()
            self.world.lose_peer_replies = 0

    @stateful.rule(count=strategies.integers(1, 3))
    def lose_store_replies(self, count):
        self.world.objects.lose_replies = count

    @stateful.rule(count=strategies.integers(1, 3))
    def drop_store_writes(self, count):
        self.world.objects.drop_writes = count

    @stateful.rule(out=strategies.booleans())
    def outage(self, out):
        self.world.objects.out = out

    @stateful.rule()
    def gossip(self):
        self.world.gossip()

    @stateful.rule(told=strategies.integers(0, 3))
    def next_epoch(self, told):
        self.epoch += 1
        for node in self.world.live()[:told]:
            node.guard.learn_epoch(self.epoch)

    @stateful.rule()
    def forget(self):
        """Let ledgers reach the age at which they forget."""
        self.world.clock.advance(20_000)

    @stateful.invariant()
    def at_most_once(self):
        twice = {key: n for key, n in self.world.runs.items() if n > 1}
        assert not twice, twice


@then(
    'the state machine finds no request that ran twice or "not run" that ran'
)
def state_machine(context):
    stateful.run_state_machine_as_test(
        OnceMachine,
        settings=hypothesis.settings(
            max_examples=250,
            stateful_step_count=40,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )
