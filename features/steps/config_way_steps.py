"""Steps on the ways of a configuration, in a fleet without a network."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import config_model

RUN_MS = 30_000
FIRST_CHANGE_MS = 2000


def play(count, change_ms, arrange):
    """Return the late versions and the errors of one history.

    Parameters
    ----------
    count : int
        Number of routers.
    change_ms : int
        Time between two changes.
    arrange : callable
        Schedules the troubles on the fleet.
    """
    fleet = config_model.Fleet(count)
    try:
        arrange(fleet)
        for at in range(FIRST_CHANGE_MS, RUN_MS, change_ms):
            fleet.at(at, fleet.change)
        fleet.timeline.run(RUN_MS)
        errors = [e for r in fleet.routers if r for e in r.errors]
        return fleet.late, errors
    finally:
        fleet.close()


@given('a fleet without a network, with simulated time')
def prepare_histories(context):
    context.late = []


def play_row(context, row, count, change_ms, events):
    """Play a history and note the versions that were late in it.

    Parameters
    ----------
    events : list of tuple
        Time, name of the fleet's method and its arguments, of each trouble.
    """

    def arrange(fleet):
        for at, name, *args in events:
            fleet.at(at, getattr(fleet, name), *args)

    late, errors = play(count, change_ms, arrange)
    assert not errors, errors[:3]
    context.late += [(row.cells, item) for item in late]


@when(
    'changes are made at the given intervals beside these silences of the'
    ' store'
)
def make_changes_beside_silences(context):
    for row in context.table:
        count, change_ms, *silences = map(int, row.cells)
        events = [
            (at, 'trouble', 'silent', None, ms)
            for at, ms in zip(silences[::2], silences[1::2], strict=True)
        ]
        play_row(context, row, count, change_ms, events)


@when('changes are made beside a silence of the store and a cut of routers')
def make_changes_beside_cut(context):
    play_cuts(context, is_store_silent_for_all=True)


@when(
    'changes are made while the store is silent for a router that is cut from'
    ' its peers'
)
def make_changes_at_cut_routers(context):
    play_cuts(context, is_store_silent_for_all=False)


def play_cuts(context, is_store_silent_for_all):
    for row in context.table:
        count, change_ms, silent_at, silent_ms = map(int, row.cells[:4])
        cut_at, cut_ms = map(int, row.cells[5:])
        cut = {int(number) for number in row['cut'].split()}
        unserved = None if is_store_silent_for_all else cut
        events = [
            (silent_at, 'trouble', 'silent', unserved, silent_ms),
            (cut_at, 'cut', cut, cut_ms),
        ]
        play_row(context, row, count, change_ms, events)


@then('each router in touch has had each change in time')
def check_in_time(context):
    # Time, router, its version and the version that was due.
    assert not context.late, (len(context.late), context.late[:3])
