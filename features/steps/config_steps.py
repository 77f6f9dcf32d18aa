"""Steps on configuration: changes, outages, concurrent commits and order."""

from __future__ import annotations

import itertools
import random

from behave import given
from behave import then
from behave import when
import helpers
from memory_store import MemoryStore
import prometheus_client

from peridotmast.coordination import config_feed
from peridotmast.coordination import objects
from peridotmast.embedded import shape as shape_
from peridotmast import failures
from peridotmast import green
from peridotmast import invariants
from peridotmast.platform import config_codec
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb


@when('the operators change the configuration {count:d} times')
def change_config(context, count):
    record_versions(context)
    for _ in range(count):
        context.version = context.fleet.write_config(
            context.fleet.shape.config
        )
        green.sleep_ms(30)


def record_versions(context):
    """Record the versions that come into force at each router."""
    context.histories = {}
    for router in context.fleet.running_routers():
        history = context.histories.setdefault(router.cfg.name, [])

        def record(config, router=router, history=history):
            history.append(router.config.routes.version)

        router.config.subscribe(record)


@then('every router has the last version in force within {ms:d} ms')
def check_in_force(context, ms):
    helpers.wait_until(
        lambda: all(
            router.config.routes.version == context.version
            for router in context.fleet.running_routers()
        ),
        f'version {context.version}',
        ms,
    )
    for history in getattr(context, 'histories', {}).values():
        assert history == sorted(history), history


@when('an older version is offered to a router')
def offer_older_version(context):
    router = context.fleet.routers[0]
    helpers.wait_until(
        lambda: router.config.routes.version == context.version,
        'the last version',
    )
    document = {**router.config.routes.document, 'version': 1}
    assert not router.config.offer_routes(document, 'a stale peer')
    listing = objects.Listing(
        [objects.StoredObject(names.CONFIG_NAME, 1, document)], 1
    )
    router.config.on_listing(listing, False)


@when('all further store calls of one router fail')
def fail_store_calls(context):
    router = context.fleet.routers[0]
    router.store.address = '127.0.0.1:1'
    # A watch that is already waiting ends with the next change.
    context.fleet.write_config(context.fleet.shape.config)
    green.sleep_ms(300)


@when(
    'all further store calls of the routers that watch the configuration fail'
)
def fail_store_calls_of_watchers(context):
    routers = context.fleet.routers
    refused = [
        router
        for router in routers
        if router.fleet_state.watchers.should_watch(names.CONFIG_KIND)
    ]
    assert 0 < len(refused) < len(routers), len(refused)
    for router in refused:
        router.store.address = '127.0.0.1:1'
    # Watches that are already waiting end with the next change.
    context.fleet.write_config(context.fleet.shape.config)
    green.sleep_ms(1000)


@when('the store compacts its history while the configuration changes')
def compact_history(context):
    record_versions(context)
    store = context.fleet.store
    store.app.set_faults(200, outage=1.0)
    green.sleep_ms(50)
    for _ in range(3):
        context.version = context.fleet.write_config(
            context.fleet.shape.config
        )
    store.compact()


@when('the operators write a malformed configuration')
def write_malformed(context):
    context.before = context.fleet.routers[0].config.routes.version
    context.fleet.store.put(
        names.CONFIG_KIND,
        names.CONFIG_NAME,
        {'version': 999, 'routes': [{'name': 'x'}]},
    )
    green.sleep_ms(400)


@then('the previous version stays in force')
def check_previous_version_stays(context):
    router = context.fleet.routers[0]
    assert router.config.routes.version == context.before
    assert helpers.send_request(router.address).status == 200


@when('two operators commit documents based on the same version')
def commit_at_two_routers(context):
    routers = context.fleet.routers
    helpers.wait_until(
        lambda: (
            routers[0].config.product.version
            == routers[1].config.product.version
        ),
        'the same version',
    )
    base = routers[0].config.product.version
    context.results = []

    def commit(router, name):
        text = f'{shape_.DOCUMENT}\n# {name}\n'
        context.results.append(
            (text, router.config.commit(text, base, name, '', 1))
        )

    tasks = [
        green.spawn(commit, router, f'operator {number}')
        for number, router in enumerate(routers)
    ]
    for task in tasks:
        task.wait()


@when('an operator commits a document based on an outdated version')
def commit_on_outdated_version(context):
    feed = context.fleet.routers[0].config
    helpers.wait_until(lambda: feed.product.version, 'a document')
    base = feed.product.version
    context.newer = f'{shape_.DOCUMENT}\n# newer\n'
    assert isinstance(feed.commit(context.newer, base, 'a', '', 1), int)
    context.stale = feed.commit(shape_.DOCUMENT, base, 'b', '', 2)


@then('the commit fails with a conflict and the newer document stays')
def check_newer_document_stays(context):
    assert isinstance(context.stale, failures.Failure), context.stale
    assert context.stale.kind is failures.FailureKind.CONFLICT
    feed = context.fleet.routers[0].config
    green.sleep_ms(300)
    assert feed.product.document['document'] == context.newer


@then('exactly one of the commits fails with a conflict')
def check_one_conflict(context):
    results = [result for _, result in context.results]
    failed = [r for r in results if isinstance(r, failures.Failure)]
    assert len(failed) == 1, results
    assert failed[0].kind is failures.FailureKind.CONFLICT, failed


@then('both routers have the committed document within {ms:d} ms')
def check_committed_document(context, ms):
    committed = next(t for t, r in context.results if isinstance(r, int))
    helpers.wait_until(
        lambda: all(
            router.config.product.document.get('document') == committed
            for router in context.fleet.routers
        ),
        'the committed document',
        ms,
    )


@when('a document is committed and the reply is lost')
def commit_with_lost_reply(context):
    router = context.fleet.routers[0]
    base = router.config.product.version
    store = context.fleet.store
    answer = store.app._answer

    def lose_once(environ, conn):
        response = answer(environ, conn)
        if environ['REQUEST_METHOD'] == 'PUT':
            store.app._answer = answer
            conn.reset()
            raise ConnectionResetError('the reply is lost')
        return response

    store.app._answer = lose_once
    context.result = router.config.commit(
        shape_.DOCUMENT + '\n# lost\n', base, 'me', '', 1
    )


@then('the commit is reported as successful')
def check_commit_successful(context):
    assert isinstance(context.result, int), context.result
    router = context.fleet.routers[0]
    assert '# lost' in router.config.product.document['document']


@when('this document is checked')
def check_document(context):
    context.found = config_feed.check(context.text)


def new_feed(store=None):
    registry = prometheus_client.CollectorRegistry()
    return config_feed.ConfigFeed(
        store or MemoryStore(),
        names.CONFIG_KIND,
        names.CONFIG_NAME,
        config_codec,
        invariants.Invariants(registry, fatal=True),
    )


@then(
    'the highest version is in force after updates in {count:d} random orders'
)
def check_random_orders(context, count):
    draws = random.Random(3)
    documents = [
        config_codec.write_config(
            pb.Config(teams=[pb.Team(name=f't{n}')]), n * 5 + 1
        )
        for n in range(8)
    ]
    for _ in range(count):
        feed = new_feed()
        seen = []
        feed.subscribe(lambda config, feed=feed: seen.append(
            (feed.routes.version, feed.product.version)))  # fmt: skip
        order = documents * 2
        draws.shuffle(order)
        for document in order:
            if draws.random() < 0.5:
                feed.offer_routes(document, 'peer')
            else:
                stored = objects.StoredObject(names.CONFIG_NAME, 1, document)
                feed.on_changes(objects.Changes([stored], 1), False)
            own = draws.randrange(1, 9)
            feed.offer_product(own, {'document': f'# {own}\n'}, 'peer')
        assert feed.routes.version == 36
        assert feed.config.teams[0].name == 't7'
        for part in zip(*seen):
            assert all(a <= b for a, b in itertools.pairwise(part)), seen


@given('an in-memory store')
def create_memory_store(context):
    context.store = MemoryStore()
