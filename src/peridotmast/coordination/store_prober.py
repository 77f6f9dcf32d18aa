"""Probes the store after a failed call until the store answers."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import outage as outage_


class ProbedStore(ty.Protocol):
    """The part of the store's interface that a probe needs."""

    calls: int
    """Number of calls to the store so far."""

    def probe(self) -> None:
        """Make a short call, whose outcome the outage tracker records."""


class StoreProber:
    """Probes a store that is out until it answers.

    A router that watches the store retries anyway. A router that does not
    watch may have no more calls to make: after a failed call it would report
    an outage until the failure expires. All peers would rely on this report
    and send requests to upstreams that have left, as to upstreams whose
    entries are missing because of an outage.

    Parameters
    ----------
    store : ProbedStore
        The platform's store.
    outage : outage.OutageTracker
        Records the outcomes of the store's calls.
    """

    def __init__(
        self, store: ProbedStore, outage: outage_.OutageTracker
    ) -> None:
        self._store = store
        self._outage = outage
        self._calls = 0

    def tick(self) -> None:
        """Probe a store that is out and was not called since the last tick."""
        is_quiet = self._store.calls == self._calls
        if self._outage.is_out and is_quiet:
            self._store.probe()
        self._calls = self._store.calls
