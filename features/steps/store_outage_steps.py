"""Upstreams in doubt, the store's outages, and silent watches."""

from __future__ import annotations

from behave import given
from behave import then
from behave import when

from peridotmast import clock as clock_
from peridotmast.coordination import kind_watch
from peridotmast.coordination import objects
from peridotmast.coordination import outage as outage_
from peridotmast.coordination import store_prober
from peridotmast.coordination import upstream_feed
from peridotmast import green
from peridotmast.platform import upstream_codec
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_

SERVICE = 'pool'


def entry_spec(name, state=upstreams_.LIVE):
    record = pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=name,
            address='10.0.0.1:1',
            service=SERVICE,
            slots=4,
            failure_domain='fd-1',
        ),
        state=state,
    )
    return upstream_codec.write_upstream(record)


def apply_change(context, name, spec, after_outage=False):
    context.revision += 1
    stored = objects.StoredObject(name, context.revision, spec)
    context.feed.on_changes(
        objects.Changes([stored], context.revision), after_outage
    )


def live_names(table):
    return ', '.join(sorted(view.name for view in table.live(SERVICE)))


@given('upstreams "{a}", "{b}" and "{c}" by their entries')
def by_entries(context, a, b, c):
    context.clock = clock_.ManualClock()
    context.upstreams = upstreams_.UpstreamTable(context.clock, 2000, 2000)
    context.feed = upstream_feed.UpstreamFeed(
        context.upstreams, upstream_codec.read_upstream
    )
    context.revision = 0
    for name in (a, b, c):
        apply_change(context, name, entry_spec(name))


@when('the entry of "{name}" is removed')
def is_removed(context, name):
    apply_change(context, name, None)


@when('the entry of "{name}" is missing after an outage')
def is_missing(context, name):
    apply_change(context, name, None, after_outage=True)


@when('the entry of "{name}" is back')
def is_back(context, name):
    apply_change(context, name, entry_spec(name))


@when('the entry of "{name}" says that it leaves')
def says_it_leaves(context, name):
    apply_change(context, name, entry_spec(name, upstreams_.LEAVING))


@when('what it said before comes once more')
def comes_again(context):
    stored = objects.StoredObject('a', 1, entry_spec('a'))
    context.feed.on_changes(objects.Changes([stored], 1), False)
    listing = objects.Listing([stored], 1)
    context.other = upstreams_.UpstreamTable(context.clock)
    other = upstream_feed.UpstreamFeed(
        context.other, upstream_codec.read_upstream
    )
    other.on_listing(listing, False)
    context.upstreams.merge_all(view.record for view in context.other.all())


@when('{ms:d} ms pass')
def pass_ms(context, ms):
    context.clock.advance(ms)
    if 'feed' in context:
        context.feed.tick()


@when('another router takes that over')
def takes_over(context):
    context.other = upstreams_.UpstreamTable(context.clock, 2000, 2000)
    context.other.merge_all(view.record for view in context.upstreams.all())


@when('another router asks for that')
def asks_for_that(context):
    told = context.upstreams.records_since(0)
    context.other = upstreams_.UpstreamTable(context.clock, 2000, 2000)
    context.other.merge_all(
        pb.UpstreamRecord.FromString(record.SerializeToString())
        for record in told
    )


@then('"{names}" may get new work')
def may_get_work(context, names):
    assert live_names(context.upstreams) == names, live_names(
        context.upstreams
    )


@then('there "{names}" may get new work')
def may_there(context, names):
    context.other.tick()
    assert live_names(context.other) == names, live_names(context.other)


@then('"{name}" is not given up yet')
def not_given_up(context, name):
    assert context.upstreams.get(name).record.state == upstreams_.LAPSED


@then('"{name}" is given up')
def given_up(context, name):
    assert context.upstreams.get(name).record.state == upstreams_.GONE


@then('after {ms:d} ms there "{name}" is given up')
def given_up_there(context, ms, name):
    context.clock.advance(ms)
    context.other.tick()
    assert context.other.get(name).record.state == upstreams_.GONE


@given('a store that answers')
def answers(context):
    context.clock = clock_.ManualClock()
    context.outage = outage_.OutageTracker(context.clock, 2000)
    assert not context.outage.is_suspected()


class AskedStore:
    """Counts the calls that it gets, and never answers."""

    def __init__(self):
        self.calls = 0
        self.probes = 0

    def probe(self):
        self.calls += 1
        self.probes += 1


@when('a call of it was made, and failed after that')
def made_and_failed(context):
    context.made = 1
    context.outage.record_failure('429')


@when('other calls of it are made, one before each look')
def other_calls(context):
    context.others = 1


@then('it is asked at {count:d} of {looks:d} looks')
def asked_at(context, count, looks):
    store = AskedStore()
    store.calls = getattr(context, 'made', 0)
    check = store_prober.StoreProber(store, context.outage)
    for _ in range(looks):
        store.calls += getattr(context, 'others', 0)
        check.tick()
    assert store.probes == count, store.probes


@when('a call of it fails')
def call_fails(context):
    context.outage.record_failure('silent')


@when('one that was made {ms:d} ms ago fails')
def made_before_fails(context, ms):
    context.outage.record_failure('silent', ms)


@when('a call of it is answered')
def call_answered(context):
    context.outage.record_answer()


@then('the outage is felt')
def is_felt(context):
    assert context.outage.is_suspected()


@then('the outage is not felt')
def is_not_felt(context):
    assert not context.outage.is_suspected()


class SilentStore:
    """Never answers its first watch."""

    def __init__(self):
        self.watches = 0

    def list(self, kind):
        return objects.Listing([], 1)

    def watch(self, kind, since, wait_ms, on_bytes=None):
        self.watches += 1
        if self.watches == 1:
            green.Event().wait()
        return objects.Changes([objects.StoredObject('x', 2, {})], 2)


class Follower:
    def __init__(self):
        self.names = []

    def on_listing(self, listing, after_outage):
        pass

    def on_changes(self, changes, after_outage):
        self.names += [stored.name for stored in changes.objects]


@given('a watch on a connection that stays silent')
def silent_watch(context):
    context.clock = clock_.ManualClock()
    context.store = SilentStore()
    context.follower = Follower()
    context.watch = kind_watch.KindWatch(
        context.store, 'things', context.follower, context.clock
    )
    context.watch.step()
    context.stepping = green.spawn(context.watch.step)
    green.sleep_ms(5)
    context.began_at = context.clock.now()


@when('a peer has news {ms:d} ms after it began')
def peer_has_news(context, ms):
    context.clock.advance(context.began_at + ms - context.clock.now())
    context.watch.on_peer_ahead()
    green.sleep_ms(5)


@then('the watch waits on')
def waits_on(context):
    assert not context.stepping.dead
    assert context.store.watches == 1


@then('the watch has begun anew and knows the news')
def begun_anew(context):
    context.stepping.wait()
    context.watch.step()
    assert context.store.watches == 2
    assert context.follower.names == ['x']
