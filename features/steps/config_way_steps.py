"""Steps on the ways of a configuration, in a fleet without a network."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import config_model
import histories
import hypothesis
from hypothesis import strategies as st

RUN_MS = 30_000
FIRST_CHANGE_MS = 2000
LAST_TROUBLE_MS = 18_000
FLEET_SIZES = (3, 6, 7, 8, 12, 20)
CHANGE_INTERVALS_MS = (300, 1000, 2000, 4000)
LEAVE_INTERVAL_MS = 1000
LEAVE_RUN_MS = 17_000
LOSS_INTERVAL_MS = 4000
FAILING_BEFORE_MS = 3500
FAILING_MS = 7500
"""Time between changes, and the time for which the store fails a router that
has changes from its peers alone: from before they are cut off to their
return."""


def play(count, change_ms, arrange, run_ms=RUN_MS):
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
        for at in range(FIRST_CHANGE_MS, run_ms, change_ms):
            fleet.at(at, fleet.change)
        fleet.timeline.run(run_ms)
        errors = [e for r in fleet.routers if r for e in r.errors]
        return fleet.late, errors
    finally:
        fleet.close()


@given('a fleet without a network, with simulated time')
def prepare_histories(context):
    context.late = []


def schedule(events):
    """Return a function that schedules events on a fleet."""

    def arrange(fleet):
        for at, name, *args in events:
            fleet.at(at, getattr(fleet, name), *args)

    return arrange


def play_row(context, row, count, change_ms, events, run_ms=RUN_MS):
    """Play a history and note the versions that were late in it.

    Parameters
    ----------
    events : list of tuple
        Time, name of the fleet's method and its arguments, of each trouble.
    """

    late, errors = play(count, change_ms, schedule(events), run_ms)
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


@when(
    'changes are made while the store fails a router, and peers are cut off'
    ' once they have named a change'
)
def make_changes_and_lose_peers(context):
    for row in context.table:
        how, lost = row['store'], {int(n) for n in row['lost'].split()}
        router, at, ms = (int(row[name]) for name in ('router', 'at', 'for'))
        events = [
            (at - FAILING_BEFORE_MS, 'trouble', how, {router}, FAILING_MS),
            (at, 'cut', lost, ms),
        ]
        play_row(context, row, int(row['routers']), LOSS_INTERVAL_MS, events)


@when(
    'changes are made after the store came back from a copy, and an upstream'
    ' leaves'
)
def make_changes_after_return(context):
    for row in context.table:
        at, away_ms, age_ms, change_ms, leaves_at = (
            int(row[name])
            for name in ('at', 'away', 'age', 'change', 'leaves')
        )
        events = [
            (at, 'come_back', row['store'], away_ms, age_ms),
            (leaves_at, 'leave', 'u1'),
        ]
        play_row(context, row, int(row['routers']), change_ms, events)


@when(
    'an upstream leaves shortly before the store returns from a copy, and'
    ' another one after that'
)
def leave_around_return(context):
    for row in context.table:
        left, at, away_ms, age_ms, leaves_at = (
            int(row[name]) for name in ('left', 'at', 'away', 'age', 'leaves')
        )
        events = [
            (left, 'leave', 'u2'),
            (at, 'come_back', row['store'], away_ms, age_ms),
            (leaves_at, 'leave', 'u1'),
        ]
        count = int(row['routers'])
        play_row(context, row, count, LEAVE_INTERVAL_MS, events, LEAVE_RUN_MS)


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


@st.composite
def drawn_histories(draw):
    """Draw a fleet's size, the time between changes, and its troubles."""
    count = draw(st.sampled_from(FLEET_SIZES))
    some = st.sets(
        st.integers(0, count - 1), min_size=1, max_size=max(1, count // 2)
    )
    ms = st.integers(200, 8000)
    how = st.sampled_from(('silent', 'busy', 'reset', 'slow'))
    trouble = st.one_of(
        st.tuples(st.just('trouble'), how, st.none(), ms),
        st.tuples(st.just('trouble'), how, some, ms),
        st.tuples(st.just('cut'), some, ms),
        st.tuples(st.just('kill'), some),
        st.tuples(st.just('forget_history')),
        st.tuples(
            st.just('come_back'),
            how,
            st.integers(100, 3000),
            st.integers(0, 8000),
        ),
        st.tuples(st.just('leave'), st.sampled_from(('u1', 'u2'))),
    )
    at = st.integers(FIRST_CHANGE_MS, LAST_TROUBLE_MS)
    found = draw(st.lists(st.tuples(at, trouble), min_size=1, max_size=6))
    events = [(begin, *event) for begin, event in found]
    return count, draw(st.sampled_from(CHANGE_INTERVALS_MS)), events


@when('{count:d} drawn histories of changes and troubles are played')
def play_histories(context, count):
    # More by hand: behave -D histories=400 features/config_ways.feature
    count = context.config.userdata.getint('histories', count)

    @histories.settings(count)
    @hypothesis.given(drawn_histories())
    def check(history):
        routers, change_ms, events = history
        late, errors = play(routers, change_ms, schedule(events))
        assert not errors, errors[:3]
        assert not late, (len(late), late[:3])

    check()


@then('each router in touch has had each change in time')
def check_in_time(context):
    # Time, router, its version and the version that was due.
    assert not context.late, (len(context.late), context.late[:3])
