"""Steps for experiment files, arrivals and fault schedules."""

from __future__ import annotations

import itertools
import json
import pathlib

from behave import given
from behave import then
from behave import when

from peridotmast.client import caller as caller_
from peridotmast import clock as clock_
from peridotmast.embedded import fleet as fleet_
from peridotmast import failures
from peridotmast.load import arrivals
from peridotmast.load import experiment
from peridotmast.load import faults
from peridotmast.load import oracle
from peridotmast.load import soak
from peridotmast.platform import names
from peridotmast.standin import engine
from peridotmast.wire import connection as connection_

EXPERIMENTS = pathlib.Path(__file__).parents[2] / 'experiments'


@when('this experiment file is checked')
def check_experiment(context):
    path = f'{context.folder}/e.ini'
    with open(path, 'w') as file:
        file.write(context.text)
    _, context.found = experiment.load(path)


@then('the findings of the experiment file contain')
def check_findings(context):
    text = str(context.found)
    for row in context.table:
        assert row['text'] in text, (row['text'], text)


@then('the experiment files "{first}" and "{second}" have no findings')
def check_no_findings(context, first, second):
    for name in (first, second):
        _, found = experiment.load(str(EXPERIMENTS / f'{name}.ini'))
        assert not found, str(found)


def digest(seed):
    requests = arrivals.draw(soak.WORKLOADS, 20, seed)
    return arrivals.digest(requests, faults.draw(20, seed))


@then(
    'seed {one:d} gives the same digest twice, and seed {other:d} a different'
    ' one'
)
def check_digests(context, one, other):
    assert digest(one) == digest(one) != digest(other)


@then(
    'the schedules of seeds {first:d} to {last:d} contain each kind of fault'
)
def check_fault_kinds(context, first, last):
    for fault_kinds in (
        faults.EMBEDDED_FAULT_KINDS,
        faults.PROCESS_FAULT_KINDS,
    ):
        expected = {kind.value for kind in fault_kinds}
        for seed in range(first, last + 1):
            schedule = faults.draw(40, seed, fault_kinds=fault_kinds)
            assert {fault.kind for fault in schedule} == expected
    assert set(faults.PROCESS_FAULT_KINDS) == set(faults.FaultKind)


@when(
    'a soak of {seconds:d} s with seed {seed:d} is run with router processes'
)
def run_on_processes(context, seconds, seed):
    context.violations = soak.run(
        seconds, seed, context.folder, lambda line: None, processes=True
    )
    context.command = soak.reproduction_command(seconds, seed, processes=True)
    with open(f'{context.folder}/report.json', encoding='utf-8') as file:
        context.report = json.load(file)


@then('no guarantee is violated and each kind of fault was injected')
def check_soak(context):
    problems = context.report['lost']
    assert not context.violations, (
        context.command,
        context.violations,
        context.report['team_runs'],
        context.report['late_ms'],
        problems,
    )
    kinds = {kind.value for kind in faults.FaultKind}
    assert set(context.report['faults']) == kinds, context.report['faults']
    assert context.report['answered_whole'], context.report


@when('callers receive {part} of a stream, then {what}')
def callers_receive(context, part, what):
    arrival = arrivals.draw(soak.WORKLOADS[:1], 9, 1)[0]
    whole = oracle.expected_answer(arrival)
    text = whole if part == 'all' else whole[: len(whole) // 2]
    if what.startswith("an error's text"):
        text += '{"error": "engine is gone"}'
    attempts = [caller_.Attempt('r1', 'a', text=text)]
    if what.endswith('retry'):
        text = whole
        attempts.append(caller_.Attempt('r2', 'a', text=text))
    answer = caller_.Answer(text, not what.endswith('break'))
    answer.attempts = attempts
    if not answer.complete:
        answer.failure = failures.unknown('cut_short')
    context.fleet = fleet_.Fleet()
    judge = oracle.Oracle(context.fleet)
    judge.add(oracle.Outcome(arrival, answer))
    context.verdict = judge.judge({}, {}, [])


@then('the soak counts {count:d} wrong answers')
def check_wrong_answers(context, count):
    assert context.verdict.wrong_answers == count, context.verdict


@given('a stand-in engine with the fault "{fault}"')
def faulty_engine(context, fault):
    context.engine = engine.Engine('engine-1')
    context.add_cleanup(context.engine.stop)
    context.engine.app.stream_faults = {fault: 1.0}


@when('a stream is requested from event {position}')
def request_stream(context, position):
    clock = clock_.SystemClock()
    deadline = clock.now() + 5000
    conn = connection_.Connection(context.engine.address, clock)
    assert conn.connect(1000) is None
    headers = [('Host', 'e'), (names.REQUEST_ID, 'r1')]
    if position != 'none':
        headers.append((names.LAST_EVENT, position))
    assert conn.send('POST', '/x', headers, b'{}', deadline) is None
    context.head = conn.read_head('POST', deadline)
    parts = iter(lambda: conn.read_some(deadline), b'')
    received = itertools.takewhile(lambda p: isinstance(p, bytes), parts)
    context.body = b''.join(received)
    conn.close()


@then(
    'it answers {status:d} of type {type_}, with {what} of an error in its'
    ' body'
)
def check_engine_answer(context, status, type_, what):
    head, body = context.head, context.body
    assert (head.status, head.get('Content-Type')) == (status, type_), head
    assert head.get(names.SEAL), head
    assert (b'engine is gone' in body) == (what != 'nothing'), body
    assert (b'HTTP/1.1 500' in body) == (what == 'the head'), body


def parse_times(text):
    return [int(word) for word in text.split()]


@when(
    'one request crashes engines at {crashes} ms, and routers start at'
    ' {starts} ms'
)
def count_excess_crashes(context, crashes, starts):
    context.excess_crashes = oracle.count_excess_crashes(
        parse_times(crashes), parse_times(starts)
    )


@then('{count:d} crashes exceed the limit')
def check_excess_crashes(context, count):
    assert context.excess_crashes == count, context.excess_crashes


@given(
    'an engine that advertises a limit of {rate:d} request per second from'
    ' {first:d} to {last:d} ms'
)
def engine_advertises_limit(context, rate, first, last):
    context.rate, context.span = rate, (first, last)


@when(
    'the engine receives {count:d} requests from {first:d} ms,'
    ' {interval:d} ms apart'
)
def engine_receives_requests(context, count, first, interval):
    context.arrival_times = [first + n * interval for n in range(count)]


@when('all routers are killed at {at:d} ms')
def all_routers_killed(context, at):
    context.kill_all_times = [at]


@then("the engine's limit is {outcome}")
def check_limit_outcome(context, outcome):
    exceeds = oracle.exceeds_limit(
        context.arrival_times,
        context.rate,
        context.span,
        context.kill_all_times,
    )
    assert exceeds == (outcome == 'exceeded'), exceeds
