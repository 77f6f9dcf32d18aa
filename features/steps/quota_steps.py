"""Steps for the limit of a team over all routers."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
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
