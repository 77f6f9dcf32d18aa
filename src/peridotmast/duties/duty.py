"""A duty that one router at a time has."""

from __future__ import annotations

import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb


class Duty(ty.Protocol):
    """Work of the lease's holder, done a little at each tick."""

    @property
    def state_version(self) -> int:
        """Grows with each change that the next holder must know of."""

    def start(self, left: ty.Optional[pb.DutiesLeft]) -> None:
        """Take the duty on.

        Parameters
        ----------
        left : DutiesLeft, optional
            What the holder before has left; None where that was this run,
            and nobody has had the duties since.
        """

    def run(self, fencing: int) -> None:
        """Do what is due, with `fencing` on each order."""

    def save(self, left: pb.DutiesLeft) -> None:
        """Fill in what the next holder is to know."""
