"""Steps for entries of other writers among those that routers read."""

from __future__ import annotations

import itertools
import json
from unittest import mock

from behave import then
from behave import when
import entry_steps
import histories
import hypothesis
from hypothesis import strategies
import memory_store
import raw_store
import registry_steps
import store_outage_steps

from peridotmast import addresses
from peridotmast import clock as clock_
from peridotmast.coordination import kind_watch
from peridotmast.coordination import registry as registry_
from peridotmast.coordination import upstream_feed
from peridotmast.platform import config_codec
from peridotmast.platform import fields as fields_
from peridotmast.platform import framed_list
from peridotmast.platform import names
from peridotmast.platform import rollout_orders
from peridotmast.platform import upstream_codec
from peridotmast.serving import upstreams as upstreams_

HUGE = '9' * 400
"""Beyond the range of a double, and read by every JSON parser."""
TOO_LONG = '9' * 5000
"""More digits than Python converts to an integer."""
VALUES = {
    '400 digits': HUGE,
    '-400 digits': f'-{HUGE}',
    '5000 digits': TOO_LONG,
    '900 lists': '[' * 900 + ']' * 900,
}
"""JSON texts of unreadable values by their names in the features."""
UNREADABLE = (
    'nothing', '[1,]', '\0', '{"x":}', '{"x":', '[[', '[]]', '}', '}}', '"x',
    '{"name":"a","revision":99,"x":nothing}',
    '{"metadata":{"name":"a","revision":99},"x":}',
)  # fmt: skip
"""Texts that are no JSON: with unbalanced brackets and quotes, and with what
looks like the metadata of the other object."""


DEEP = 100_000
"""Depth of nesting that no JSON parser of Python reads."""
ODD_TEXTS = (
    *UNREADABLE,
    *VALUES.values(),
    '[' * DEEP + ']' * DEEP,
    '{"x":' * DEEP + '1' + '}' * DEEP,
    '"\udcff\udcfe"',
    '\udc80',
    '1e999',
    'NaN',
    '-0',
    '"10.0.0.1:70000"',
)
"""Texts with several of which at a time no other entry may be lost. Lone
surrogates stand for bytes that are no UTF-8."""


class _Upstreams:
    """The feed of upstreams, which reads entries of `a` and of another."""

    kind = names.UPSTREAM_KIND
    spec = store_outage_steps.entry_spec('a')
    changed = store_outage_steps.entry_spec('a', upstreams_.LEAVING)

    def __init__(self):
        self.table = upstreams_.UpstreamTable(clock_.ManualClock(), 2000, 2000)
        self.listener = upstream_feed.UpstreamFeed(
            self.table, upstream_codec.read_upstream
        )

    def is_known(self):
        return 'a' in store_outage_steps.live_names(self.table)

    def is_changed(self):
        return not self.is_known()


class _Rollouts:
    """The orders of roll-outs, which read one of `a` and another."""

    kind = names.ROLLOUT_KIND
    spec = {names.SERVICE: 'a', names.TARGET: 'v2', names.DURATION_S: 9}
    changed = {**spec, names.TARGET: 'v3'}

    def __init__(self):
        self.listener = rollout_orders.RolloutOrders(None)

    def _targets(self):
        return {o.service: o.target for o in self.listener.orders}

    def is_known(self):
        return self._targets().get('a') == 'v2'

    def is_changed(self):
        return self._targets().get('a') == 'v3'


KINDS = {'upstreams': _Upstreams, 'rollouts': _Rollouts}


def read(kind, foreign, is_meta_first=False, after=()):
    """Read a listing and a change with foreign entries about another one.

    Parameters
    ----------
    foreign : str or sequence of str
        Texts of the entries before it.
    after : sequence of str
        Texts of the entries after it.
    """
    state = KINDS[kind]()
    before = (foreign,) if isinstance(foreign, str) else tuple(foreign)
    store = raw_store.RawStore(is_meta_first)
    watch = kind_watch.KindWatch(
        store.client(), state.kind, state.listener, clock_.ManualClock()
    )

    def write_all(spec):
        found = {f'Z{number}': text for number, text in enumerate(before)}
        found['a'] = json.dumps(spec)
        found |= {f'x{number}': text for number, text in enumerate(after)}
        for name, text in found.items():
            store.put(name, text)

    with mock.patch.object(kind_watch.green, 'sleep_ms'):
        write_all(state.spec)
        watch.step()
        was_known = state.is_known()
        write_all(state.changed)
        # An event that is unreadable and has no revision before its value
        # ends the watch, and the kind is listed anew.
        for _ in range(3):
            watch.step()
    return was_known, state.is_changed()


@when('the {kind} are read beside an entry whose {field} is {value}')
def read_beside(context, kind, field, value):
    text = with_field(KINDS[kind].spec, field, VALUES[value])
    context.was_known, context.is_changed = read(kind, text)


@then('the other {kind} are known, and so is a later change of one of them')
def others_are_known(context, kind):
    assert context.was_known, 'the listing was not read'
    assert context.is_changed, 'the change was not read'


@then(
    'in {count:d} drawn pages with up to {most:d} unreadable entries all other'
    ' {kind} are known'
)
def drawn_pages(context, count, most, kind):
    whole = KINDS[kind].spec
    unreadable = strategies.tuples(
        strategies.sampled_from([None, *sorted(whole)]),
        strategies.sampled_from(ODD_TEXTS),
    ).map(lambda found: with_field(whole, *found))
    half = strategies.lists(unreadable, max_size=most // 2)

    @hypothesis.seed(72)
    @histories.settings(count)
    @hypothesis.given(half, half, strategies.booleans())
    def test(before, after, is_meta_first):
        known = read(kind, before, is_meta_first, after)
        assert known == (True, True), known

    test()


@then('{count:d} drawn entries cost no other of the {kind}')
def drawn_entries(context, count, kind):
    whole = KINDS[kind].spec
    texts = entry_steps.JSON.map(json.dumps)

    @hypothesis.seed(65)
    @histories.settings(count)
    @hypothesis.given(
        strategies.sampled_from([None, *sorted(whole)]),
        texts,
        strategies.booleans(),
    )
    def test(field, text, is_meta_first):
        value = with_field(whole, field, text)
        assert read(kind, value, is_meta_first) == (True, True)

    test()


def with_field(spec, field, text):
    """Return a value's text with `text` as one of its fields, or as all."""
    if field is None:
        return text
    return json.dumps({**spec, field: '?'}).replace('"?"', text)


@then(
    'no unreadable text at any place of an entry costs another of the {kind}'
)
def unreadable_texts(context, kind):
    whole = KINDS[kind].spec
    texts = itertools.product(
        (*UNREADABLE, *VALUES.values()), (None, *whole), (False, True)
    )
    wrong = [
        (text[:40], field, is_meta_first)
        for text, field, is_meta_first in texts
        if read(kind, with_field(whole, field, text), is_meta_first)
        != (True, True)
    ]
    assert not wrong, wrong


@then(
    'a configuration with 400 digits in any of its numbers is rejected with'
    ' findings'
)
def configuration_with_digits(context):
    whole = entry_steps.make_config()
    for path in entry_steps.value_paths(whole):
        document = entry_steps.with_value_at(whole, path, int(HUGE))
        if path and path[-1] == 'version':
            assert config_codec.read_version(document) == 0
            continue
        try:
            config_codec.read_config(document)
        except fields_.MalformedDocumentError as exc:
            assert all(found.place and found.text for found in exc.findings)


MEMBER = {
    'name': 'x',
    'incarnation': '7',
    'beaconAddress': '10.0.0.9:1',
    'state': 'MEMBER_STATE_ALIVE',
}


def register_beside(spec):
    """Return a router that registers beside `b` and a foreign entry."""
    store = memory_store.MemoryStore()
    registry_steps.StartingRouter(store, 'b', 2).registry.register()
    store.write(registry_.KIND, 'x', spec, 0)
    router = registry_steps.StartingRouter(store, 'a', 1)
    assert router.registry.register(), 'not registered'
    assert (registry_.KIND, 'a') in store.objects, store.objects
    return router


@when(
    'a router registers beside an entry of the routers with {value} for'
    ' "{field}"'
)
def register_beside_foreign(context, value, field):
    context.router = register_beside({**MEMBER, field: json.loads(value)})


@then('it is registered, and sends beacons to the other router only')
def knows_other_only(context):
    known = context.router.known
    assert list(known) == ['b'], known
    assert known['b'].beacon_address == '10.0.0.1:2', known


@then(
    'in {count:d} drawn stores a router registers, and knows no address that'
    " it can't send beacons to"
)
def drawn_members(context, count):
    paths = strategies.sampled_from(
        sorted(entry_steps.value_paths(MEMBER), key=str)
    )

    @hypothesis.seed(67)
    @histories.settings(count)
    @hypothesis.given(paths, entry_steps.JSON)
    def test(path, value):
        router = register_beside(
            entry_steps.with_value_at(MEMBER, path, value)
        )
        assert set(router.known) - {'x'} == {'b'}, router.known
        for member in router.known.values():
            address = member.beacon_address
            assert not address or addresses.is_usable(address), address

    test()


@when('an entry has {depth:d} nested fields "{field}", which {end}')
def parse_nested(context, depth, field, end):
    store = raw_store.RawStore()
    store.put('a', '{}')
    store.put(
        'odd', f'{{"{field}":' * depth + '1' + '}' * depth * (end == 'end')
    )
    store.put('b', '{}')
    decoder = mock.Mock(wraps=framed_list._DECODER)
    with mock.patch.object(framed_list, '_DECODER', decoder):
        context.listing = store.client().list('kind')
    context.tries = decoder.raw_decode.call_count


@then('the other entries of its page are read')
def check_others(context):
    found = {stored.name for stored in context.listing.objects}
    assert {'a', 'b'} <= found, found


@then('no more than {count:d} places of the page were tried')
def check_tries(context, count):
    assert context.tries <= count, context.tries
