"""Attempts whose callers left before their upstreams answered."""

from __future__ import annotations

import dataclasses

from peridotmast import clock as clock_
from peridotmast.serving import crash_keys
from peridotmast.serving import upstream_view

_RUN_MS = 2000
"""Time for which an upstream may still run an attempt after its connection was
closed, in ms. An answer to a request that was sent later shows that the
attempt has not crashed the upstream."""

_RETENTION_MS = 10_000
"""Time for which an attempt is kept, in ms. The store removes the entry of a
crashed upstream after a few missed heartbeats."""

_MAX_ATTEMPTS = 1024
"""Maximum number of attempts kept, about 200 bytes each."""


@dataclasses.dataclass(frozen=True)
class AbandonedAttempt:
    """One attempt that nobody waits for."""

    keys: crash_keys.CrashKeys
    view: upstream_view.UpstreamView
    sent_at: int
    """Time at which the request was sent, in ms."""
    abandoned_at: int
    """Time at which its connection was closed, in ms."""
    was_answering: bool
    """Whether the upstream had sent an event of the answer."""


class AbandonedAttempts:
    """Keeps attempts until it is known whether they crashed their upstreams.

    The connection of an attempt is closed when its caller leaves, so its end
    can't be observed there. It is inferred from the upstream: an answer to a
    later request shows that the upstream survived, and the loss of the
    upstream or of another connection to it suggests that it did not.

    Parameters
    ----------
    clock : clock.Clock
        Times the attempts.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._attempts: dict[str, list[AbandonedAttempt]] = {}
        """Attempts by run of an upstream, oldest first."""
        self._count = 0

    def __len__(self) -> int:
        """Return the number of attempts that are kept."""
        return self._count

    def add(
        self,
        keys: crash_keys.CrashKeys,
        view: upstream_view.UpstreamView,
        sent_at: int,
        was_answering: bool,
    ) -> None:
        """Keep an attempt; the oldest one of all leaves if there are many."""
        attempt = AbandonedAttempt(
            keys, view, sent_at, self._clock.now(), was_answering
        )
        self._attempts.setdefault(view.run, []).append(attempt)
        self._count += 1
        if self._count > _MAX_ATTEMPTS:
            oldest = min(
                self._attempts,
                key=lambda run: self._attempts[run][0].abandoned_at,
            )
            self._set(oldest, self._attempts[oldest][1:])

    def note_response(
        self, view: upstream_view.UpstreamView, sent_at: int
    ) -> None:
        """Drop the attempts that the upstream has survived.

        Parameters
        ----------
        sent_at : int
            Time at which the answered request was sent, in ms.
        """
        attempts = self._attempts.get(view.run)
        if attempts:
            cutoff = sent_at - _RUN_MS
            kept = [a for a in attempts if a.abandoned_at > cutoff]
            self._set(view.run, kept)

    def at(self, view: upstream_view.UpstreamView) -> list[AbandonedAttempt]:
        """Return the attempts that may have crashed a run of an upstream."""
        return list(self._attempts.get(view.run, ()))

    def take(self, view: upstream_view.UpstreamView) -> list[AbandonedAttempt]:
        """Return and drop the attempts at a run that has ended."""
        attempts = self.at(view)
        self._set(view.run, [])
        return attempts

    def tick(self) -> None:
        """Drop the attempts whose retention time has passed."""
        cutoff = self._clock.now() - _RETENTION_MS
        for run, attempts in list(self._attempts.items()):
            if attempts[0].abandoned_at < cutoff:
                kept = [a for a in attempts if a.abandoned_at >= cutoff]
                self._set(run, kept)

    def _set(self, run: str, attempts: list[AbandonedAttempt]) -> None:
        self._count += len(attempts) - len(self._attempts.get(run, ()))
        if attempts:
            self._attempts[run] = attempts
        else:
            self._attempts.pop(run, None)
