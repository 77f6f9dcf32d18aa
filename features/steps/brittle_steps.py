"""Steps for upstreams that fall over if they must refuse too much."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import brittle_model
import hypothesis
from hypothesis import strategies

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving.limits import slot_shares
from peridotmast.serving import upstream_view

BASE_FALLS = 2
FALLS_SHARE = 0.1


@given(
    '{routers:d} routers before {upstreams:d} upstreams of {slots:d} slots'
    ' that bear {limit:d} refusals a second'
)
def make_brittle_fleet(context, routers, upstreams, slots, limit):
    context.brittle = brittle_model.Fleet(routers, upstreams, slots, limit, 7)


@when('callers press on them for {seconds:d} s')
def press(context, seconds):
    context.pressed_ms = 1000 * seconds
    context.brittle.run(context.pressed_ms)


@when('all routers are killed and started {times:d} times')
def restart_all(context, times):
    for _ in range(times):
        context.brittle.kill_all()
        context.brittle.run(3000)


@when('one router is killed and started')
def restart_one(context):
    context.brittle.kill_router('r-0')
    context.brittle.run(4000)


@when('each router is killed and started, one by one')
def restart_each(context):
    for name in sorted(context.brittle.routers):
        context.brittle.kill_router(name)
        context.brittle.run(1500)


@when('all upstreams fall silent for {ms:d} ms')
def silence(context, ms):
    context.brittle.silence(ms)


@when(
    'all upstreams are silent for {ms:d} ms, and a third of the callers leave'
    ' every {pause_ms:d} ms'
)
def leave_in_silence(context, ms, pause_ms):
    context.brittle.silence(ms)
    for _ in range(0, ms, pause_ms):
        context.brittle.run(pause_ms)
        context.brittle.leave()
    context.brittle.run(3000)


@when('each upstream has room for only half of its slots for {seconds:d} s')
def halve_room(context, seconds):
    for upstream in context.brittle.upstreams:
        upstream.slots //= 2
    context.brittle.run(1000 * seconds)


@when('no upstream states that it is brittle any more, and {seconds:d} s pass')
def end_brittleness(context, seconds):
    context.brittle.limit = 0
    context.brittle.run(1000 * seconds)


@then('all routers count each upstream as brittle')
def check_known(context):
    assert all(brittle_limits(context))


@then('no router counts an upstream as brittle that has not told it so')
def check_ended(context):
    wrong = [
        (router.name, view.name)
        for router in context.brittle.routers.values()
        for view in router.views.values()
        if router.brittleness.limit(view) and not view.stated_at
    ]
    assert not wrong, (len(wrong), wrong[:5])


def brittle_limits(context):
    return [
        router.brittleness.limit(view)
        for router in context.brittle.routers.values()
        for view in router.views.values()
    ]


@then('no upstream falls over')
def check_no_fall(context):
    assert context.brittle.falls == 0, context.brittle.falls


@then('at least {share:g} of the slots are used')
def check_use(context, share):
    used = context.brittle.run_share(context.pressed_ms)
    assert used >= share, used


@then(
    'in {count:d} drawn fleets the shares of all routers add up to the slots'
    ' of each upstream'
)
def check_sums(context, count):
    @hypothesis.settings(max_examples=count, deadline=None, derandomize=True)
    @hypothesis.given(strategies.integers(1, 60), strategies.integers(1, 70))
    def check(routers, slots):
        clock = clock_.ManualClock()
        names = [f'r-{number}' for number in range(routers)]
        record = pb.UpstreamRecord(upstream=pb.Upstream(name='u', slots=slots))
        total = 0
        for name in names:
            shares = slot_shares.SlotShares(clock, name)
            shares.set_routers(names)
            view = upstream_view.UpstreamView(record, clock, set())
            total += shares.share(view)
        assert total == slots

    check()


@then(
    'in {count:d} random histories the upstreams fall over no more often than'
    ' they may'
)
def check_histories(context, count):
    @hypothesis.settings(max_examples=count, deadline=None, derandomize=True)
    @hypothesis.given(
        routers=strategies.integers(1, 12),
        upstreams=strategies.integers(1, 6),
        slots=strategies.integers(1, 8),
        limit=strategies.integers(1, 3),
        troubles=brittle_model.TROUBLES,
        seed=strategies.integers(0, 1000),
    )
    def check(routers, upstreams, slots, limit, troubles, seed):
        fleet = brittle_model.Fleet(routers, upstreams, slots, limit, seed)
        for trouble, pause_ms in troubles:
            fleet.run(pause_ms)
            getattr(fleet, trouble)()
        fleet.run(3000)
        allowed = BASE_FALLS + int(FALLS_SHARE * upstreams)
        assert fleet.counted_falls <= allowed, fleet.counted_falls

    check()
