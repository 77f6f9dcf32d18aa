"""Token limits of teams, enforced jointly by all routers."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import token_bucket
from peridotmast.serving import tolerance as tolerance_

STARTUP_WAIT_MS = 1000
LARGE_FLEET_STARTUP_WAIT_MS = 2000
"""Time for which a starting router waits for a peer to report the levels of
the token buckets, in ms: four beacon intervals, which are twice as long in a
large fleet. If no peer has reported any level by then, the router assumes that
no other router was running before."""

_STARTUP_RETRY_MS = 500
"""Retry time given to callers while a starting router waits for the levels, in
ms: one beacon interval."""

_UNLENT_SHARE = 0.25
"""Fraction of its part of a team's limit that a router of a large fleet may
spend until it knows the level of the bucket: enough for the smallest requests.
The head of its group lends the rest to the members that receive more
requests."""

UNCONFIRMED_RETRY_MS = 250
"""Retry time given to callers while peers do not know what this router has
admitted, in ms: one beacon interval."""

_UNASKED_LEVEL = 0.5
"""Fraction of the burst that must be left for a member whose head does not
answer to admit a request. All members together may admit one request each,
which a team over its limit must not add to what the heads admit."""

_REPORT_SHARE = 0.5
"""Fraction of its part that a router admits before it reports to its peers
without waiting for the next round."""


class Loan(ty.NamedTuple):
    """Decision of a group's head on a request of a member."""

    wait_ms: int
    """0 if the member may admit the request, else how long to wait, in ms."""
    is_counted: bool
    """Whether the head has counted the request's tokens."""


class Quota:
    """Token buckets of the teams, each for the requests of all routers.

    Each router keeps a bucket for the whole limit of each team. It subtracts
    its own requests at once, and the requests of other routers when it
    receives their beacons. Requests admitted in between make the level
    negative, so that the total over time is exact and only delayed by one
    beacon. A router that receives beacons from only a fraction of the fleet
    fills its buckets at this fraction of the rate, as the other routers may
    spend the rest.

    What a router admits while the others do not know of it is limited to its
    part of what is left. In a fleet with groups the heads share the limit in
    this way. Each head decides on the requests of its members and counts them
    as its own, so that no member's part is smaller than a request.

    A starting router spends no more than its own part of a limit until a peer
    reports the levels; if no peer does, the router continues with the
    remainder of its part. A run that may follow another one counts the burst
    as spent until then, as the spending of the earlier run may be unknown.
    When routers started with full buckets instead, a third of 58 routers that
    were started at once admitted a fifth more than a team's limit in 8 s.

    Parameters
    ----------
    clock : clock.Clock
        Times the buckets.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, token_bucket.TokenBucket] = {}
        self._spent: dict[str, int] = {}
        self._is_started = False
        self._started_at = 0
        self.is_first_run: ty.Callable[[], bool] = lambda: False
        """Returns whether no earlier run of any router can have spent
        anything."""
        self.known_share = 1.0
        """Fraction of the routers in the fleet whose beacons this router
        receives, counting itself."""
        self.count_routers: ty.Callable[[], int] = lambda: 1
        """Returns the number of routers known to this one."""
        self.startup_wait_ms = STARTUP_WAIT_MS
        """Time for which this router waits after its start for a peer to
        report the levels, in ms."""
        self.has_stale_peer_data: ty.Callable[[], bool] = lambda: False
        """Returns whether the fleet has groups, whose heads relay reports.
        If so, starting routers borrow tokens from their heads."""
        self.follows_head: ty.Callable[[], bool] = lambda: False
        """Returns whether the head of this router's group decides on its
        requests once the levels are known."""
        self.even_share: ty.Callable[[], float] = lambda: (
            1 / self.count_routers()
        )
        """Returns the share of the fleet for which this router decides."""

        self.tolerance = tolerance_.Tolerance()
        """How far what runs for a team may exceed its limit."""
        self.request_confirmation: ty.Callable[[], None] = lambda: None
        """Called when peers should soon know what this router admitted."""
        self.oldest_confirmation: ty.Callable[[], tuple[int, str]] = lambda: (
            self._clock.now(),
            '',
        )
        """Returns up to which time all live peers have received this router's
        counts, in ms, and the name of the peer that lags most; empty if
        there is none."""

    def configure(self, teams: ty.Iterable[pb.Team]) -> None:
        """Apply the limits of the teams."""
        now = self._clock.now()
        if not self._is_started:
            self._is_started, self._started_at = True, now
        buckets: dict[str, token_bucket.TokenBucket] = {}
        for team in teams:
            if not team.rate:
                continue
            known = self._buckets.get(team.name)
            if known is None:
                known = token_bucket.TokenBucket(
                    team.rate,
                    team.burst,
                    team.burst,
                    now,
                    not self._is_starting(),
                )
            known.fill(now, self.known_share)
            known.rate, known.burst = team.rate, team.burst
            known.level = min(known.level, known.burst)
            buckets[team.name] = known
        self._buckets = buckets

    def take(self, team: str, tokens: int, stands_in: bool = False) -> int:
        """Admit a request and return 0, or return how long to wait, in ms.

        A request may make the level negative, so that one that is larger than
        the burst can be admitted.

        Parameters
        ----------
        stands_in : bool
            Whether this router decides in place of the head of its group.
        """
        bucket = self._buckets.get(team)
        if bucket is not None:
            wait_ms = self._wait_ms(team, bucket, tokens, stands_in)
            if wait_ms:
                return wait_ms
            bucket.level -= tokens
            bucket.spending.add(self._clock.now(), tokens)
            if not self.follows_head():
                self._report_if_due(bucket, 0)
        self._spent[team] = self._spent.get(team, 0) + tokens
        return 0

    def is_level_known(self, team: str) -> bool:
        """Return whether the level of a team's bucket is known."""
        bucket = self._buckets.get(team)
        return bucket is None or bucket.is_known

    def needs_head(self, team: str) -> bool:
        """Return whether the head of the group decides on a team's requests.

        A team without a limit needs no decision.
        """
        bucket = self._buckets.get(team)
        return bucket is not None and bucket.is_known and self.follows_head()

    def refill_ms(self, team: str, tokens: int) -> int:
        """Return the time until enough is left for a request, in ms.

        0 if enough is left as far as this router knows.
        """
        bucket = self._buckets.get(team)
        if bucket is None:
            return 0
        bucket.fill(self._clock.now(), self.known_share)
        needed = bucket.tokens_needed(tokens)
        if bucket.level >= needed:
            return 0
        return bucket.refill_ms(needed, self.known_share)

    def lacks_confirmation(self, team: str, tokens: int) -> bool:
        """Return whether a request is refused only for want of confirmations.

        The bucket holds enough for it, but peers don't know yet what this
        router has admitted before it.
        """
        bucket = self._buckets.get(team)
        if bucket is None or not bucket.is_known:
            return False
        needed = bucket.tokens_needed(tokens)
        return bucket.level >= needed and self._exceeds_part(bucket, needed)

    def lend(
        self, team: str, tokens: int, members: int, stands_in: bool = False
    ) -> Loan:
        """Decide on a request of a member of this head's group.

        Once the level is known, the request is decided like one of this
        router, and counted here. Before, the tokens that all heads lend and
        the tokens that each router may spend without borrowing add up to the
        limit of the team, and the member counts its request.

        Parameters
        ----------
        members : int
            Number of routers in the group, including this one.
        stands_in : bool
            Whether the head of the group does not answer, so that this router
            decides in its place.
        """
        bucket = self._buckets.get(team)
        if bucket is None:
            # The configuration in force here has no limit for the team.
            return Loan(0, False)
        if bucket.is_known:
            return Loan(self.take(team, tokens, stands_in), True)
        needed = bucket.tokens_needed(tokens)
        lendable = members * (1 - _UNLENT_SHARE) * self._own_part(bucket)
        if lendable - bucket.lent < needed:
            bucket.is_lending_exhausted = True
            return Loan(_STARTUP_RETRY_MS, False)
        bucket.lent += tokens
        return Loan(0, False)

    def take_borrowed(self, team: str, tokens: int) -> None:
        """Admit a request with tokens that the head has lent."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.level -= tokens
            bucket.borrowed += tokens
        self._spent[team] = self._spent.get(team, 0) + tokens

    def note_lending_exhausted(self, team: str) -> None:
        """Record that the head had too few tokens to lend for a team."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.is_lending_exhausted = True

    def describe(self, team: str) -> str:
        """Return a description of a team's bucket, for error messages."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return f'{team}: no limit'
        at, peer = self.oldest_confirmation()
        reports = f', reports {self._clock.now() - at} ms old ({peer})'
        return (
            f'{team}: level {bucket.level:.0f}, share {self.known_share:.2f}'
            f'{reports if peer else ""}, rate {bucket.rate:g},'
            f' burst {bucket.burst:g}'
            f'{"" if bucket.is_known else ", level unconfirmed"}'
        )

    def refund(self, team: str, tokens: int) -> None:
        """Refund the tokens of a request that did not run."""
        self._spent[team] = self._spent.get(team, 0) - tokens
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.level = min(bucket.burst, bucket.level + tokens)
            # The head of the group may have counted the request.
            own = tokens
            if self.follows_head():
                own = max(0, min(tokens, bucket.spending.tokens))
            if own:
                bucket.spending.add(self._clock.now(), -own)

    def spent(self) -> dict[str, int]:
        """Return the total tokens spent by this router, by team."""
        return dict(self._spent)

    def unconfirmed_spends(self) -> dict[str, int]:
        """Return the total tokens spent by this router, by team.

        Only the teams of whose recent spending some peer may not know.
        """
        return {
            team: self._spent.get(team, 0)
            for team, bucket in self._buckets.items()
            if bucket.spending.tokens
        }

    def subtract_peer_spends(self, spends: dict[str, int]) -> None:
        """Subtract tokens spent by other routers from the buckets."""
        now = self._clock.now()
        for team, tokens in spends.items():
            bucket = self._buckets.get(team)
            if bucket is not None:
                bucket.fill(now, self.known_share)
                bucket.level = min(bucket.burst, bucket.level - tokens)
                bucket.spending.add_peers(now, tokens)

    def max_spends(self, share: float, since: int) -> dict[str, int]:
        """Return the most tokens that some of the routers may have spent.

        By team: the same fraction of the tokens that its bucket has gained
        since a time. A full bucket gains no tokens.

        Parameters
        ----------
        share : float
            These routers as a fraction of the fleet, from 0 to 1.
        since : int
            Time from which the gained tokens count, in ms.
        """
        now = self._clock.now()
        found = {}
        for team, bucket in self._buckets.items():
            bucket.fill(now, self.known_share)
            ms = now - max(since, bucket.full_at)
            found[team] = round(bucket.rate * share * max(0, ms) / 1000)
        return found

    def tick(self) -> None:
        """Estimate unknown levels once the wait for peers has timed out."""
        if not self._is_starting():
            for team, bucket in self._buckets.items():
                self._estimate_level(team, bucket)

    def needs_levels(self) -> bool:
        """Return whether peers should report the levels to this router."""
        is_any_unknown = not all(b.is_known for b in self._buckets.values())
        return is_any_unknown or not self._is_started

    def levels(self) -> dict[str, int]:
        """Return the levels of the teams, where they are known."""
        now = self._clock.now()
        known_buckets = {t: b for t, b in self._buckets.items() if b.is_known}
        for bucket in known_buckets.values():
            bucket.fill(now, self.known_share)
        return {team: round(b.level) for team, b in known_buckets.items()}

    def level_and_burst(self) -> dict[str, tuple[float, float]]:
        """Return the level and the burst of each team with a limit."""
        now = self._clock.now()
        for bucket in self._buckets.values():
            bucket.fill(now, self.known_share)
        return {t: (b.level, b.burst) for t, b in self._buckets.items()}

    def adopt_levels(self, levels: dict[str, int]) -> None:
        """Set unknown levels to those that a peer reports.

        The peer may or may not have subtracted the tokens already spent by
        this router. They amount to at most this router's part of the limit,
        and are not subtracted again.
        """
        now = self._clock.now()
        for team, tokens in levels.items():
            bucket = self._buckets.get(team)
            if bucket is not None and not bucket.is_known:
                bucket.level, bucket.at = min(bucket.burst, tokens), now
                bucket.is_known = True

    def _is_starting(self) -> bool:
        """Return whether this router still waits for peers after its start."""
        return self._clock.now() - self._started_at < self.startup_wait_ms

    def _estimate_level(
        self, team: str, bucket: token_bucket.TokenBucket
    ) -> None:
        """Estimate the level from this router's own spending.

        If no peer has reported the level, no other router was running before
        this one started.
        """
        if bucket.is_known:
            return
        bucket.is_known = True
        if bucket.is_lending_exhausted:
            bucket.level = min(bucket.level, 0.0)
        elif not self.has_stale_peer_data():
            # Most of the spending of other routers is not known yet; it is
            # assumed to equal that of this router.
            own_part = self._own_part(bucket) - self._spent.get(team, 0)
            remaining = max(-bucket.burst, own_part * self.count_routers())
            bucket.level = min(bucket.level, remaining)

    def _own_part(self, bucket: token_bucket.TokenBucket) -> float:
        """Return this router's part of a limit while it waits for peers.

        The burst is part of it only if no earlier run can have spent it.
        """
        ms = min(self.startup_wait_ms, self._clock.now() - self._started_at)
        unspent = bucket.burst if self.is_first_run() else 0
        return (unspent + bucket.rate * ms / 1000) / self.count_routers()

    def _wait_ms(
        self,
        team: str,
        bucket: token_bucket.TokenBucket,
        tokens: int,
        stands_in: bool,
    ) -> int:
        """Return how long a request must wait, in ms; 0 if it is admitted."""
        self.tick()
        bucket.fill(self._clock.now(), self.known_share)
        needed = bucket.tokens_needed(tokens)
        if bucket.level < needed:
            return bucket.refill_ms(needed, self.known_share)
        if bucket.is_known:
            if self._exceeds_part(bucket, needed, stands_in):
                return UNCONFIRMED_RETRY_MS
            return 0
        share = _UNLENT_SHARE if self.has_stale_peer_data() else 1.0
        own = self._spent.get(team, 0) - bucket.borrowed
        remaining = share * self._own_part(bucket) - own
        return 0 if remaining >= needed else _STARTUP_RETRY_MS

    def _exceeds_part(
        self,
        bucket: token_bucket.TokenBucket,
        needed: float,
        stands_in: bool = False,
    ) -> bool:
        """Return whether too much was admitted here that peers don't know of.

        The parts of all routers that decide add up to what is left and the
        tolerance. A router of which its peers know all may admit any request.
        """
        confirmed_at, _ = self.oldest_confirmation()
        spending = bucket.spending
        spending.confirm(self._clock.now(), confirmed_at)
        if self.follows_head() and not stands_in:
            # Without an answer of its head, a member has no part.
            is_low = bucket.level < _UNASKED_LEVEL * bucket.burst
            return is_low or spending.tokens > 0
        if spending.tokens <= 0:
            return False
        self._report_if_due(bucket, needed)
        return spending.tokens + needed > self._part(bucket)

    def _report_if_due(
        self, bucket: token_bucket.TokenBucket, needed: float
    ) -> None:
        """Request a report to peers if `_REPORT_SHARE` of the part is used."""
        if not bucket.is_known:
            return
        used = bucket.spending.tokens + needed
        if used > self._part(bucket) * _REPORT_SHARE:
            self.request_confirmation()

    def _part(self, bucket: token_bucket.TokenBucket) -> float:
        """Return how many tokens may be admitted without confirmation."""
        spending = bucket.spending
        usable = max(0.0, bucket.level + spending.tokens)
        usable += self.tolerance.usable(bucket.rate, bucket.burst)
        return usable * spending.share(self.even_share(), bucket.burst)
