"""Persistence of blocked requests across a restart of all routers.

A request is blocked after it has crashed several upstreams.
"""

from __future__ import annotations

import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_tracker as crash_tracker_


class CrashBlocks:
    """Stores blocked requests with the lease and restores them from it.

    Routers hold the blocked requests only in memory, which is lost if all
    routers are killed at once.

    Parameters
    ----------
    crashes : crash_tracker.CrashTracker
        Holds the blocked requests.
    """

    def __init__(self, crashes: crash_tracker_.CrashTracker) -> None:
        self._crashes = crashes

    @property
    def state_version(self) -> int:
        """Incremented when the blocked requests or their retries change."""
        return self._crashes.changes

    def start(self, state: ty.Optional[pb.DutiesLeft]) -> None:
        """Restore the blocked requests that the previous holder has saved."""
        if state is not None:
            self._crashes.merge_updates(state.crash_suspects)

    def run(self, fencing: int) -> None:
        """Do nothing: this duty has no periodic work."""

    def save(self, state: pb.DutiesLeft) -> None:
        """Store the blocked requests for the next holder."""
        state.crash_suspects.extend(self._crashes.blocked_requests())

    def on_saved(self) -> None:
        """Do nothing: no decision depends on stored blocks."""
