"""Steps for a store that comes back from an older copy."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when
import config_model
import config_steps
import helpers
from returning_store import ReturningStore

from peridotmast import clock as clock_
from peridotmast.coordination import config_feed
from peridotmast.coordination import objects
from peridotmast.coordination import upstream_feed
from peridotmast import failures
from peridotmast.platform import upstream_codec
from peridotmast import revisions
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_

KIND = 'things'
NAME = 'thing'


@given("a store in era 1, and two routers' access to it")
def create_store(context):
    context.clock = clock_.ManualClock()
    context.store = ReturningStore(era=1)
    context.clients = {
        name: context.store.client(context.clock)
        for name in ('first', 'second')
    }
    context.written = objects.StoredObject(NAME, 0)


@given('the store lists one object a page')
def limit_pages(context):
    context.store.page_size = 1


@when('the {name} router writes "{value}"')
def write(context, name, value):
    store = context.clients[name]
    context.result = store.write(KIND, NAME, {'value': value}, 0)
    if name == 'first':
        context.written = context.result


@when('the first router writes another object')
def write_another(context):
    store = context.clients['first']
    context.result = store.write(KIND, 'z', {'value': 'z'}, 0)


@when('the first router replaces "a" by "{value}"')
def replace(context, value):
    context.result = context.clients['first'].write(
        KIND, NAME, {'value': value}, context.written.revision
    )


@when('the store comes back without it')
def lose_write(context):
    context.store.come_back()


@when('the store comes back after the next page')
def return_after_page(context):
    context.store.take_copy()
    context.store.returns_after_page = True


@when('the first router reads it')
def read(context):
    context.result = context.clients['first'].read(KIND, NAME)


@when('the first router lists the kind')
def list_kind(context):
    context.result = context.clients['first'].list(KIND)


@when('the first router watches the kind')
def watch_kind(context):
    since = context.result.revision
    context.result = context.clients['first'].watch(KIND, since, 1000)


@when('an answer from before the return reaches the first router')
def deliver_earlier_answer(context):
    context.store.era -= 1
    read(context)


@then('that is a conflict')
def check_conflict(context):
    assert context.result.kind is failures.FailureKind.CONFLICT


@then('that has no known outcome')
def check_unknown(context):
    assert context.result.kind is failures.FailureKind.OUTCOME_UNKNOWN


@then('that is no answer')
def check_no_answer(context):
    assert context.result.kind is failures.FailureKind.UNAVAILABLE


@then('that has lost its history')
def check_history_gone(context):
    assert context.result.reason == objects.HISTORY_GONE, context.result


@then('the store has "{value}"')
def check_stored(context, value):
    assert context.store.spec(KIND, NAME) == {'value': value}


@when('these entries are read over a return of the store')
def read_entries(context):
    context.states = []
    for row in context.table:
        before, on_copy, state = row.cells
        table = upstreams_.UpstreamTable(context.clock)
        feed = upstream_feed.UpstreamFeed(table, upstream_codec.read_upstream)
        feed.on_listing(listing(1, 20, stored(1, 20, 'ready')), False)
        changed = stored(1, 30, before)
        feed.on_changes(objects.Changes([changed], changed.revision), False)
        feed.on_listing(listing(2, 25, stored(2, 20, on_copy)), True)
        view = table.get('u1')
        found = pb.UpstreamState.Name(view.record.state)
        context.states.append((row.cells, found, f'UPSTREAM_STATE_{state}'))


@when('these entries are read over a return of the store, and again later')
def read_entries_again(context):
    context.states = []
    for row in context.table:
        before, on_copy, renewed, state = row.cells
        table = upstreams_.UpstreamTable(context.clock)
        feed = upstream_feed.UpstreamFeed(table, upstream_codec.read_upstream)
        feed.on_listing(listing(1, 20, stored(1, 20, 'ready')), False)
        changed = stored(1, 30, before)
        feed.on_changes(objects.Changes([changed], changed.revision), False)
        feed.on_listing(listing(2, 25, stored(2, 20, on_copy)), True)
        renewals = 2 if renewed == 'yes' else 1
        again = stored(2, 20, on_copy, renewals)
        feed.on_listing(listing(2, 28, again), False)
        found = pb.UpstreamState.Name(table.get('u1').record.state)
        context.states.append((row.cells, found, f'UPSTREAM_STATE_{state}'))


@when(
    'an upstream leaves, the store returns, and its entry of before is written'
    ' again'
)
def write_entry_again(context):
    context.upstreams = upstreams_.UpstreamTable(context.clock)
    read = upstream_codec.read_upstream
    feed = upstream_feed.UpstreamFeed(context.upstreams, read)
    feed.on_listing(listing(1, 20, stored(1, 20, 'ready')), False)
    left, again = stored(1, 30, 'draining'), stored(2, 26, 'ready')
    feed.on_changes(objects.Changes([left], left.revision), False)
    feed.on_listing(listing(2, 25, stored(2, 20, 'ready')), True)
    feed.on_changes(objects.Changes([again], again.revision), False)


@then('the upstream is still known to leave')
def check_still_leaving(context):
    record = context.upstreams.get('u1').record
    assert record.state == upstreams_.LEAVING, record


@when(
    'an upstream is removed, and its entry is on the copy from which the store'
    ' comes back'
)
def remove_over_return(context):
    context.model = config_model.Fleet(7)
    context.closing.append(context.model.close)
    context.model.at(5000, context.model.store.remove_upstream, 'u1')
    context.model.at(6000, context.model.come_back, 'busy', 500, 2000)
    context.model.timeline.run(6500)
    assert not any(r.uses('u1') for r in context.model.routers)


@then('all routers use the upstream {ms:d} ms later')
def check_used(context, ms):
    context.model.timeline.run(ms)
    unused = [r.number for r in context.model.routers if not r.uses('u1')]
    assert not unused, unused


@when('the embedded store returns from a copy {ms:d} ms old')
def return_embedded_store(context, ms):
    context.fleet.store.come_back(ms)


@then('every router is told of era 1 and uses all upstreams')
def check_era_and_upstreams(context):
    expected = {guest.name for guest in context.fleet.running_upstreams()}

    def is_current(router):
        used = {v.name for v in router.upstream_table.all() if v.is_available}
        return router.store.era.number == 1 and used == expected

    helpers.wait_until(
        lambda: all(map(is_current, context.fleet.routers)),
        'all routers know the era and the upstreams',
    )


def feed_of(context, name):
    """Return a router's configuration feed."""
    feeds = context.__dict__.setdefault('feeds', {})
    if name not in feeds:
        feeds[name] = config_steps.new_feed(context.clients[name])
    return feeds[name]


def commit_document(context, name, text):
    feed = feed_of(context, name)
    base = feed.product.version
    return feed.commit(f'# {text}\n', base, 'me', '', 1)


@when('the {name} router commits the document "{text}"')
def commit(context, name, text):
    context.result = commit_document(context, name, text)
    assert isinstance(context.result, int), context.result


@when('the {name} router lists the documents')
def list_documents(context, name):
    found = context.clients[name].list(config_feed.KIND)
    feed_of(context, name).on_listing(found, False)


@when('the {name} router restores the document')
def restore_document(context, name):
    feed_of(context, name).restore_product()


@then('the {name} router has the document "{text}" in force')
def check_in_force(context, name, text):
    document = feed_of(context, name).product.document
    assert document['document'] == f'# {text}\n', document


@then('the first router\'s commit of "{text}" succeeds')
def check_commit_succeeds(context, text):
    list_documents(context, 'first')
    commit(context, 'first', text)


def listing(era, number, item):
    found = [item] if item.spec is not None else []
    return objects.Listing(found, revisions.make(era, number))


def stored(era, number, state, renewals=1):
    """Return an entry with a state, or one that was removed."""
    entry = {**config_model.make_entry('u1', state), 'seq': renewals}
    return objects.StoredObject(
        'u1',
        revisions.make(era, number),
        None if state == 'removed' else entry,
    )


@then('each upstream is in its state')
def check_states(context):
    wrong = [s for s in context.states if s[1] != s[2]]
    assert not wrong, wrong
