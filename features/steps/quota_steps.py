"""Steps for the limit of a team over all routers."""

from __future__ import annotations

import random
import re
import types

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import stateful
import quota_history
import quota_model


@given(
    '{count:d} routers before a team with {rate:d} tokens a second and a burst'
    ' of {burst:d}'
)
def routers_before_team(context, count, rate, burst):
    context.team_fleet = quota_model.QuotaFleet(count, rate, burst)


@when('{count:d} of them announce that they leave')
def routers_leave(context, count):
    for number in range(count):
        context.team_fleet.leave(number)


@when('the team asks for {times:g} times its limit for {seconds:d} s')
def team_asks(context, times, seconds):
    context.team_fleet.asked = times
    context.team_fleet.run(seconds * 1000)


@when('the team asks for {times:g} times its limit for {ms:d} ms')
def team_asks_briefly(context, times, ms):
    context.team_fleet.asked = times
    context.team_fleet.run(ms)


@when('{count:d} of them are replaced under new names, and no beacon arrives')
def replace_routers(context, count):
    fleet = context.team_fleet
    for number in sorted(fleet.routers)[:count]:
        fleet.kill(number)
    context.added = [100 + number for number in range(count)]
    for number in context.added:
        fleet.start(number, is_first_run=True)
    fleet.delay_ms = lambda sender, receiver: None
    fleet.homes = context.added
    fleet.runs.clear()


@then('the new routers ran at most their part of 0.8 s and a request each')
def check_new_routers(context):
    fleet = context.team_fleet
    count = len(context.added)
    part = 0.8 * fleet.rate * count / len(fleet.routers)
    most = part + count * max(quota_model.PROMPTS)
    assert 0 < fleet.total() <= most, (fleet.total(), most)


@when('router {number:d} starts, whose beacons take {ms:d} ms')
def start_router(context, number, ms):
    fleet = context.team_fleet
    fleet.start(number, is_first_run=True)
    fleet.delay_ms = lambda sender, receiver: (
        ms if sender.number == number else 5
    )


@then('router {number:d} has counted all that ran')
def check_all_counted(context, number):
    fleet = context.team_fleet
    (counted,) = fleet.routers[number].node.peering._totals.group().spends
    assert counted.tokens == fleet.total(), (counted.tokens, fleet.total())


@when('beacons from router {number:d} to router {other:d} are lost')
def lose_beacons(context, number, other):
    context.team_fleet.delay_ms = lambda sender, receiver: (
        None if (sender.number, receiver.number) == (number, other) else 5
    )


@then('router {number:d} keeps at most {most:d} of over {runs:d} admissions')
def check_admissions_kept(context, number, most, runs):
    bucket = context.team_fleet.routers[number].quota._buckets['noor']
    kept = len(bucket.spending._admitted)
    assert kept <= most, kept
    assert len(context.team_fleet.runs) > runs


@when(
    'router {number:d} admits {tokens:d} tokens, and router {other:d} gets its'
    ' last two reports in reverse order'
)
def reverse_reports(context, number, tokens, other):
    fleet = context.team_fleet
    sender, receiver = (fleet.routers[n] for n in (number, other))
    beacons = []
    for part in (tokens // 2, tokens - tokens // 2):
        fleet.clock.advance(quota_model.STEP_MS)
        assert not sender.quota.take(quota_model.TEAM, part)
        fleet.runs.append((fleet.clock.now(), part))
        round_ = iter(sender.node.peering.rounds.next_round())
        beacons.append(next(round_)[0])
    for beacon in reversed(beacons):
        receiver.node.peering.receive(beacon)


@when('all its callers use router {number:d}')
def callers_use_router(context, number):
    context.team_fleet.homes = [number]


@then('no request is refused to the team')
def check_none_refused(context):
    fleet = context.team_fleet
    assert fleet.runs and not fleet.refused, (fleet.refused, len(fleet.runs))


@then(
    'in {count:d} random histories of {steps:d} steps no more runs in any 8 s'
    ' than is allowed'
)
def check_histories(context, count, steps):
    run_histories(quota_history.QuotaHistory, count, steps)


@then(
    'in {count:d} random histories of {steps:d} steps with groups no more runs'
    ' in any 8 s than is allowed'
)
def check_grouped_histories(context, count, steps):
    run_histories(quota_history.GroupedQuotaHistory, count, steps)


def run_histories(machine, count, steps):
    settings = hypothesis.settings(
        max_examples=count,
        stateful_step_count=steps,
        deadline=None,
        database=None,
        # A minimal history would take minutes to find.
        phases=[hypothesis.Phase.generate],
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


@when('the team asks for nothing for {seconds:d} s')
def team_is_idle(context, seconds):
    team_asks(context, 0, seconds)


@when(
    'beacons take {least:d} to {most:d} ms, and rounds are up to {late:d} ms'
    ' late'
)
def beacons_are_late(context, least, most, late):
    fleet = context.team_fleet
    draws = random.Random(0)
    fleet.delay_ms = lambda sender, receiver: draws.randint(least, most)
    fleet.pause_ms = lambda router: draws.randint(0, late)
    fleet.run(quota_model.SETTLE_MS)


@when('beacons between heads take {least:d} to {most:d} ms')
def beacons_between_heads_are_late(context, least, most):
    fleet = context.team_fleet
    draws = random.Random(0)
    heads = {
        number
        for number, router in fleet.routers.items()
        if router.node.snapshot().is_head
    }
    fleet.delay_ms = lambda sender, receiver: (
        draws.randint(least, most)
        if {sender.number, receiver.number} <= heads
        else 5
    )
    fleet.run(quota_model.SETTLE_MS)


@then('no more tokens run in any 8 s than are allowed')
def check_worst_window(context):
    worst, allowed = (
        context.team_fleet.worst_window(),
        context.team_fleet.allowed,
    )
    assert worst <= allowed, (worst, allowed, worst / allowed)


@then('at least {share:g} of its limit runs')
def check_mean(context, share):
    fleet = context.team_fleet
    seconds = (fleet.clock.now() - fleet.runs[0][0]) / 1000
    owed = fleet.burst + fleet.rate * seconds
    assert fleet.total() >= share * owed, fleet.total() / owed


@given('an upstream that allows {rate:g} requests a second')
def upstream_with_limit(context, rate):
    context.view = types.SimpleNamespace(
        name='i-1', born=0, run='i-1|0', silence_after=lambda at: 0
    )
    for router in context.team_fleet.routers.values():
        router.node.serving.limits.note_limit(context.view, rate)


@when(
    'the upstream gets no request for {seconds:d} s, and then all that the'
    ' routers allow'
)
def send_all_allowed(context, seconds):
    fleet = context.team_fleet
    fleet.run(seconds * 1000)
    context.sends = []
    for _ in range(0, 2 * seconds * 1000, quota_model.STEP_MS):
        fleet.run(quota_model.STEP_MS)
        for router in fleet.routers.values():
            limits = router.node.serving.limits
            while not limits.wait_ms(context.view):
                limits.take(context.view)
                context.sends.append(fleet.clock.now())


@then('at most {most:d} requests reach it in any {seconds:d} s')
def check_sends(context, most, seconds):
    worst = max(
        sum(start <= at < start + seconds * 1000 for at in context.sends)
        for start in context.sends
    )
    assert 0 < worst <= most, worst


@when('beacons to and from router {number:d} take {ms:d} ms')
def delay_beacons(context, number, ms):
    context.team_fleet.delay_ms = lambda sender, receiver: (
        ms if number in (sender.number, receiver.number) else 5
    )


@when('router {number:d} is killed')
def kill_router(context, number):
    context.team_fleet.kill(number)


@then(
    'router {number:d} says that its reports are {least:d} to {most:d} ms old'
    ' at router {other:d}'
)
def check_named_peer(context, number, least, most, other):
    router = context.team_fleet.routers[number]
    text = router.quota.describe(quota_model.TEAM)
    found = re.search(r'reports (\d+) ms old \((\S+)\)', text)
    assert found and found[2].endswith(f'{other:03}'), text
    assert least <= int(found[1]) <= most, text


@then(
    'router {number:d} says that its reports are {least:d} to {most:d} ms old'
)
def check_report_age(context, number, least, most):
    text = context.team_fleet.routers[number].quota.describe(quota_model.TEAM)
    found = re.search(r'reports (\d+) ms old', text)
    assert found and least <= int(found[1]) <= most, text
