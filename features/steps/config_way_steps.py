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


@when(
    'changes are made at the given intervals beside these silences of the'
    ' store'
)
def make_changes_beside_silences(context):
    for row in context.table:
        count, change_ms, *silences = map(int, row.cells)

        def arrange(fleet, silences=silences):
            for at, ms in zip(silences[::2], silences[1::2], strict=True):
                fleet.at(at, fleet.trouble, 'silent', None, ms)

        late, errors = play(count, change_ms, arrange)
        assert not errors, errors[:3]
        context.late += [(row.cells, item) for item in late]


@then('each router in touch has had each change in time')
def check_in_time(context):
    # Time, router, its version and the version that was due.
    assert not context.late, (len(context.late), context.late[:3])
