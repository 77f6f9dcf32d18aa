"""Sharing out the requests that a version on trial may get."""

from __future__ import annotations

USED_SHARE = 0.8
"""Share of the bound that is given out. The rest covers requests that reach a
target without an allowance, such as streams that are moved to it."""

RouterRun = tuple[str, int]
"""Name and incarnation of a router."""


class ExposureLedger:
    """Gives out allowances that add up to no more than a bound.

    Each run of a router has an allowance: the number of requests that it may
    send to the target since the order. At all times::

        requests at the target <= sum of all allowances
                               <= ceiling
                               <= USED_SHARE * (share * reported + slack)

    `reported` is the number of requests to the service that routers have
    reported, which never exceeds their actual number. An allowance is never
    taken back, whether or not its router has used it, is alive or can be
    reached.

    The ceiling is stored with the lease of the duties before any allowance is
    given out under it. The next holder begins with the stored ceiling and
    counts all of it as given out, so that the sum also holds for allowances
    that it does not know of, and for those that a holder without a lease still
    gives out.

    Parameters
    ----------
    share : float
        Share of the service's requests that the target may get.
    slack : int
        Requests that it may get in addition.
    ceiling : int, optional
        The ceiling that the previous holder has stored.
    """

    def __init__(self, share: float, slack: int, ceiling: int = 0) -> None:
        self._share = share
        self._slack = slack
        self._given = ceiling
        self._allowances: dict[RouterRun, int] = {}
        self._written = ceiling
        self._stored = ceiling
        self.ceiling = ceiling
        """Maximum of the sum of all allowances, once it is stored."""

    @property
    def given(self) -> int:
        """Upper bound of the sum of all allowances."""
        return self._given

    @property
    def available(self) -> int:
        """Number of requests that may be given out now."""
        return self._stored - self._given

    def bound(self, reported: int) -> int:
        """Return how many requests the target may get.

        Parameters
        ----------
        reported : int
            Requests to the service that routers have reported.
        """
        return int(self._share * reported + self._slack)

    def raise_ceiling(self, wanted: int, reported: int) -> bool:
        """Raise the ceiling as far as the bound permits.

        Parameters
        ----------
        wanted : int
            Requests that are to be available.

        Returns
        -------
        bool
            Whether the ceiling has changed and must be stored.
        """
        limit = int(USED_SHARE * self.bound(reported))
        ceiling = min(limit, self._given + wanted)
        if ceiling <= self.ceiling:
            return False
        self.ceiling = ceiling
        return True

    def write(self) -> int:
        """Return the ceiling that is about to be stored."""
        self._written = self.ceiling
        return self._written

    def confirm(self) -> None:
        """Record that the ceiling last written has been stored."""
        self._stored = max(self._stored, self._written)

    def report(self, run: RouterRun, allowance: int) -> None:
        """Record the allowance that a router has reported.

        It was given out by this holder, or under the ceiling of an earlier
        one.
        """
        known = self._allowances.get(run, 0)
        self._allowances[run] = max(known, allowance)

    def allowance(self, run: RouterRun) -> int:
        """Return the allowance of a router that has reported."""
        return self._allowances.get(run, 0)

    def give(self, run: RouterRun, count: int) -> int:
        """Raise the allowance of a router that has reported.

        Returns
        -------
        int
            By how much it was raised, at most `count`.
        """
        given = max(0, min(count, self.available))
        if run not in self._allowances:
            return 0
        self._allowances[run] += given
        self._given += given
        return given
