"""Steps for objects of the store whose values are not JSON."""

from __future__ import annotations

import json

from behave import then
import raw_store
import store_outage_steps

from peridotmast.coordination import objects

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


@then('no object and no revision of a listing is lost beside the value {text}')
def open_brackets(context, text):
    for odd in ('a', 'u1x', 'z'):
        for is_meta_first in ORDERS.values():
            values = {f'u{n}': entry(n) for n in range(4)} | {odd: text}
            read = check_listing(values, is_meta_first, odd)
            assert read.spec == {}, read
