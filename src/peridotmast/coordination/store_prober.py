"""Ends a doubt about the store that no other call would end."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import outage as outage_


class ProbedStore(ty.Protocol):
    """The store, as far as it can be asked whether it answers."""

    calls: int
    """Calls made so far."""

    def probe(self) -> None:
        """Ask whether it answers; the outage is told."""


class StoreProber:
    """Asks a store that has failed until it answers.

    A router that watches the store asks again anyway. One that does not may
    have no more calls to make: after one that failed it would take the store
    to be out until its doubt runs out, and all peers would believe it. They
    would give work to upstreams that have left, as to ones whose entries
    may come back.

    Parameters
    ----------
    store : ProbedStore
        The platform's store.
    outage : outage.OutageTracker
        What its calls say about it.
    """

    def __init__(
        self, store: ProbedStore, outage: outage_.OutageTracker
    ) -> None:
        self._store = store
        self._outage = outage
        self._calls = 0

    def tick(self) -> None:
        """Ask, where nothing has asked since the last tick."""
        is_quiet = self._store.calls == self._calls
        if self._outage.is_out and is_quiet:
            self._store.probe()
        self._calls = self._store.calls
