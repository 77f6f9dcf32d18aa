"""Teams' limits in tokens, kept by all routers together."""

from __future__ import annotations

import dataclasses
import math
import typing as ty

from peridotmast import clock as clock_
from peridotmast.schema import peridotmast_pb2 as pb

_LONGEST_WAIT_MS = 10_000
"""What a caller is told at most: its team's others may use less by then."""

_LITTLE = 0.5
_SMALL = 1 / 8
_PART = 1.5
"""Below half of the burst, a request that is small against it waits until the
one before it has come in at one and a half times this router's part of the
rate. In a large fleet what the others let pass is known a second and a half
late: without this, all let pass what came as soon as a little was there again,
and a team that asked for 6 times its limit got up to 1.23 of it in the worst
8 s, now 1.03 (58 routers, without a network, requests of a fortieth of the
burst). Larger requests are few, and would be refused to teams that keep
within small limits."""

STARTUP_WAIT_MS = 1000
LARGE_FLEET_STARTUP_WAIT_MS = 2000
"""How long a router that starts waits to be told what is left: four rounds of
beacons, which are half as frequent in a large fleet. If nobody has told it by
then, nobody was there before it."""

_TELL_MS = 500
"""What a caller is told meanwhile: one round."""

_OWN_SHARE = 0.25
"""Part of its part that a router of a large fleet keeps to itself until it is
told what is left: enough for the smallest requests. The rest is its head's to
lend, to those of the group that are asked for more."""

_NEEDED_SHARE = 0.5
"""Part of a request's tokens that must be there for it to pass. With none, a
long request leaves a debt that holds up dozens of short ones; with all, short
ones keep the level below what a long one needs. Measured on days on which a
team asks for twice its limit: refused 87, 40 and 22 in 1,000 of all requests
at shares of 0, 0.5 and 1, and the worst-served kind best at 0.5."""


@dataclasses.dataclass
class _Bucket:
    """One team's tokens, as all routers together have them left."""

    rate: float
    """Tokens that come in a second."""
    burst: float
    """Most that gather."""
    level: float
    """Those left; below 0 where routers let too much pass at once."""
    at: int
    """Moment for which `level` holds, in ms."""
    owed: float
    """What is left of the last small request that passed here: it is paid
    back at the pace that is kept to where little is left of the whole."""
    is_sure: bool
    """Whether the level is what all routers together have left, as far as
    it can be: not while this router has started just now, and was not told."""
    full_at: int = 0
    """Last moment at which it was full, in ms."""
    lent: int = 0
    """Tokens that this router has lent as a head."""
    borrowed: int = 0
    """Tokens that it has let pass beside its own part, since lent to it."""
    is_used_up: bool = False
    """Whether a head had nothing left to lend."""

    def fill(self, now: int, share: float, routers: int) -> None:
        """Bring the level up to `now`, at a share of the rate."""
        gained = (now - self.at) / 1000 * self.rate
        self.level = min(self.burst, self.level + gained * share)
        if self.level >= self.burst:
            self.full_at = now
        self.owed = max(0.0, self.owed - gained * _PART / routers)
        self.at = now


class Quota:
    """A bucket a team, from which every router's requests are taken.

    Each router keeps the whole team's bucket: it takes its own requests out
    at once and those of the others as it hears of them. What was let pass
    meanwhile is made good by a level below zero, so the sum over time is
    exact and only its edge is late by a beacon. A router that hears only
    some of the others fills its buckets by their share: what it does not
    hear of may be spent as well. One that starts keeps to its part until it
    is told what is left, and goes on from the rest of its part where nobody
    tells it: with full buckets of their own, a third of 58 routers that
    started at once let a team pass a fifth more than its limit in 8 s.

    Parameters
    ----------
    clock : clock.Clock
        Times the buckets.
    """

    def __init__(self, clock: clock_.Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        self._spent: dict[str, int] = {}
        self._is_begun = False
        self._began = 0
        self.known_share = 1.0
        """Part of the fleet that this router hears, itself among it."""
        self.count_routers: ty.Callable[[], int] = lambda: 1
        """Returns how many routers there are, as far as this one knows."""
        self.startup_wait_ms = STARTUP_WAIT_MS
        """How long this router waits to be told what is left."""
        self.has_stale_peer_data: ty.Callable[[], bool] = lambda: False
        """Says whether it knows of the others' spends so late that each keeps
        to its part where little is left, and heads lend."""

    def configure(self, teams: ty.Iterable[pb.Team]) -> None:
        """Put the teams' limits into force."""
        now = self._clock.now()
        if not self._is_begun:
            self._is_begun, self._began = True, now
        buckets: dict[str, _Bucket] = {}
        for team in teams:
            if not team.rate:
                continue
            known = self._buckets.get(team.name)
            if known is None:
                known = _Bucket(
                    team.rate,
                    team.burst,
                    team.burst,
                    now,
                    0.0,
                    not self._is_new(),
                )
            known.fill(now, self.known_share, self.count_routers())
            known.rate, known.burst = team.rate, team.burst
            known.level = min(known.level, known.burst)
            buckets[team.name] = known
        self._buckets = buckets

    def take(self, team: str, tokens: int) -> int:
        """Let a request pass, or say how long to wait, in ms (0: passed).

        A request may take the level below zero, so that one which is larger
        than the burst can pass at all.
        """
        bucket = self._buckets.get(team)
        if bucket is not None:
            wait_ms = self._wait_ms(team, bucket, tokens)
            if wait_ms:
                return wait_ms
            bucket.level -= tokens
            if _is_small(bucket, tokens):
                bucket.owed = tokens
        self._spent[team] = self._spent.get(team, 0) + tokens
        return 0

    def is_level_known(self, team: str) -> bool:
        """Return whether what is left of a team's limit is known here."""
        bucket = self._buckets.get(team)
        return bucket is None or bucket.is_sure

    def lend(self, team: str, tokens: int, members: int) -> bool:
        """Let a member of this head's group pass a request, if it may.

        All that the heads lend and the members let pass of their own parts
        is together what the team may use.

        Parameters
        ----------
        members : int
            Routers in the group, this one too.
        """
        bucket = self._buckets.get(team)
        if bucket is None:
            return False
        if bucket.is_sure:
            bucket.fill(
                self._clock.now(), self.known_share, self.count_routers()
            )
            return bucket.level >= _needed(bucket, tokens)
        parts = members * (1 - _OWN_SHARE) * self._part(bucket)
        if parts - bucket.lent < _needed(bucket, tokens):
            bucket.is_used_up = True
            return False
        bucket.lent += tokens
        return True

    def take_borrowed(self, team: str, tokens: int) -> None:
        """Let a request pass for which tokens were lent."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.level -= tokens
            bucket.borrowed += tokens
        self._spent[team] = self._spent.get(team, 0) + tokens

    def note_lender_empty(self, team: str) -> None:
        """Take note that the head had nothing to lend of a team's limit."""
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.is_used_up = True

    def describe(self, team: str) -> str:
        """Return what a decision on a team's request goes by, in words."""
        bucket = self._buckets.get(team)
        if bucket is None:
            return f'{team} without a limit'
        return (
            f'{team} level {bucket.level:.0f} rate {bucket.rate:g}'
            f' burst {bucket.burst:g} share {self.known_share:.2f}'
            f'{"" if bucket.is_sure else " untold"}'
        )

    def refund(self, team: str, tokens: int) -> None:
        """Return the tokens of a request that did not run."""
        self._spent[team] = self._spent.get(team, 0) - tokens
        bucket = self._buckets.get(team)
        if bucket is not None:
            bucket.level = min(bucket.burst, bucket.level + tokens)
            bucket.owed = 0

    def spent(self) -> dict[str, int]:
        """Return what this router has let pass so far, by team."""
        return dict(self._spent)

    def subtract_peer_spends(self, spends: dict[str, int]) -> None:
        """Take what other routers have let pass out of the buckets."""
        now = self._clock.now()
        for team, tokens in spends.items():
            bucket = self._buckets.get(team)
            if bucket is not None:
                bucket.fill(now, self.known_share, self.count_routers())
                bucket.level = min(bucket.burst, bucket.level - tokens)

    def max_spends(self, share: float, since: int) -> dict[str, int]:
        """Return what part of the routers may have spent since a moment.

        That is their part of what came in and was not lost at full buckets:
        nothing was gained while they were full.
        """
        now = self._clock.now()
        found = {}
        for team, bucket in self._buckets.items():
            bucket.fill(now, self.known_share, self.count_routers())
            ms = now - max(since, bucket.full_at)
            found[team] = round(bucket.rate * share * max(0, ms) / 1000)
        return found

    def tick(self) -> None:
        """Wait no longer to be told, once the time for it is over."""
        if not self._is_new():
            for team, bucket in self._buckets.items():
                self._settle(team, bucket)

    def needs_levels(self) -> bool:
        """Return whether a peer is to tell this router what is left."""
        unsure = not all(b.is_sure for b in self._buckets.values())
        return unsure or not self._is_begun

    def levels(self) -> dict[str, int]:
        """Return what is left of each team's limit, where that is known."""
        now = self._clock.now()
        sure = {t: b for t, b in self._buckets.items() if b.is_sure}
        for bucket in sure.values():
            bucket.fill(now, self.known_share, self.count_routers())
        return {team: round(b.level) for team, b in sure.items()}

    def adopt_levels(self, levels: dict[str, int]) -> None:
        """Take over from a peer what is left.

        What this router has let pass before may be taken off there already,
        or not; that is its part at most, and is not taken off again.
        """
        now = self._clock.now()
        for team, tokens in levels.items():
            bucket = self._buckets.get(team)
            if bucket is not None and not bucket.is_sure:
                bucket.level, bucket.at = min(bucket.burst, tokens), now
                bucket.is_sure = True

    def _is_new(self) -> bool:
        """Return whether limits have come into force here just now."""
        return self._clock.now() - self._began < self.startup_wait_ms

    def _settle(self, team: str, bucket: _Bucket) -> None:
        """Go on from what is left by the own part: nobody was there before."""
        if bucket.is_sure:
            return
        bucket.is_sure = True
        if bucket.is_used_up:
            bucket.level = min(bucket.level, 0.0)
        elif not self.has_stale_peer_data():
            # The others have let pass as much as this one, as far as it can
            # tell: most of what they count is on its way.
            part = self._part(bucket) - self._spent.get(team, 0)
            left = max(-bucket.burst, part * self.count_routers())
            bucket.level = min(bucket.level, left)

    def _part(self, bucket: _Bucket) -> float:
        """Return what this router may let pass before it is told."""
        ms = min(self.startup_wait_ms, self._clock.now() - self._began)
        return (bucket.burst + bucket.rate * ms / 1000) / self.count_routers()

    def _wait_ms(self, team: str, bucket: _Bucket, tokens: int) -> int:
        """Return how long a request has to wait, in ms; 0 if not at all."""
        self.tick()
        bucket.fill(self._clock.now(), self.known_share, self.count_routers())
        needed = _needed(bucket, tokens)
        if bucket.level < needed:
            return self._gathering_ms(bucket, needed)
        if bucket.is_sure:
            return self._pause_ms(bucket, tokens)
        share = _OWN_SHARE if self.has_stale_peer_data() else 1.0
        own = self._spent.get(team, 0) - bucket.borrowed
        left = share * self._part(bucket) - own
        return 0 if left >= needed else _TELL_MS

    def _pause_ms(self, bucket: _Bucket, tokens: int) -> int:
        """Return how long to wait for the own part where little is left."""
        little = bucket.level < _LITTLE * bucket.burst
        if not (
            self.has_stale_peer_data() and little and _is_small(bucket, tokens)
        ):
            return 0
        part = bucket.rate * _PART / self.count_routers()
        wait = math.ceil(bucket.owed / part * 1000)
        return min(_LONGEST_WAIT_MS, wait)

    def _gathering_ms(self, bucket: _Bucket, needed: float) -> int:
        """Return how long the tokens that are needed take to gather."""
        rate = bucket.rate * self.known_share
        if rate <= 0:
            return _LONGEST_WAIT_MS
        wait = math.ceil((needed - bucket.level) / rate * 1000)
        return max(1, min(_LONGEST_WAIT_MS, wait))


def _needed(bucket: _Bucket, tokens: int) -> float:
    """Return how many tokens must be there for a request to pass."""
    return max(1, _NEEDED_SHARE * min(tokens, bucket.burst))


def _is_small(bucket: _Bucket, tokens: int) -> bool:
    """Return whether a request is small against its team's limit."""
    return tokens <= _SMALL * bucket.burst
