"""Steps on lapsed upstream entries, store outages and silent watches."""

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


@given('upstreams "{a}", "{b}" and "{c}" with entries in the store')
def create_upstreams(context, a, b, c):
    context.clock = clock_.ManualClock()
    context.upstreams = upstreams_.UpstreamTable(context.clock, 2000, 2000)
    context.feed = upstream_feed.UpstreamFeed(
        context.upstreams, upstream_codec.read_upstream
    )
    context.revision = 0
    for name in (a, b, c):
        apply_change(context, name, entry_spec(name))


@when('the entry of "{name}" is removed')
def remove_entry(context, name):
    apply_change(context, name, None)


@when('the entry of "{name}" is missing after an outage')
def remove_entry_after_outage(context, name):
    apply_change(context, name, None, after_outage=True)


@when('an answer of "{name}" states that it leaves')
def state_leaving(context, name):
    context.upstreams.note_leaving(context.upstreams.get(name))


@when('the entry of "{name}" reappears')
def restore_entry(context, name):
    apply_change(context, name, entry_spec(name))


@when('the entry of "{name}" is marked as leaving')
def mark_entry_leaving(context, name):
    apply_change(context, name, entry_spec(name, upstreams_.LEAVING))


@when('the earlier entry of "a" is received again')
def receive_earlier_entry_again(context):
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
def advance_clock(context, ms):
    context.clock.advance(ms)
    if 'feed' in context:
        context.feed.tick()


@when("another router merges this router's records")
def merge_records_at_other(context):
    context.other = upstreams_.UpstreamTable(context.clock, 2000, 2000)
    context.other.merge_all(view.record for view in context.upstreams.all())


@when("another router fetches this router's records")
def fetch_records_at_other(context):
    records = context.upstreams.records_since(0)
    context.other = upstreams_.UpstreamTable(context.clock, 2000, 2000)
    context.other.merge_all(
        pb.UpstreamRecord.FromString(record.SerializeToString())
        for record in records
    )


@then('"{names}" may get new requests')
def check_may_get_requests(context, names):
    assert live_names(context.upstreams) == names, live_names(
        context.upstreams
    )


@then('at the other router "{names}" may get new requests')
def check_may_get_requests_at_other(context, names):
    context.other.tick()
    assert live_names(context.other) == names, live_names(context.other)


@then('"{name}" is marked as lapsed')
def check_lapsed(context, name):
    assert context.upstreams.get(name).record.state == upstreams_.LAPSED


@then('"{name}" is marked as gone')
def check_gone(context, name):
    assert context.upstreams.get(name).record.state == upstreams_.GONE


@then('after {ms:d} ms the other router has "{name}" marked as gone')
def check_gone_at_other(context, ms, name):
    context.clock.advance(ms)
    context.other.tick()
    assert context.other.get(name).record.state == upstreams_.GONE


@given('a store that answers')
def create_answering_store(context):
    context.clock = clock_.ManualClock()
    context.outage = outage_.OutageTracker(context.clock, 2000)
    assert not context.outage.is_suspected()


class CountingStore:
    """A store that counts its calls and never answers."""

    def __init__(self):
        self.calls = 0
        self.probes = 0

    def probe(self):
        self.calls += 1
        self.probes += 1


@when('a store call was made and has then failed')
def fail_made_call(context):
    context.calls_before = 1
    context.outage.record_failure('429')


@when('another store call is made before each check')
def make_other_calls(context):
    context.other_calls = 1


@then('the store is probed at {count:d} of {checks:d} checks')
def check_probe_count(context, count, checks):
    store = CountingStore()
    store.calls = getattr(context, 'calls_before', 0)
    check = store_prober.StoreProber(
        store, context.outage, is_regular=lambda: False
    )
    for _ in range(checks):
        store.calls += getattr(context, 'other_calls', 0)
        check.tick()
    assert store.probes == count, store.probes


@when('a store call fails')
def fail_store_call(context):
    context.outage.record_failure('silent')


@when('a store call that started {ms:d} ms ago fails')
def fail_earlier_store_call(context, ms):
    context.outage.record_failure('silent', ms)


@when('a store call is answered')
def answer_store_call(context):
    context.outage.record_answer()


@then('missing entries may be due to an outage')
def check_outage_suspected(context):
    assert context.outage.is_suspected()


@then('missing entries are not due to an outage')
def check_no_outage_suspected(context):
    assert not context.outage.is_suspected()


class SilentStore:
    """A store that never answers its first watch."""

    def __init__(self):
        self.watches = 0

    def list(self, kind):
        return objects.Listing([], 1)

    def watch(self, kind, since, wait_ms, on_bytes=None):
        self.watches += 1
        if self.watches == 1:
            green.Event().wait()
        return objects.Changes([objects.StoredObject('x', 2, {})], 2)


class RecordingListener:
    def __init__(self):
        self.names = []

    def on_listing(self, listing, after_outage):
        pass

    def on_changes(self, changes, after_outage):
        self.names += [stored.name for stored in changes.objects]


@given('a watch on a connection that stays silent')
def start_silent_watch(context):
    context.clock = clock_.ManualClock()
    context.store = SilentStore()
    context.listener = RecordingListener()
    context.watch = kind_watch.KindWatch(
        context.store, 'things', context.listener, context.clock
    )
    context.watch.step()
    context.stepping = green.spawn(context.watch.step)
    green.sleep_ms(5)
    context.watch_started_at = context.clock.now()


@when('a peer has a newer state {ms:d} ms after the watch started')
def announce_newer_peer_state(context, ms):
    context.clock.advance(context.watch_started_at + ms - context.clock.now())
    context.watch.on_peer_ahead()
    green.sleep_ms(5)


@then('the watch keeps waiting')
def check_watch_waits(context):
    assert not context.stepping.dead
    assert context.store.watches == 1


@then('the watch has restarted and received the change')
def check_watch_restarted(context):
    context.stepping.wait()
    context.watch.step()
    assert context.store.watches == 2
    assert context.listener.names == ['x']
