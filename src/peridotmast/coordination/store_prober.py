"""Probes the store after a failed call until the store answers."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import outage as outage_


class ProbedStore(ty.Protocol):
    """The part of the store's interface that a probe needs."""

    calls: int
    """Calls made so far."""

    def probe(self) -> None:
        """Make a short call, whose outcome the outage tracker records."""


class StoreProber:
    """Probes a store that is out until it answers.

    A router that watches the store retries anyway. One that does not may
    have no more calls to make: after a failed one it would consider the store
    out until the failure is too old, and all peers would rely on its report.
    They would send work to upstreams that have left, as to upstreams whose
    entries may come back.

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
        """Probe the store if it is out and was not called since last tick."""
        is_quiet = self._store.calls == self._calls
        if self._outage.is_out and is_quiet:
            self._store.probe()
        self._calls = self._store.calls
