"""Steps for the retry budget that all routers share."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

import budget_model
import histories


@given('{count:d} routers that share a retry budget')
def start_fleet(context, count):
    context.budget_fleet = budget_model.BudgetFleet(count)


@when('upstreams refuse all requests, {load:d} a second at each router')
def refuse_requests(context, load):
    fleet = context.budget_fleet
    fleet.load = load
    fleet.run(budget_model.WINDOW_MS)
    fleet.is_refusing = True
    fleet.run(2000)


@when(
    '{count:d} of the routers are killed and started again every {ms:d} ms,'
    ' for {total_ms:d} ms'
)
def kill_in_series(context, count, ms, total_ms):
    fleet = context.budget_fleet
    for _ in range(0, total_ms, ms):
        for number in list(fleet.running)[:count]:
            fleet.start(number)
        fleet.run(ms)


@when('all of the routers are killed and started again')
def kill_all(context):
    for number in list(context.budget_fleet.running):
        context.budget_fleet.start(number)


@when('{count:d} of the routers leave within {ms:d} ms')
def leave_together(context, count, ms):
    fleet = context.budget_fleet
    leaving = list(fleet.running)[:count]
    for number in leaving:
        fleet.leave(number)
    fleet.run(ms)
    for number in leaving:
        fleet.running.pop(number)


@when('{count:d} more routers start')
def add_routers(context, count):
    fleet = context.budget_fleet
    first = max(fleet.running) + 1
    for number in range(first, first + count):
        fleet.start(number)


@when('{ms:d} ms pass for these routers')
def pass_time(context, ms):
    context.budget_fleet.run(ms)


@then('no window has more retries than the budget of the fleet allows')
def check_windows(context):
    fleet = context.budget_fleet
    assert fleet.retries, 'no retries at all'
    excess = fleet.worst_window()
    assert excess <= 0, f'{excess:.1f} retries too many'


@then(
    'the retries of routers stay within the budget in {count:d} histories of'
    ' {steps:d} steps'
)
def check_histories(context, count, steps):
    histories.run(budget_model.BudgetHistory, count, steps)
