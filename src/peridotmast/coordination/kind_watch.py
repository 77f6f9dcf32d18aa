"""Follows changes of one kind of stored objects, also across outages."""

from __future__ import annotations

import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import green
from peridotmast import logs

_WATCH_MS = 25_000
"""Maximum time that a watch waits for changes: each watch is a billed call. A
silent connection is detected by separate probes, not by this timeout."""

_FIRST_BACKOFF_MS = 250
_MAX_BACKOFF_MS = 1000
"""First and longest pause between retries while the store does not answer:
rejected calls are billed like answered ones, and a change must be in force
within two seconds."""

_BATCH_MS = 200
"""Pause after changes before the next watch, so that a burst of changes costs
a few calls and not one each."""

_PEER_AHEAD_SILENT_MS = 2000
"""Minimum silence of a watch before a peer's newer state restarts it: every
restart fails while the store rejects this router's calls, and after a restart
the store sends the received part of an answer again."""

_OUTAGE_SILENT_MS = 500
_MAX_OUTAGE_SILENT_MS = 2000
"""Minimum silence of a watch before an outage restarts it: the watch may have
been started while the store did not answer. The minimum is doubled at each
restart until bytes arrive, so that an answer that takes long is received even
while other calls fail and succeed in turn. The maximum is below the time after
an outage in which a change may be late."""

_ROLE_CHECK_MS = 500
"""Interval at which a router that does not watch checks if it should."""


class WatchListener(ty.Protocol):
    """Receives the objects that a watch reads."""

    def on_listing(self, listing: objects.Listing, after_outage: bool) -> None:
        """Process all objects of the kind."""

    def on_changes(self, changes: objects.Changes, after_outage: bool) -> None:
        """Process the objects that have changed since the last call."""


class KindWatch:
    """Lists a kind, watches it for changes, and lists it again if needed.

    Parameters
    ----------
    store : objects.ObjectStore
        The platform's store.
    kind : str
        Kind of objects.
    listener : WatchListener
        Receives the objects.
    clock : clock.Clock
        Times the watches.
    is_outage_suspected : callable
        Returns whether objects may be missing because of an outage.
    on_change : callable
        Called once changes have been processed.
    should_watch : callable
        Returns whether this router is to watch the kind. If not, changes
        come from its peers, and only a single listing is read at the start.
    is_lazy : bool
        Whether even this listing is read only once the router is to watch.
    on_start : callable
        Called when a watch is started, so that another call shows whether the
        store answers at that moment: a watch that it does not receive stays
        silent like one without changes.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        kind: str,
        listener: WatchListener,
        clock: clock_.Clock,
        is_outage_suspected: ty.Callable[[], bool] = lambda: False,
        on_change: ty.Callable[[], None] = lambda: None,
        should_watch: ty.Callable[[], bool] = lambda: True,
        is_lazy: bool = False,
        on_start: ty.Callable[[], None] = lambda: None,
    ) -> None:
        self._store = store
        self.kind = kind
        """Kind of objects."""
        self._listener = listener
        self._clock = clock
        self._is_outage_suspected = is_outage_suspected
        self._on_change = on_change
        self._should_watch = should_watch
        self._is_lazy = is_lazy
        self._on_start = on_start
        self._jitter = random.Random(kind)
        self._revision = 0
        self._listed = False
        self._backoff_ms = _FIRST_BACKOFF_MS
        self._watch_interrupt = green.Interrupt()
        self._silent_since: ty.Optional[int] = None
        self._retries_due: dict[str, int] = {}
        """Start of the silence that a later restart awaits, in ms, by cause
        of the restart."""
        self._outage_silent_ms = _OUTAGE_SILENT_MS
        self._log = logs.get('watch', kind=kind)

    @property
    def is_listed(self) -> bool:
        """Whether a listing of the kind from the store has been processed."""
        return self._listed

    def run(self) -> None:
        """Follow the kind until the task is ended."""
        while True:
            self.step()

    def step(self) -> None:
        """Make one call to the store, and pause after it if necessary."""
        is_idle = self._listed or self._is_lazy
        if is_idle and not self._should_watch():
            green.sleep_ms(_ROLE_CHECK_MS)
            return
        failure = self._watch() if self._listed else self._list()
        if failure is None:
            self._backoff_ms = _FIRST_BACKOFF_MS
            return
        if failure.reason == objects.HISTORY_GONE:
            # The changes that the store dropped may concern any object.
            self._log.info('history_gone', revision=self._revision)
            self._listed = False
            return
        self._log.info(
            'watch_failed',
            reason=failure.reason,
            detail=failure.detail,
            revision=self._revision,
        )
        green.sleep_ms(self._backoff_ms * self._jitter.uniform(0.7, 1.3))
        self._backoff_ms = min(_MAX_BACKOFF_MS, self._backoff_ms * 2)

    def read_changes(self, known: int) -> bool:
        """Process what has changed, without waiting for the watch.

        Parameters
        ----------
        known : int
            Revision up to which all objects are known, also from peers.

        Returns
        -------
        bool
            Whether the store has answered.
        """
        if not self._listed:
            return False
        since = max(known, self._revision)
        changes = self._store.watch(self.kind, since, 0)
        if isinstance(changes, failures.Failure):
            return False
        if changes.objects:
            self._listener.on_changes(changes, self._is_outage_suspected())
            self._on_change()
        return True

    def on_peer_ahead(self) -> None:
        """Restart the watch: a peer has changes that the watch lacks.

        A connection on which the store once failed may stay silent for the
        whole wait of the watch. A watch whose answer is arriving is not
        restarted: on a slow link the answer may take longer than a beacon.
        """
        self._restart_once_silent(
            'watch_overtaken', _PEER_AHEAD_SILENT_MS, self.on_peer_ahead
        )

    def on_outage(self) -> None:
        """Restart the watch: the store may have dropped it in an outage."""
        is_restarted = self._restart_once_silent(
            'watch_doubted', self._outage_silent_ms, self.on_outage
        )
        if is_restarted:
            self._outage_silent_ms = min(
                _MAX_OUTAGE_SILENT_MS, 2 * self._outage_silent_ms
            )

    def on_return(self) -> None:
        """Restart the watch: the store has come back from an older copy.

        The watch waits for revisions that the store gives out a second time.
        """
        if self._silent_since is not None:
            self._log.info('watch_returned', revision=self._revision)
            self._interrupt()

    def list_again(self) -> None:
        """List the kind instead of waiting for a change of it."""
        if self._listed and self._should_watch():
            self._listed = False
            if self._silent_since is not None:
                self._interrupt()

    def _restart_once_silent(
        self, event: str, silent_ms: int, retry: ty.Callable[[], None]
    ) -> bool:
        """Restart the watch, now or once it has been silent for `silent_ms`.

        If the watch is too young, `retry` is called later, unless bytes have
        arrived: a watch that was started while the store did not answer stays
        silent for its whole wait, and no other event may follow.

        Returns
        -------
        bool
            Whether the watch was restarted now.
        """
        since = self._silent_since
        if since is None:
            return False
        waited_ms = self._clock.now() - since
        if waited_ms >= silent_ms:
            self._log.info(event, revision=self._revision, silent_ms=waited_ms)
            self._interrupt()
            return True
        if self._retries_due.get(event) != since:
            self._retries_due[event] = since
            self._log.info(
                'watch_kept',
                cause=event,
                revision=self._revision,
                silent_ms=waited_ms,
                min_silent_ms=silent_ms,
            )
            green.call_after_ms(
                silent_ms - waited_ms, lambda: self._retry(event, since, retry)
            )
        return False

    def _interrupt(self) -> None:
        self._silent_since = None
        self._watch_interrupt.fire()

    def _retry(
        self, event: str, since: int, retry: ty.Callable[[], None]
    ) -> None:
        """Call `retry` if no byte has arrived since `since`, in ms."""
        if self._retries_due.get(event) == since:
            del self._retries_due[event]
        if self._silent_since == since:
            retry()

    def _list(self) -> ty.Optional[failures.Failure]:
        listing = self._store.list(self.kind)
        if isinstance(listing, failures.Failure):
            return listing
        self._listener.on_listing(listing, self._is_outage_suspected())
        # Only after the listener returned: if it raises, the objects are
        # requested again.
        self._revision = listing.revision
        self._listed = True
        return None

    def _watch(self) -> ty.Optional[failures.Failure]:
        changes = self._wait_for_changes()
        if changes is None or isinstance(changes, failures.Failure):
            return changes
        if changes.objects:
            self._listener.on_changes(changes, self._is_outage_suspected())
        self._revision = max(self._revision, changes.revision)
        if changes.objects:
            self._on_change()
            green.sleep_ms(_BATCH_MS)
        return None

    def _wait_for_changes(
        self,
    ) -> ty.Union[objects.Changes, failures.Failure, None]:
        """Return the changes; None if the wait was ended by a restart."""
        self._silent_since = self._clock.now()
        self._on_start()
        try:
            with self._watch_interrupt:
                return self._store.watch(
                    self.kind, self._revision, _WATCH_MS, self._on_bytes
                )
        finally:
            self._silent_since = None
        return None

    def _on_bytes(self) -> None:
        self._silent_since = self._clock.now()
        self._outage_silent_ms = _OUTAGE_SILENT_MS
