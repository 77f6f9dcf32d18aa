"""Steps for what upstreams state in the headers of their answers."""

from __future__ import annotations

import socket
from unittest import mock

from behave import given
from behave import then
from behave import when
import helpers

from peridotmast import clock as clock_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.standin import plain_service
from peridotmast.wire import connection as connection_


@given('a fleet of 1 routers with a single engine')
def start_with_one_engine(context):
    helpers.start_fleet(context, routers=1, domains=1)
    assert len(helpers.guests(context, shape_.ENGINE_SERVICE)) == 1


def pick_engine(context):
    """Return the stand-in of one engine, the same each time."""
    context.stating = helpers.guests(context, shape_.ENGINE_SERVICE)[0]
    return context.stating.upstream.app


@when('one engine states in its answers that it leaves, and not in the store')
def engine_states_leaving(context):
    pick_engine(context).states_leaving = True


@then(
    'that engine receives no request later than {ms:d} ms after its first'
    ' answer'
)
def check_no_late_request(context, ms):
    arrivals = [at for at, _ in context.stating.upstream.app.arrivals]
    assert arrivals, 'the engine received no request at all'
    late = [at - arrivals[0] for at in arrivals if at - arrivals[0] > ms]
    assert not late, late


@then('all requests are answered with 200')
def check_all_answered(context):
    failed = [a for a in context.answers if a.status != 200]
    assert not failed, failed[:3]


@when(
    'one engine refuses requests for {ms:d} ms and asks for a rest of'
    ' {seconds} s each time'
)
def engine_asks_for_rest(context, ms, seconds):
    app = pick_engine(context)
    app.rest_s, app.faults = seconds, {'refuse': 1.0}
    green.spawn_after_ms(ms, app.faults.clear)


def ms_after_refusal(context):
    """Return when requests arrived, in ms after the first refusal."""
    app = context.stating.upstream.app
    assert app.refusals, 'the engine refused nothing'
    return [at - app.refusals[0] for at, _ in app.arrivals]


@then(
    'that engine receives at most {most:d} requests from {first_ms:d} ms to'
    ' {last_ms:d} ms after its first refusal'
)
def check_rest_is_kept(context, most, first_ms, last_ms):
    arrivals = ms_after_refusal(context)
    in_rest = [ms for ms in arrivals if first_ms <= ms < last_ms]
    assert len(in_rest) <= most, in_rest


@then('it receives requests again after its rest')
def check_serves_again(context):
    assert ms_after_refusal(context)[-1] >= 3000


@then(
    'the engine receives requests from {first_ms:d} ms to {last_ms:d} ms after'
    ' its first refusal'
)
def check_no_rest(context, first_ms, last_ms):
    arrivals = ms_after_refusal(context)
    assert [ms for ms in arrivals if first_ms <= ms < last_ms], arrivals


@when(
    '"{name}" asks for a rest of {first:d} ms, and then for one of {later:d}'
    ' ms'
)
def ask_for_two_rests(context, name, first, later):
    view = context.upstreams.get(name)
    view.note_rest(first)
    view.note_rest(later)


@then('"{name}" still rests for {ms:d} ms')
def check_rests(context, name, ms):
    assert context.upstreams.get(name).rest_ms() == ms


@given('a connection to an upstream')
def open_connection(context):
    upstream = plain_service.PlainService('s')
    context.conn = connection_.Connection(
        upstream.address, clock_.SystemClock()
    )
    assert context.conn.connect(1000) is None
    context.closing += [upstream.stop, context.conn.close]


@then(
    'it is kept for {least:d} to {most:d} ms without any packet of the'
    ' upstream'
)
def check_silence_borne(context, least, most):
    sock, tcp = context.conn._sock, socket.IPPROTO_TCP
    idle_s, interval_s, probes = (
        sock.getsockopt(tcp, option)
        for option in (
            socket.TCP_KEEPIDLE,
            socket.TCP_KEEPINTVL,
            socket.TCP_KEEPCNT,
        )
    )
    # With a user timeout, probes give up at it whatever their number.
    assert 1000 * (idle_s + probes * interval_s) >= least
    user_ms = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
    assert least <= user_ms <= most, user_ms


@given(
    'a fleet of {count:d} routers, with {upstreams:d} upstreams of {slots:d}'
    ' slots that bear {limit:d} refusals a second'
)
def start_brittle(context, count, upstreams, slots, limit):
    helpers.start_fleet(context, routers=count, services=upstreams)
    context.brittle = helpers.guests(context, shape_.PLAIN_SERVICE)
    for guest in context.brittle:
        guest.upstream.app.slots = guest.record.upstream.slots = slots
        guest.upstream.app.brittle = str(limit)
        guest.upstream.app.delay_factor = lambda environ: 5
        context.fleet._write_entry(guest)

    def is_known(router):
        views = router.upstream_table.live(shape_.PLAIN_SERVICE)
        return {view.slots for view in views} == {slots}

    for router in context.fleet.routers:
        helpers.wait_until(lambda r=router: is_known(r), 'slots')


@when('each router has had an answer of each upstream')
def hear_all(context):
    def views(router):
        return router.upstream_table.live(shape_.PLAIN_SERVICE)

    def has_heard(router):
        return all(map(router.serving.brittleness.limit, views(router)))

    for router in context.fleet.routers:
        tasks = [
            green.spawn(helpers.send_request, router.address, '/pages/a')
            for _ in range(2 * len(context.brittle))
        ]
        answers = [task.wait() for task in tasks]
        if not any(view.stated_at for view in views(router)):
            # A router without a slot is answered through its peers, and is
            # told by them of what the upstreams state.
            assert 200 in {answer.status for answer in answers}
            helpers.wait_until(lambda r=router: has_heard(r), 'statement')
        assert has_heard(router)


@when(
    '{count:d} requests come at once to each router every {pause_ms:d} ms, for'
    ' {seconds:d} s'
)
def send_in_bursts(context, count, pause_ms, seconds):
    tasks = []
    for _ in range(1000 * seconds // pause_ms):
        for router in context.fleet.running_routers():
            tasks += [
                green.spawn(helpers.send_request, router.address, '/pages/a')
                for _ in range(count)
            ]
        green.sleep_ms(pause_ms)
    context.answers = [task.wait() for task in tasks]


def count_falls(refusals, limit):
    """Return how often there were more than `limit` refusals in a second.

    An upstream that has fallen is back after the next three seconds.
    """
    falls, fallen_until = 0, 0
    for number, at in enumerate(refusals):
        if at < fallen_until:
            continue
        start = refusals[max(0, number - limit)]
        if number >= limit and at - start < 1000:
            falls, fallen_until = falls + 1, at + 3000
    return falls


@then(
    'at most {most:d} times an upstream refused more than {limit:d} requests'
    ' in a second'
)
def check_falls(context, most, limit):
    falls = [
        count_falls(guest.upstream.app.refusals, limit)
        for guest in context.brittle
    ]
    assert sum(falls) <= most, falls


@then('the upstreams together ran at least {count:d} requests')
def check_brittle_runs(context, count):
    ran = sum(sum(g.upstream.app.runs.values()) for g in context.brittle)
    assert ran >= count, ran


@given('an upstream that a router connects to')
def start_upstream(context):
    upstream = plain_service.PlainService('s')
    context.conn = connection_.Connection(
        upstream.address, clock_.SystemClock()
    )
    context.closing += [upstream.stop, context.conn.close]


@then('the connection is open if its time limit of {ms:d} ms is noticed first')
def check_open(context, ms):
    with mock.patch.object(green.poller, 'wait', _wait_past_limit):
        assert context.conn.connect(ms) is None


def _wait_past_limit(fd, timeout_ms, events):
    """Notice the time limit first, as after a pause of the process."""
    green.sleep_ms(timeout_ms)
    return green.Ready.NOTHING
