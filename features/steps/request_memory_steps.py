"""Steps for the memory of requests."""

from __future__ import annotations

import gc
import weakref

from behave import given
from behave import then
from behave import when
import fleet_steps
import helpers
import hypothesis
from hypothesis import strategies

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import reply as reply_
from peridotmast.standin import plain_service
from peridotmast.wire.overload import events as events_
from peridotmast.wire.overload import memory_budget
from peridotmast.wire.overload import stream_hold

Phase = memory_budget.Phase
MAX_BYTES = 1_000_000
LARGE_BYTES = 400_000
STEP_BYTES = 4096


class ManualClock:
    def __init__(self):
        self.ms = 0

    def now(self):
        return self.ms


class Body:
    """Stands for a body; can be referenced weakly."""


def make_budget(context, max_bytes):
    context.clock = ManualClock()
    context.events = events_.OverloadEvents()
    context.budget = memory_budget.MemoryBudget(
        context.clock, context.events, max_bytes
    )


@when('a task is cancelled before it begins, in a frame that holds a body')
def cancel_task(context):
    gc.collect()
    gc.disable()

    def handle():
        body = Body()
        task = green.spawn_after_ms(60_000, print)
        task.kill()
        return weakref.ref(body)

    context.body = handle()


@then('the body is released without a garbage collection')
def check_released(context):
    is_released = context.body() is None
    gc.enable()
    assert is_released


@when('a caller sends a body of {size:d} bytes and does not read the answer')
def send_unread(context, size):
    context.sent_bytes = size
    head = (
        'POST /pages/a HTTP/1.1',
        f'Host: {shape_.HOST}',
        f'Authorization: {helpers.KEY}',
        f'Content-Length: {size}',
    )
    sock = helpers.raw_connect(fleet_steps.router_address(context))
    context.closing.append(sock.close)
    gc.collect()
    gc.disable()
    sock.sendall('\r\n'.join((*head, '', '')).encode() + b'a' * size)
    helpers.wait_until(
        lambda: sum(
            guest.upstream.app.runs.total() for guest in guests(context)
        ),
        'a run',
    )
    green.sleep_ms(500)


def guests(context):
    return context.fleet.running_upstreams(shape_.PLAIN_SERVICE)


@then('the router has released the body without a garbage collection')
def check_body(context):
    held = [
        found
        for found in gc.get_objects()
        if isinstance(found, exchange_.Exchange)
        # Others may be left of earlier scenarios.
        and len(found.body) >= context.sent_bytes
    ]
    gc.enable()
    assert not held, held


@when('a caller reads a large answer')
def read_large_answer(context):
    gc.collect()
    gc.disable()
    address = fleet_steps.router_address(context)
    answer = helpers.send_request(
        address, f'/pages/{plain_service.LARGE_NAME}'
    )
    assert len(answer.body) == plain_service.LARGE_BYTES, answer
    green.sleep_ms(100)


@then('the router has released the answer without a garbage collection')
def check_answer(context):
    held = [
        found
        for found in gc.get_objects()
        if isinstance(found, reply_.Reply)
        and isinstance(found.body, bytes)
        and len(found.body) == plain_service.LARGE_BYTES
    ]
    gc.enable()
    assert not held, len(held)


@given('a budget of {size:d} bytes')
def given_budget(context, size):
    make_budget(context, size)


@when('a request alone charges {size:d} bytes')
def charge_alone(context, size):
    context.first = context.budget.open()
    context.first.phase = Phase.BODY
    for _ in range(5):
        context.first.charge(size // 5)


@then('it is not refused')
def check_not_refused(context):
    assert not context.events.counts, context.events.counts


def is_refused(account, size):
    try:
        account.charge(size)
    except memory_budget.OverloadedError:
        return True
    return False


@then('a second request is refused as long as the first one runs')
def check_second(context):
    context.first.phase = Phase.RUNNING
    second = context.budget.open()
    assert is_refused(second, 10)
    context.first.close()
    assert not is_refused(second, 10)


@when(
    'bodies of {sizes} bytes have been read for {ages} ms',
)
def read_bodies(context, sizes, ages):
    add_accounts(context, sizes, ages, Phase.BODY)


@when('answers of {sizes} bytes have made no progress for {ages} ms')
def send_answers(context, sizes, ages):
    add_accounts(context, sizes, ages, Phase.ANSWER)


def add_accounts(context, sizes, ages, phase):
    context.accounts = []
    context.clock.ms = 10_000
    for size, age in zip(numbers(sizes), numbers(ages)):
        account = context.budget.open()
        account.phase = phase
        account.charge(size)
        account.began_at = account.progressed_at = context.clock.ms - age
        context.accounts.append(account)


def numbers(text):
    return [int(part) for part in text.replace(' and ', ',').split(',')]


@when('another request charges {size:d} bytes')
def charge_another(context, size):
    account = context.budget.open()
    account.phase = Phase.BODY
    account.charge(size)


@then('only the first body is evicted')
@then('only the first answer is broken off')
def check_first_evicted(context):
    evicted = [account.is_evicted for account in context.accounts]
    assert evicted == [True] + [False] * (len(evicted) - 1), evicted


ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('open', 'charge', 'run', 'answer', 'close')),
        strategies.integers(0, 7),
        strategies.integers(1, LARGE_BYTES),
        strategies.integers(0, 1500),
    ),
    max_size=60,
)


@then(
    'in {count:d} random histories the memory in use is what open requests'
    ' hold, and within the budget'
)
def check_histories(context, count):
    context.lost = []

    @hypothesis.settings(max_examples=count, deadline=None, database=None)
    @hypothesis.seed(75)
    @hypothesis.given(ACTIONS)
    def check(actions):
        play_history(context, actions)

    check()


def play_history(context, actions):
    make_budget(context, MAX_BYTES)
    accounts = []
    for action, number, size, pause in actions:
        context.clock.ms += pause
        if action == 'open':
            accounts.append(context.budget.open())
            accounts[-1].phase = Phase.BODY
        elif accounts:
            act(context, accounts, action, number % len(accounts), size)
        held = [account.held_bytes for account in accounts]
        assert context.budget.used_bytes == sum(held), held
        context.lost += [
            account
            for account in accounts
            if account.is_evicted and account.phase is Phase.RUNNING
        ]


def act(context, accounts, action, number, size):
    account = accounts[number]
    used, was_body = context.budget.used_bytes, account.phase is Phase.BODY
    if action == 'charge' and was_body and not is_refused(account, size):
        is_alone = context.budget.used_bytes == account.held_bytes
        assert context.budget.used_bytes <= MAX_BYTES or is_alone, used
    elif action == 'run' and was_body and not account.is_evicted:
        account.phase = Phase.RUNNING
    elif action == 'answer' and account.phase is Phase.RUNNING:
        account.begin_answer(size)
    elif action == 'close':
        account.close()
        del accounts[number]


@then('no request that may run is evicted')
def check_none_lost(context):
    assert not context.lost, context.lost


@given('a budget of {size:d} bytes for answers')
def given_answer_budget(context, size):
    context.events = events_.OverloadEvents()
    context.clock = clock_.SystemClock()
    context.budget = memory_budget.MemoryBudget(
        context.clock, context.events, size
    )
    context.answers = []


class WaitingAnswer:
    """An answer whose memory is reserved in a task of its own."""

    def __init__(self, context, size, left_ms):
        self._deadline = context.clock.now() + left_ms
        self.account = context.budget.open()
        self.account.phase = Phase.RUNNING
        self.reserve(size)

    def reserve(self, size):
        self.is_read = None
        self.task = green.spawn(self._reserve, size)

    def _reserve(self, size):
        self.is_read = self.account.reserve_answer(size, self._deadline)


def arrive(context, sizes, left_ms):
    for size, ms in zip(sizes, left_ms):
        context.answers.append(WaitingAnswer(context, size, ms))
        green.sleep_ms(1)


@when('answers of {sizes} bytes arrive')
def answers_arrive(context, sizes):
    arrive(context, numbers(sizes), [helpers.LONG_MS] * len(numbers(sizes)))


@when('answers of {sizes} bytes arrive, the second one with {ms:d} ms left')
def hasty_answers_arrive(context, sizes, ms):
    arrive(context, numbers(sizes), [helpers.LONG_MS, ms])


@when('each of them has {size:d} bytes more')
def answers_grow(context, size):
    for answer in context.answers:
        answer.reserve(size)


@when('answer {number:d} has been sent')
def answer_sent(context, number):
    context.answers[number - 1].account.close()


@when('the caller of answer {number:d} leaves')
def waiting_caller_leaves(context, number):
    green.sleep_ms(1)
    answer = context.answers[number - 1]
    answer.task.kill()
    answer.account.close()


@when('a body of {size:d} bytes has been read for {ms:d} ms')
def read_one_body(context, size, ms):
    context.body_account = context.budget.open()
    context.body_account.phase = Phase.BODY
    context.body_account.charge(size)
    green.sleep_ms(ms)


@then('the answers {read} are read, and the others {state}')
def check_answers(context, read, state):
    green.sleep_ms(400)
    found = [n for n, a in enumerate(context.answers, 1) if a.is_read]
    assert found == numbers(read), found
    others = {a.is_read for a in context.answers if not a.is_read}
    expected = {'have failed': {False}}.get(state, {None})
    assert others == expected, others
    is_waiting = state == 'wait'
    assert bool(len(context.budget.answers)) == is_waiting


@then('all answers are read')
def check_all_read(context):
    green.sleep_ms(400)
    assert all(answer.is_read for answer in context.answers)
    assert not len(context.budget.answers)


@then('the answers {read} are read, and the body is evicted')
def check_body_evicted(context, read):
    green.sleep_ms(100)
    found = [n for n, a in enumerate(context.answers, 1) if a.is_read]
    assert found == numbers(read), found
    assert context.body_account.is_evicted


@then('the answers 1 and 2 hold {sizes} bytes')
def check_answers_hold(context, sizes):
    green.sleep_ms(200)
    held = [answer.account.held_bytes for answer in context.answers]
    assert held == numbers(sizes), held


@then(
    'in {count:d} random histories of streams the count is what they hold, and'
    ' within the budget'
)
def stream_histories(context, count):
    numbers = strategies.integers(0, 4)
    steps = strategies.tuples(
        numbers, strategies.integers(0, MAX_BYTES), strategies.booleans()
    )

    @hypothesis.settings(max_examples=count, deadline=None, derandomize=True)
    @hypothesis.given(strategies.lists(steps, max_size=40))
    def check(history):
        make_budget(context, MAX_BYTES)
        accounts = [context.budget.open() for _ in range(5)]
        holds = [stream_hold.StreamHold(account) for account in accounts]
        sizes = [0] * 5
        for number, size, is_end in history:
            if is_end:
                accounts[number].close()
                accounts[number] = context.budget.open()
                holds[number] = stream_hold.StreamHold(accounts[number])
                sizes[number] = 0
            elif holds[number].resize(size):
                sizes[number] = size
            alone = sum(map(bool, sizes)) == 1
            used = context.budget.used_bytes
            assert used == sum(account.held_bytes for account in accounts)
            assert sum(sizes) - 5 * STEP_BYTES < used <= sum(sizes)
            assert alone or used <= MAX_BYTES

    check()
