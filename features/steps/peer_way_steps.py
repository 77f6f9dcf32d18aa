"""Steps for routers that are cut from upstreams."""

from __future__ import annotations

import collections
import itertools

from behave import given
from behave import then
from behave import when
import helpers
import peer_model

from peridotmast.embedded import upstream_cut
from peridotmast import green
from peridotmast.platform import names

TOKENS = [(names.TOKEN_COUNTS, '20,8')]
KINDS = (('/chat/a', TOKENS), ('/holds/a', ()), ('/pages/a', ()))
DEADLINE_MS = 3000
PAUSE_MS = 600


@given('a fleet of {count:d} routers whose links to the upstreams can be cut')
def start_cuttable(context, count):
    fleet = helpers.start_fleet(context, routers=count)
    context.cuts = {
        router.cfg.name: upstream_cut.UpstreamCut(router)
        for router in fleet.routers
    }
    context.closing += [cut.close for cut in context.cuts.values()]
    context.cut_routers = []
    context.numbers = itertools.count()
    for router in fleet.routers:
        for path, headers in KINDS:
            assert send(context, router, path, headers).status == 200


def send(context, router, path, headers, **values):
    """Send one request, and return the answer with what it should be."""
    body = f'prompt {next(context.numbers)}'.encode()
    answer = helpers.send_request(
        router.address,
        path,
        body=body,
        headers=headers,
        **{'deadline_ms': DEADLINE_MS, **values},
    )
    answer.path, answer.sent_body = path, body
    return answer


@when('{count:d} routers are cut from all upstreams, {how}')
def cut_routers(context, count, how):
    context.cut_routers = context.fleet.running_routers()[:count]
    addresses = [
        instance.record.upstream.address
        for instance in context.fleet.running_upstreams()
    ]
    for router in context.cut_routers:
        cut = context.cuts[router.cfg.name]
        cut.begin(upstream_cut.CutMode(how), addresses)


@when('{ms:d} ms pass at the fleet')
def pass_time(context, ms):
    green.sleep_ms(ms)


@when(
    '{count:d} requests of each kind are sent to each router, {batch:d} at a'
    ' time, none of them again'
)
def send_to_each(context, count, batch):
    tasks = collections.defaultdict(list)
    routers = context.fleet.running_routers()
    for number, router, kind in itertools.product(
        range(count), routers, KINDS
    ):
        task = green.spawn(send, context, router, *kind)
        tasks[router.cfg.name].append(task)
        is_last = router is routers[-1] and kind is KINDS[-1]
        if is_last and number % batch == batch - 1:
            green.sleep_ms(PAUSE_MS)
    context.answers = {
        name: [task.wait() for task in found] for name, found in tasks.items()
    }


def served_share(answers):
    return sum(a.status == 200 and a.complete for a in answers) / len(answers)


@then(
    'the routers that are cut serve at least two thirds as often as the others'
)
def check_served(context):
    names_of_cut = {router.cfg.name for router in context.cut_routers}
    shares = {
        name: served_share(found) for name, found in context.answers.items()
    }
    others = [s for name, s in shares.items() if name not in names_of_cut]
    least = min(shares[name] for name in names_of_cut)
    assert least >= 2 / 3 * max(others), shares


@then('no request that may run once has run twice')
def check_runs(context):
    runs = {
        a.request_id: helpers.run_count(context, a.request_id)
        for answers in context.answers.values()
        for a in answers
        if a.path == '/holds/a'
    }
    assert runs and max(runs.values()) <= 1, runs


@then('the answers to all requests are their own and whole')
def check_whole(context):
    for answer in itertools.chain(*context.answers.values()):
        if answer.status != 200:
            continue
        assert answer.complete and answer.failure is None, answer
        if answer.path == '/chat/a':
            ids = helpers.event_ids(answer.body)
            assert ids == [1, 2, 3, 4], answer
        else:
            assert answer.body == b'done:' + answer.sent_body, answer


@then('{count:d} random histories of forwarded requests keep all promises')
def check_histories(context, count):
    peer_model.run(count)
