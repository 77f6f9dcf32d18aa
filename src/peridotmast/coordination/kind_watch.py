"""One kind of the store's objects, followed through outages."""

from __future__ import annotations

import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import green
from peridotmast import logs

_WAIT_MS = 25_000
"""How long a watch waits: each return is a call that is paid for. A silent
connection is found out by probes of its own, not by this."""

_FIRST_PAUSE_MS = 250
_LAST_PAUSE_MS = 1000
"""Pauses between tries while the store does not answer; refused calls are
paid for like others, and a change must be in force in two seconds."""

_GATHER_MS = 200
"""Pause after news before the next watch, so that a burst of changes costs
a few calls and not one each."""

_OVERTAKEN_MS = 2000
"""How long a watch has been silent at least before it is given up for a
peer's news: while the store turns this router away, each new one is in vain,
and what has come of an answer would have to come again."""

_DEAF_MS = 500
_LAST_DEAF_MS = 4000
"""Silence from which on a watch is asked for anew after an outage: it was
begun while the store was out, or may have been. Doubled each time until it
hears something, so that an answer that takes long comes in although calls
fail and are answered by turns."""

_IDLE_MS = 500
"""Time between two looks at whether this router is to watch."""


class WatchListener(ty.Protocol):
    """Takes in what a watch brings."""

    def on_listing(self, listing: objects.Listing, after_outage: bool) -> None:
        """Take in all objects of the kind."""

    def on_changes(self, changes: objects.Changes, after_outage: bool) -> None:
        """Take in what has changed since."""


class KindWatch:
    """Lists a kind, then watches it, and starts again where it must.

    Parameters
    ----------
    store : objects.ObjectStore
        The platform's store.
    kind : str
        Kind of objects.
    follower : WatchListener
        Gets the objects.
    clock : clock.Clock
        Times the watches.
    is_outage_suspected : callable
        Says whether what is missing may be missing due to an outage.
    tell : callable
        Called once news was taken in.
    should_watch : callable
        Says whether this router watches; one that does not hears the news
        from its peers, but lists the kind once when it starts.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        kind: str,
        follower: WatchListener,
        clock: clock_.Clock,
        is_outage_suspected: ty.Callable[[], bool] = lambda: False,
        tell: ty.Callable[[], None] = lambda: None,
        should_watch: ty.Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store
        self.kind = kind
        """Kind of objects."""
        self._follower = follower
        self._clock = clock
        self._is_outage_felt = is_outage_suspected
        self._tell = tell
        self._is_due = should_watch
        self._jitter = random.Random(kind)
        self._revision = 0
        self._listed = False
        self._pause_ms = _FIRST_PAUSE_MS
        self._wait = green.Interrupt()
        self._silent_since: ty.Optional[int] = None
        self._deaf_ms = _DEAF_MS
        self._log = logs.get('watch', kind=kind)

    @property
    def is_listed(self) -> bool:
        """Whether all objects of the kind were taken in from the store."""
        return self._listed

    def run(self) -> None:
        """Follow the kind until the task is ended."""
        while True:
            self.step()

    def step(self) -> None:
        """Ask once, and wait before the next time as is due."""
        if self._listed and not self._is_due():
            green.sleep_ms(_IDLE_MS)
            return
        failure = self._watch() if self._listed else self._list()
        if failure is None:
            self._pause_ms = _FIRST_PAUSE_MS
            return
        if failure.reason == objects.HISTORY_GONE:
            # Whatever was forgotten may have changed anything.
            self._log.info('history_gone', revision=self._revision)
            self._listed = False
            return
        self._log.info(
            'watch_failed',
            reason=failure.reason,
            detail=failure.detail,
            revision=self._revision,
        )
        green.sleep_ms(self._pause_ms * self._jitter.uniform(0.7, 1.3))
        self._pause_ms = min(_LAST_PAUSE_MS, self._pause_ms * 2)

    def on_peer_ahead(self) -> None:
        """Ask anew: a peer has news that the waiting watch did not bring.

        A connection on which the store once failed may stay silent for as
        long as the watch waits. One whose answer is coming in is not: on a
        thin link the answer may take longer than a peer's news.
        """
        self._ask_anew('watch_overtaken', _OVERTAKEN_MS)

    def on_outage(self) -> None:
        """Ask anew: the store was out, and may have lost the watch."""
        if self._ask_anew('watch_doubted', self._deaf_ms):
            self._deaf_ms = min(_LAST_DEAF_MS, 2 * self._deaf_ms)

    def _ask_anew(self, why: str, silent_ms: int) -> bool:
        """End the wait of a watch that has been silent for as long."""
        since = self._silent_since
        if since is None or self._clock.now() - since < silent_ms:
            return False
        self._log.info(why, revision=self._revision)
        self._silent_since = None
        self._wait.fire()
        return True

    def _list(self) -> ty.Optional[failures.Failure]:
        listing = self._store.list(self.kind)
        if isinstance(listing, failures.Failure):
            return listing
        self._follower.on_listing(listing, self._is_outage_felt())
        # Not before: what was not taken in is asked for again.
        self._revision = listing.revision
        self._listed = True
        return None

    def _watch(self) -> ty.Optional[failures.Failure]:
        changes = self._wait_for_changes()
        if changes is None or isinstance(changes, failures.Failure):
            return changes
        if changes.objects:
            self._follower.on_changes(changes, self._is_outage_felt())
        self._revision = max(self._revision, changes.revision)
        if changes.objects:
            self._tell()
            green.sleep_ms(_GATHER_MS)
        return None

    def _wait_for_changes(
        self,
    ) -> ty.Union[objects.Changes, failures.Failure, None]:
        """Return what has changed; None where the wait was ended."""
        self._silent_since = self._clock.now()
        try:
            with self._wait:
                return self._store.watch(
                    self.kind, self._revision, _WAIT_MS, self._heard
                )
        finally:
            self._silent_since = None
        return None

    def _heard(self) -> None:
        self._silent_since = self._clock.now()
        self._deaf_ms = _DEAF_MS
