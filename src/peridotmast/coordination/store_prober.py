"""Probes the store while it is out, and regularly at one router."""

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

    One router of the fleet, and each that receives no beacons, also probes a
    store that is not known to be out: a silence in which no call falls loses
    answers to watches, and nothing else shows it.

    Parameters
    ----------
    store : ProbedStore
        The platform's store.
    outage : outage.OutageTracker
        Records the outcomes of the store's calls.
    is_regular : callable
        Returns whether this router probes the store regularly.
    """

    def __init__(
        self,
        store: ProbedStore,
        outage: outage_.OutageTracker,
        is_regular: ty.Callable[[], bool],
    ) -> None:
        self._store = store
        self._outage = outage
        self._is_regular = is_regular
        self._calls = 0

    def tick(self) -> None:
        """Probe the store, unless it was called since the last tick."""
        is_quiet = self._store.calls == self._calls
        if is_quiet and (self._outage.is_out or self._is_regular()):
            self._store.probe()
        self._calls = self._store.calls
