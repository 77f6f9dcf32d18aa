"""Steps for objects of the store whose values are not JSON."""

from __future__ import annotations

import json
import random
from unittest import mock

from behave import given
from behave import then
from behave import when
import foreign_entry_steps
import histories
import hypothesis
from hypothesis import strategies
import raw_store
import store_outage_steps

from peridotmast import clock as clock_
from peridotmast.coordination import kind_watch
from peridotmast.coordination import objects
from peridotmast.coordination import outage as outage_
from peridotmast.coordination import upstream_feed
from peridotmast.load import unreadable_values
from peridotmast.platform import names
from peridotmast.platform import store as store_
from peridotmast.platform import store_answers
from peridotmast.platform import upstream_codec
from peridotmast.serving import upstreams as upstreams_
from peridotmast.standin import store as store_standin

ORDERS = {'first': True, 'last': False}


def entry(number):
    """Return the text of an upstream's entry with an address of its own."""
    spec = store_outage_steps.entry_spec('any')
    spec['addr'] = f'10.0.{number // 250}.{1 + number % 250}:80'
    return json.dumps(spec)


def is_json(text):
    try:
        json.loads(text)
    except (ValueError, RecursionError):
        return False
    return True


def address_in(text):
    """Return the address in an entry; None if it names no upstream."""
    value = json.loads(text) if is_json(text) else None
    return value.get('addr') if isinstance(value, dict) else None


def expected(name, revision, text):
    """Return an object as it is to be read."""
    spec = json.loads(text) if is_json(text) else {}
    return objects.StoredObject(name, revision, spec)


def wanted_objects(store, values, odd):
    """Write the values; return the objects to be read, without `odd`."""
    revisions = {name: store.put(name, text) for name, text in values.items()}
    return [
        expected(name, revisions[name], text)
        for name, text in sorted(values.items())
        if name != odd
    ]


def check_listing(values, is_meta_first, odd):
    """Check a listing; return what was read of `odd`.

    The revision of an unreadable object is not known if its value precedes
    its metadata, so that of `odd` is not checked.
    """
    store = raw_store.RawStore(is_meta_first)
    wanted = wanted_objects(store, values, odd)
    listing = store.client().list('kind')
    assert isinstance(listing, objects.Listing), listing
    found = [s for s in listing.objects if s.name != odd]
    assert found == wanted, found
    assert listing.revision == store.revision, listing.revision
    (read,) = (s for s in listing.objects if s.name == odd)
    return read


def check_changes(values, is_meta_first, odd):
    """Check changes; where an event has no revision, a listing replaces them.

    That is so if the value of an unreadable object precedes its metadata.
    """
    store = raw_store.RawStore(is_meta_first)
    wanted = wanted_objects(store, values, odd)
    found, since = [], 0
    while since < store.revision:
        changes = store.client().watch('kind', since, 0)
        if not changes:
            assert changes.reason == objects.HISTORY_GONE, changes
            assert not is_meta_first and not is_json(values[odd]), changes
            return
        found += [s for s in changes.objects if s.name != odd]
        since = changes.revision
    assert sorted(found, key=lambda s: s.name) == wanted, found


CHECKS = {'a listing': check_listing, 'changes': check_changes}


@then('no object and no revision of a listing is lost beside the value {text}')
def open_brackets(context, text):
    for odd in ('a', 'u1x', 'z'):
        for is_meta_first in ORDERS.values():
            values = {f'u{n}': entry(n) for n in range(4)} | {odd: text}
            read = check_listing(values, is_meta_first, odd)
            assert read.spec == {}, read


def copied(what):
    """Return the text of a list with entries that have changed since."""
    store = raw_store.RawStore()
    for number in range(3):
        store.put(f'u{number}', entry(100 + number))
    store.put('zz-left', entry(110))
    path = '/objects/kind'
    if what == 'changes':
        path = f'{path}?{names.WATCH}=0'
    text = store.request('GET', '', path).body.decode()
    return text[text.index('[') : text.rindex(']') + 1]


def check_copy(what, odd, text):
    values = {'u0': entry(0), odd: text, 'u1': entry(1), 'u2': entry(2)}
    for is_meta_first in ORDERS.values():
        CHECKS[what](values, is_meta_first, odd)


@then(
    'of {what} beside a copy in "{name}" only the objects of the store are'
    ' read'
)
def cut_copies(context, what, name):
    copy = copied(what)
    for end in range(1, len(copy), 3):
        check_copy(what, name, copy[:end])
    for start in range(1, len(copy)):
        check_copy(what, name, copy[start:])


@then(
    'of {what} beside {count:d} drawn parts of a copy only the objects of the'
    ' store are read'
)
def drawn_parts(context, what, count):
    copy = copied(what)
    bounds = strategies.integers(0, len(copy) - 1)

    @hypothesis.seed(84)
    @histories.settings(count)
    @hypothesis.given(
        bounds, bounds, strategies.sampled_from(['a-copy', 'u1-copy', 'z'])
    )
    def test(start, end, name):
        part = copy[min(start, end) : max(start, end) + 1]
        check_copy(what, name, part)

    test()


class _Reader:
    """A router's table of upstreams, which follows a store."""

    def __init__(self, store):
        self.table = upstreams_.UpstreamTable(clock_.ManualClock(), 2000, 2000)
        self.watch = kind_watch.KindWatch(
            store.client(),
            names.UPSTREAM_KIND,
            upstream_feed.UpstreamFeed(
                self.table, upstream_codec.read_upstream
            ),
            clock_.ManualClock(),
        )

    def read(self):
        """Read until nothing is left that the store has changed."""
        with mock.patch.object(kind_watch.green, 'sleep_ms'):
            for _ in range(3):
                self.watch.step()

    def in_use(self):
        """Return the addresses of the upstreams in use, by name."""
        live = self.table.live(store_outage_steps.SERVICE)
        return {view.name: view.address for view in live}


UPSTREAM_NAMES = strategies.sampled_from(['a', 'b', 'c', 'd'])
OPERATIONS = strategies.one_of(
    strategies.tuples(strategies.just('write'), UPSTREAM_NAMES),
    strategies.tuples(strategies.just('remove'), UPSTREAM_NAMES),
    strategies.tuples(
        strategies.just('spoil'),
        strategies.sampled_from(['A', 'a', 'b', 'b1', 'z']),
        strategies.one_of(
            strategies.sampled_from(foreign_entry_steps.ODD_TEXTS),
            strategies.tuples(
                strategies.floats(0, 1), strategies.floats(0, 1)
            ),
        ),
    ),
    strategies.tuples(strategies.just('restart')),
    strategies.tuples(strategies.just('read')),
)


def part_of_copy(store, part):
    """Return a part of the listing, with later revisions, as a text."""
    copy = '[' + ','.join(store.texts().values()) + ']'
    copy = copy.replace('"revision": ', '"revision": 9')
    start, end = sorted(int(share * len(copy)) for share in part)
    return copy[start : end + 1]


@then(
    'in {count:d} drawn histories the upstreams in use are those of the'
    ' store, as it was last read'
)
def drawn_histories(context, count):
    @hypothesis.seed(84)
    @histories.settings(count)
    @hypothesis.given(
        strategies.lists(OPERATIONS, min_size=4, max_size=20),
        strategies.booleans(),
    )
    def test(operations, is_meta_first):
        store = raw_store.RawStore(is_meta_first)
        values = {}
        readers = [_Reader(store), _Reader(store)]
        for number, (operation, *args) in enumerate(operations):
            if operation == 'write':
                values[args[0]] = entry(number)
                store.put(args[0], values[args[0]])
            elif operation == 'spoil':
                name, text = args
                if not isinstance(text, str):
                    text = part_of_copy(store, text)
                values[name] = text
                store.put(name, text)
            elif operation == 'remove' and args[0] in values:
                del values[args[0]]
                store.delete(args[0])
                # Several removals in one change would count as an outage.
                readers[0].read()
            elif operation == 'restart':
                readers[1] = _Reader(store)
            readers[0].read()
            if operation in ('restart', 'read', 'remove'):
                readers[1].read()
        for reader in readers:
            reader.read()
            wanted = {
                name: address
                for name, text in values.items()
                if (address := address_in(text))
            }
            assert reader.in_use() == wanted, (reader.in_use(), wanted)

    test()


class _Work:
    """Counts the characters that a decoder goes over.

    A place that can't be decoded costs all that precedes it too: its line is
    counted for the message.
    """

    def __init__(self):
        self.chars = 0
        self._decode = json.JSONDecoder.raw_decode

    def decode(self, decoder, text, idx=0):
        try:
            value, end = self._decode(decoder, text, idx)
        except json.JSONDecodeError as exc:
            self.chars += exc.pos
            raise
        self.chars += end - idx
        return value, end


@then(
    'a page and an event with a value of {kb:d} KB of {text} are read without'
    ' going over them more than {times:d} times'
)
def work_of_reading(context, kb, text, times):
    value = '[' + text * (1000 * kb // len(text))
    for is_meta_first in ORDERS.values():
        store = raw_store.RawStore(is_meta_first)
        for name in ('a', 'b', 'odd', 'u', 'v'):
            store.put(name, value if name == 'odd' else entry(1))
        for key, path in (
            (names.ITEMS, '/objects/k'),
            (names.EVENTS, f'/objects/k?{names.WATCH}=0'),
        ):
            response = store.request('GET', '', path)
            work = _Work()
            with mock.patch.object(
                json.JSONDecoder,
                'raw_decode',
                lambda *args, **options: work.decode(*args, **options),
            ):
                page = store_answers.parse_page(response, key)
            assert isinstance(page, store_answers.Page), page
            size = len(response.body)
            assert work.chars <= times * size, (work.chars, size)


@when(
    '{count:d} of {most:d} objects are unreadable and their metadata come'
    ' {order}'
)
def unreadable_objects(context, count, most, order):
    context.store = raw_store.RawStore(ORDERS[order])
    every = most // count if count else 0
    for number in range(most):
        is_odd = every and number % every == 1
        text = '{"x":' if is_odd else entry(number)
        context.store.put(f'u{number:02}', text)
    context.count = most


@then(
    'a listing takes at most {calls:d} calls, and a watch at most {watches:d}'
)
def calls_of_reading(context, calls, watches):
    client = context.store.client()
    listing = client.list('kind')
    assert len(listing.objects) == context.count, listing
    listed = len(context.store.paths)
    assert listed <= calls, listed
    client.watch('kind', 0, 0)
    watched = len(context.store.paths) - listed
    assert watched <= watches, watched


@when('a value has a copy of the whole listing')
def copy_whole_listing(context):
    context.store = raw_store.RawStore()
    for number in range(3):
        context.store.put(f'u{number}', entry(number))
    copy = '[' + ','.join(context.store.texts().values()) + ']'
    context.store.put('u1-copy', copy)
    context.copy = json.loads(copy)


@then('the value is read, and so are all other objects')
def all_are_read(context):
    client = context.store.client()
    for found in (client.list('kind'), client.watch('kind', 0, 0)):
        read = {stored.name: stored.spec for stored in found.objects}
        assert read.pop('u1-copy') == context.copy, read
        assert read == {
            f'u{number}': json.loads(entry(number)) for number in range(3)
        }, read


@given('a watch that has read an unreadable object')
def watch_unreadable(context):
    context.store = raw_store.RawStore()
    context.store.put('odd', '{"x":')
    context.reader = _Reader(context.store)
    context.reader.read()


@when('the object is removed, and the removal shows the same revision')
def remove_at_same_revision(context):
    context.store.repeats_revisions = True
    context.store.delete('odd')
    context.store.paths.clear()
    context.reader.read()


@then(
    'the kind is listed once more, and the watch continues after the removal'
)
def check_listed_once(context):
    kind = f'{names.OBJECTS_PATH}/{names.UPSTREAM_KIND}'
    assert context.store.paths.count(kind) == 1, context.store.paths
    since = f'{kind}?{names.WATCH}={context.store.revision}&'
    assert context.store.paths[-1].startswith(since), context.store.paths


@given(
    'a stand-in of the store with unreadable values of all kinds among its'
    ' upstreams'
)
def standin_with_unreadable_values(context):
    context.standin = store_standin.StoreStandin()
    context.closing.append(context.standin.stop)
    for number in range(4):
        context.standin.put(
            names.UPSTREAM_KIND, f'u{number}', json.loads(entry(number))
        )
    values = unreadable_values.make_values(context.standin, random.Random(84))
    context.odd = [f'u{number}-odd' for number, _ in enumerate(values)]
    for name, value in zip(context.odd, values, strict=True):
        context.standin.put(names.UPSTREAM_KIND, name, value)


@when('a router lists the upstreams, and watches while one of them is removed')
def list_and_watch_standin(context):
    outage = outage_.OutageTracker(clock_.SystemClock(), 1000)
    store = store_.PlatformStore(context.standin.address, 2000, outage)
    context.closing.append(store.close)
    context.listing = store.list(names.UPSTREAM_KIND)
    since = context.listing.revision
    odd = context.standin.spec(names.UPSTREAM_KIND, context.odd[0])
    context.standin.put(names.UPSTREAM_KIND, 'u9-odd', odd)
    context.standin.delete(names.UPSTREAM_KIND, 'u2')
    context.changes = store.watch(names.UPSTREAM_KIND, since, 2000)


@then(
    'it knows the upstreams and the removal, and an unreadable object by its'
    ' name'
)
def check_standin_read(context):
    found = {stored.name: stored.spec for stored in context.listing.objects}
    assert found == {
        **{f'u{number}': json.loads(entry(number)) for number in range(4)},
        **dict.fromkeys(context.odd, {}),
    }, found
    changed = [(s.name, s.spec) for s in context.changes.objects]
    assert changed == [('u9-odd', {}), ('u2', None)], changed
