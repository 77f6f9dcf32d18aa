"""Interface of a duty that one router at a time carries out."""

from __future__ import annotations

import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb


class Duty(ty.Protocol):
    """Work of the lease holder, done in small steps at each tick."""

    @property
    def state_version(self) -> int:
        """Incremented at each state change that the next holder must know."""

    def start(self, state: ty.Optional[pb.DutiesLeft]) -> None:
        """Take over the duty.

        Parameters
        ----------
        state : DutiesLeft, optional
            State saved by the previous holder; None if this router itself
            held the lease last, so that it still has its own state.
        """

    def run(self, fencing: int) -> None:
        """Do the work that is due.

        Parameters
        ----------
        fencing : int
            Fencing number of the lease, sent with each call to the platform.
        """

    def save(self, state: pb.DutiesLeft) -> None:
        """Write the state that the next holder needs into `state`."""

    def on_saved(self) -> None:
        """Record that the state last written by `save` is stored."""
