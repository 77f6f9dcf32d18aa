"""Steps for malformed entries, configurations and messages."""

from __future__ import annotations

import copy
import json

from behave import given
from behave import then
from behave import when
import config_steps
import helpers
import histories
import hypothesis
from hypothesis import strategies
import raw_store
import store_outage_steps

from peridotmast import addresses
from peridotmast import clock as clock_
from peridotmast.coordination import beacon_check
from peridotmast.coordination import objects
from peridotmast.coordination import outage as outage_
from peridotmast import failures
from peridotmast.platform import cloud_api
from peridotmast.platform import config_codec
from peridotmast.platform import fields as fields_
from peridotmast.platform import names
from peridotmast.platform import object_codec
from peridotmast.platform import store as store_
from peridotmast.platform import upstream_codec
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import upstreams as upstreams_
from peridotmast.wire import http_client

SCALARS = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    # Beyond the range of a double, and before the limit of a JSON parser.
    strategies.integers(309, 4200).map(lambda digits: 10**digits),
    strategies.floats(),
    strategies.text(max_size=8),
    strategies.sampled_from(['10.0.0.1:80', 'ready', 'pool', '\ud800']),
)
JSON = strategies.recursive(
    SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=5), inner)
    ),
    max_leaves=6,
)


def run_examples(count, *given_, test):
    """Run `test` on `count` drawn examples, the same ones each time."""
    histories.settings(count)(hypothesis.given(*given_)(test))()


def value_paths(value, path=()):
    """Yield the path of each value in a document, and that of the document."""
    yield path
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield from value_paths(inner, (*path, key))


def with_value_at(document, path, value):
    """Return a copy of `document` with `value` at `path`."""
    if not path:
        return value
    document = copy.deepcopy(document)
    inner = document
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return document


@when('the entry of "{name}" has {value} for "{field}"')
def set_entry_field(context, name, value, field):
    value = value.replace('400 digits', '9' * 400)
    spec = {**store_outage_steps.entry_spec(name), field: json.loads(value)}
    store_outage_steps.apply_change(context, name, spec)


@then('"{name}" may get no work while its entry is null, [], "a", 7 or {{}}')
def check_values_of_other_types(context, name):
    for spec in (None, [], 'a', 7, {}):
        item = {names.META: {'name': name, names.REVISION: 50}}
        item[names.SPEC] = spec
        stored = object_codec.parse_object(item)
        store_outage_steps.apply_change(context, name, stored.spec)
        assert name not in store_outage_steps.live_names(context.upstreams), (
            spec
        )
        store_outage_steps.apply_change(
            context, name, store_outage_steps.entry_spec(name)
        )
        assert name in store_outage_steps.live_names(context.upstreams)


@when(
    'the entry of "{a}" becomes unreadable in the change in which "{b}"'
    ' starts to leave'
)
def apply_unreadable_and_leaving(context, a, b):
    context.feed.on_changes(
        objects.Changes(
            [
                objects.StoredObject(a, 20, {'capacity-slots': float('inf')}),
                objects.StoredObject(
                    b, 21, store_outage_steps.entry_spec(b, upstreams_.LEAVING)
                ),
            ],
            21,
        ),
        False,
    )


@then(
    'of {count:d} drawn entries each is rejected as malformed or gives a'
    ' usable upstream'
)
def check_drawn_entries(context, count):
    whole = {
        **store_outage_steps.entry_spec('a'),
        names.BORN: 5,
        names.RECLAIMABLE: True,
    }
    paths = strategies.sampled_from(sorted(value_paths(whole)))

    def one(path, value):
        table = upstreams_.UpstreamTable(clock_.ManualClock())
        try:
            record = upstream_codec.read_upstream(
                'a', 1, with_value_at(whole, path, value)
            )
        except fields_.MalformedDocumentError as exc:
            assert all(found.place and found.text for found in exc.findings)
            return
        table.merge(record)
        for view in table.all():
            assert addresses.is_usable(view.address), view.address
            assert view.service and view.slots > 0, view.record

    run_examples(count, paths, JSON, test=one)


def make_config():
    config = pb.Config(
        routes=[
            pb.Route(
                name='r',
                host='h',
                prefix='/x/',
                kind=pb.STREAMING,
                timeout_ms=1000,
                target_ms=300,
                attempts=2,
                target_gap_ms=200,
                services=['pool', 'other'],
                weights=[3, 1],
            )
        ],
        services=[
            pb.Service(
                name='pool',
                max_connections=10,
                engine=True,
                slots=8,
                memory_tokens=1000,
                event_tokens=2,
                scaled=True,
                scale_max=3,
                boot_ms=1000,
                reclaimable_price=0.2,
                domains=['fd-1'],
                prices=[1.0],
            )
        ],
        teams=[pb.Team(name='t', keys=['k'], rate=5, burst=9, priority=1)],
    )
    return config_codec.write_config(config, 7)


@then(
    'of {count:d} drawn configurations each is read or rejected as malformed'
)
def check_drawn_configs(context, count):
    whole = make_config()
    paths = strategies.sampled_from(
        sorted(value_paths(whole), key=lambda path: [str(key) for key in path])
    )

    def one(path, value):
        document = with_value_at(whole, path, value)
        assert config_codec.read_version(document) >= 0
        try:
            config_codec.read_config(document)
        except fields_.MalformedDocumentError as exc:
            assert all(found.place and found.text for found in exc.findings)

    config_codec.read_config(whole)
    run_examples(count, paths, JSON, test=one)


@given('a configuration in force')
def put_config_in_force(context):
    context.config_feed = config_steps.new_feed()
    assert context.config_feed.offer_routes(make_config(), 'store')


@when(
    'a configuration of a higher version has "{value}" as the time-out of a'
    ' route'
)
def offer_malformed_timeout(context, value):
    context.document = {**make_config(), 'version': 9}
    context.document['routes'][0]['timeout-ms'] = value
    assert not context.config_feed.offer_routes(context.document, 'store')


@then(
    'the previous configuration stays in force and the findings name the field'
)
def check_stays_in_force(context):
    assert context.config_feed.routes.version == 7
    try:
        config_codec.read_config(context.document)
    except fields_.MalformedDocumentError as exc:
        assert 'config routes[0] timeout-ms' in str(exc), exc
    else:
        raise AssertionError('a malformed configuration was read')


@when('a valid configuration of a higher version is read')
def offer_higher_version(context):
    document = {**make_config(), 'version': 11}
    context.config_feed.offer_routes(document, 'store')


@then('the new configuration is in force')
def check_new_config_in_force(context):
    assert context.config_feed.routes.version == 11


class _FixedAnswer:
    """Replaces HTTP calls; returns one answer to each."""

    def __init__(self, body, status=200):
        self.body = body
        self.status = status

    def request(self, *args, **kwargs):
        return http_client.Response(self.status, [], self.body)


def make_answering_store(body):
    store = store_.PlatformStore(
        '127.0.0.1:1', 100, outage_.OutageTracker(clock_.ManualClock(), 1000)
    )
    store._http = _FixedAnswer(body)
    return store


def raw_object(name, revision, spec):
    return (
        f'{{"{names.META}":{{"name":"{name}","{names.REVISION}":{revision}}},'
        f'"{names.SPEC}":{spec}}}'
    )


@given('a listing of "a", "b" and "c" in which the value of "b" is not JSON')
def create_broken_listing(context):
    context.store = raw_store.RawStore()
    context.store.put('a', '{"x":[1,"]}"]}')
    context.store.put('b', '{"x":nothing at all}')
    context.store.put('c', '{"x":3}')
    context.expected = [
        objects.StoredObject('a', 1, {'x': [1, ']}']}),
        objects.StoredObject('b', 2, {}),
        objects.StoredObject('c', 3, {'x': 3}),
    ]


@then('"a" and "c" are read unchanged, and "b" with an empty value')
def check_listing(context):
    listing = context.store.client().list('k')
    assert listing == objects.Listing(context.expected, 3), listing


@then('changes of the three objects are read the same way')
def check_changes(context):
    changes = context.store.client().watch('k', 0, 0)
    assert changes == objects.Changes(context.expected, 3), changes


@then('none of {count:d} drawn answers causes an exception')
def check_drawn_answers(context, count):
    item = raw_object('a', 1, '{"x":1}')
    listing = f'{{"{names.ITEMS}":[{item}],"{names.AT_REVISION}":1}}'.encode()

    def one(at, bytes_):
        body = listing[:at] + bytes_ + listing[at + len(bytes_) :]
        for found in (
            make_answering_store(body).list('k'),
            make_answering_store(body).watch('k', 1, 0),
            make_answering_store(body).read('k', 'a'),
            make_answering_store(body).write('k', 'a', {}, 1),
        ):
            assert isinstance(
                found,
                (
                    failures.Failure,
                    objects.Listing,
                    objects.Changes,
                    objects.StoredObject,
                ),
            )

    run_examples(
        count,
        strategies.integers(0, len(listing)),
        strategies.binary(max_size=6),
        test=one,
    )


REFUSALS = {
    'no text': b'',
    'bytes that are no UTF-8': b'none \xff\xfe',
    '300 bytes of odd characters': b'x' + 'é'.encode() * 150,
}


@then(
    'an order that is answered {status:d} with {body} is refused as {reason}'
)
def check_refused_order(context, status, body, reason):
    cloud = cloud_api.PlatformCloud('127.0.0.1:1', 100, 'router-1')
    cloud._http = _FixedAnswer(REFUSALS[body], status)
    failure = cloud.order('pool', 'fd-1', 3, False, 1)
    assert isinstance(failure, failures.Failure), failure
    assert failure.reason == reason, failure


NUMBERS = strategies.integers(-(1 << 62), 1 << 62)
TEXTS = strategies.one_of(
    strategies.sampled_from(['', '127.0.0.1:7', 'a', 'u-1', '127.0.0.1:0']),
    strategies.text(max_size=6),
)
MEMBERS = strategies.builds(
    pb.Member,
    name=TEXTS,
    incarnation=NUMBERS,
    address=TEXTS,
    peer_address=TEXTS,
    beacon_address=TEXTS,
)
TOTALS = strategies.builds(
    pb.Totals,
    loads=strategies.lists(
        strategies.builds(
            pb.UpstreamLoad, upstream=TEXTS, running=NUMBERS, unread=NUMBERS
        ),
        max_size=2,
    ),
    demand=strategies.lists(
        strategies.builds(pb.ServiceDemand, service=TEXTS, tokens=NUMBERS),
        max_size=2,
    ),
    usage=strategies.lists(
        strategies.builds(
            pb.UsageCount,
            window=NUMBERS,
            requests=strategies.dictionaries(TEXTS, NUMBERS, max_size=2),
        ),
        max_size=2,
    ),
)
BEACONS = strategies.builds(
    pb.Beacon,
    member=MEMBERS,
    other=MEMBERS,
    config_version=NUMBERS,
    upstreams_revision=NUMBERS,
    wall_ms=NUMBERS,
    own=TOTALS,
    group=TOTALS,
    others=TOTALS,
    alive=strategies.lists(TEXTS, max_size=2),
    changed=strategies.lists(MEMBERS, max_size=2),
)


@then(
    'none of {count:d} drawn beacons causes an exception or changes the'
    ' known upstreams'
)
def check_drawn_beacons(context, count):
    fleet = helpers.start_fleet(context, routers=1, services=0, domains=1)
    router = fleet.routers[0]
    known = {view.name for view in router.upstream_table.all()}
    undecodable = strategies.binary(max_size=40)

    def one(beacon, bytes_):
        router.beacons._unpack(bytes_)
        found = beacon_check.check(beacon)
        taken = router.beacons._unpack(router.beacons._pack(beacon))
        assert (taken is None) == bool(found), found
        if taken is not None:
            router._peering.receive(taken)
            for peer in router.members.peers():
                assert peer.member.name
        assert {view.name for view in router.upstream_table.all()} == known

    run_examples(count, BEACONS, undecodable, test=one)


@given('a router whose peer answers with an undecodable configuration')
def start_router_with_bad_peer(context):
    fleet = helpers.start_fleet(context, routers=1)
    context.router = fleet.routers[0]
    context.router._catch_up.config_fetcher._peers = _UndecodablePeer()
    context.lines = []

    class Log:
        def info(self, event, **values):
            pass

        def error(self, event, **values):
            context.lines.append((event, values))

    context.router._catch_up.config_fetcher._log = Log()


class _UndecodablePeer:
    """Replaces the calls of a peer; returns an undecodable configuration."""

    def call(self, address, method, request, timeout_ms):
        return pb.ConfigReply(config=b'[[[', config_version=1 << 40)

    def close(self):
        pass


@when('the router requests the configuration from the peer')
def request_config(context):
    context.version = context.router.config.routes.version
    context.news = context.router._catch_up.fetch_config('127.0.0.1:9')


@then('the configuration is unchanged and the log names the peer')
def check_unchanged(context):
    assert not context.news
    assert context.router.config.routes.version == context.version
    assert context.lines[0][1]['peer'] == '127.0.0.1:9', context.lines


@when('a peer reports "{name}" with the address "{address}"')
def report_address(context, name, address):
    record = pb.UpstreamRecord()
    record.CopyFrom(context.upstreams.get(name).record)
    record.upstream.address = address
    record.revision = 90
    context.upstreams.merge_all([record])


@then('a beacon whose load has {count:d} for {what} is {result}')
def check_beacon(context, count, what, result):
    beacon = pb.Beacon(member=pb.Member(name='r'))
    beacon.own.loads.add(upstream='u', **{what: count})
    found = beacon_check.check(beacon)
    assert bool(found) == (result == 'rejected'), found
