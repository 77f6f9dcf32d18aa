"""Values that other programs write among the entries of upstreams."""

from __future__ import annotations

import random

from peridotmast.platform import names
from peridotmast.standin import raw_text
from peridotmast.standin import store as store_

_CUT_OFF_LIST = '[{"service":"backup"'
_LARGE_REPEATS = 4000
_LARGE_PART = '{"spec":{"id":1,"up":True}},'


def make_values(
    store: store_.StoreStandin, rng: random.Random
) -> list[raw_text.RawText]:
    """Return values that are not JSON.

    One is a list that was cut off inside its first object, one a copy of the
    entries that was cut off anywhere, and one is large.
    """
    copy = _copy_entries(store, rng)
    return [
        raw_text.RawText(_CUT_OFF_LIST),
        raw_text.RawText(copy[: rng.randrange(1, len(copy))]),
        raw_text.RawText('[' + _LARGE_PART * _LARGE_REPEATS),
    ]


def _copy_entries(store: store_.StoreStandin, rng: random.Random) -> str:
    """Return the text of a list of all entries, with other revisions."""
    kind = names.UPSTREAM_KIND
    entries = [
        {
            names.META: {
                'name': name,
                names.REVISION: rng.randrange(1, 1 << 20),
            },
            names.SPEC: store.spec(kind, name),
            names.STATUS: None,
        }
        for name in store.object_names(kind)
    ]
    return raw_text.encode(entries).decode()
