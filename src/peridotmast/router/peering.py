"""What routers know of each other: beacons out and in, and what follows."""

from __future__ import annotations

import itertools
import random
import typing as ty

from peridotmast import clock as clock_
from peridotmast.coordination import beacons as beacons_
from peridotmast.coordination import gaps as gaps_
from peridotmast.coordination import groups as groups_
from peridotmast.coordination import lease as lease_
from peridotmast.coordination import members as members_
from peridotmast.coordination import outage_word
from peridotmast import logs
from peridotmast.router import borrowing as borrowing_
from peridotmast.router import catch_up as catch_up_
from peridotmast.router import knowledge as knowledge_
from peridotmast.router import news as news_
from peridotmast.router import serving as serving_
from peridotmast.router import sharing as sharing_
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import quota as quota_
from peridotmast.serving import upstream_view

_GROUP_ROUNDS = 2
"""Rounds of which a large fleet uses one: each thing is told on three times
there, so that totals are as late as a second and a half; at every round they
would be half as late and cost twice as many bytes."""

_GROUP_SILENT_MS = 2000
"""Silence after which a group's work counts no more, and another head may be
followed: four of its beacons."""

_LOOK_MS = 500
"""Time for which the groups are not looked at anew: a round."""

_LED_MS = 1500
"""How long a head does not say of anybody that it is not there: three rounds,
in which it hears its members and the other heads."""

_CHANGED_MS = 3000
_CHANGED_MOST = 64
"""How long changed entries are told of, and how many at most: as often as
a beacon may be lost on its way over two heads."""

_ASKED_LEVELS_MS = 1200
"""How long a peer's word holds that it was not told yet what is left of the
teams' limits: two rounds of a large fleet."""

_FLEET = 'fleet'
"""The way by which a member hears of all others."""


class _Role(ty.NamedTuple):
    """By which way a router hears of the others' counts."""

    split: bool
    """Whether there are groups."""
    leads: bool
    """Whether it is the head of its own."""
    groups: int


class Peering:
    """Joins the state that routers share to the parts that keep it.

    Parameters
    ----------
    clock : clock.Clock
        Times silences and words of outages.
    knowledge : knowledge.Knowledge
        What is known from the store, and of the members.
    serving : serving.Serving
        What is counted on the way of requests.
    sharing : sharing.Sharing
        What routers count together.
    lease : lease.Lease
        The lease on the duties.
    catch_up : catch_up.CatchUp
        Asks peers that are ahead.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        knowledge: knowledge_.Knowledge,
        serving: serving_.Serving,
        sharing: sharing_.Sharing,
        lease: lease_.Lease,
        catch_up: catch_up_.CatchUp,
    ) -> None:
        self._clock = clock
        self._knowledge = knowledge
        self._members = members = knowledge.members
        self._config = knowledge.config
        self._table = knowledge.table
        self._serving = serving
        self._lease = lease
        self._catch_up = catch_up
        self.news = news_.News(knowledge, catch_up)
        """What this router tells all others at once."""
        self._choice = random.Random(members.me.name)
        self._outages = outage_word.OutageWord(clock, knowledge.doubt_store)
        self._sharing = sharing
        self._groups = groups_.Groups(members)
        self.borrowing = borrowing_.Borrowing(
            members, serving.quota, self._look_if_split
        )
        """What heads lend of the teams' limits."""
        self._gaps = gaps_.Gaps(clock, serving.quota.worth)
        self._rounds = itertools.count()
        self._role = _Role(False, False, 1)
        self._leads_since = 0
        self._group_heard: dict[int, int] = {}
        self._untold: dict[str, int] = {}
        serving.quota.routers = serving.budget.routers = members.counted
        serving.quota.knows_late = self.knows_late
        self._followed = '', -_GROUP_SILENT_MS
        self._looked: tuple[ty.Optional[groups_.Look], int] = None, 0
        self._log = logs.get('peering', router=members.me.name)

    def due(self) -> beacons_.Round:
        """Return the beacons of a round, and the peers that each goes to.

        In a small fleet all tell all. In a large one members tell their head
        and the one after it, heads tell each other of their groups, and each
        of their members of all others: the messages of a router stay the
        same in number and size, however large the fleet is.
        """
        if not self._groups.is_split():
            return self._own_round(self._members.peers())
        if next(self._rounds) % _GROUP_ROUNDS:
            return []
        look = self._look()
        if look.leads:
            return self._head_round(look)
        return self._own_round(look.heads())

    def load_round(self, view: upstream_view.UpstreamView) -> beacons_.Round:
        """Return news of this router's work at an upstream, and for whom.

        In a large fleet there are too many to tell each other.
        """
        if self._groups.is_split():
            return []
        me = self._members.me
        news = pb.LoadNews(
            router=me.name,
            incarnation=me.incarnation,
            load=self._table.load_of(view),
        )
        return [(pb.Beacon(load_news=news), self._members.heard())]

    def take(self, beacon: pb.Beacon) -> None:
        """Take in a peer's beacon."""
        if beacon.HasField('load_news'):
            self._take_load(beacon.load_news)
            return
        if beacon.HasField('limit_ask'):
            self.borrowing.take_ask(beacon.limit_ask)
            return
        if beacon.HasField('limit_answer'):
            self.borrowing.take_answer(beacon.limit_answer)
            return
        member = beacon.member
        if not self._members.hear(member):
            return
        if beacon.lease.holder:
            self._lease.hear(beacon.lease)
        if beacon.news_only:
            self.news.take(beacon)
            return
        if beacon.HasField('other'):
            self._members.learn(beacon.other)
        for changed in beacon.changed:
            self._members.learn(changed)
        self._take_totals(beacon)
        if beacon.outage_felt:
            self._outages.hear(member.name, beacon.HasField('own'))
        if beacon.untold:
            self._untold[member.name] = self._clock.now()
        else:
            self._untold.pop(member.name, None)
        if beacon.levels:
            self._serving.quota.hear_levels(
                {level.team: level.tokens for level in beacon.levels}
            )
        self._catch_up.compare(beacon)

    def tick(self) -> None:
        """Take note of who has fallen silent."""
        self._members.tick()
        heard = self._members.heard()
        quota = self._serving.quota
        quota.share = (1 + len(heard)) / self._members.counted()
        quota.told_ms = (
            quota_.TOLD_LATE_MS if self.knows_late() else quota_.TOLD_MS
        )
        quota.tick()
        limit = self._clock.now() - _GROUP_SILENT_MS
        self._group_heard = {
            group: at for group, at in self._group_heard.items() if at >= limit
        }
        self._untold = {p: at for p, at in self._untold.items() if at >= limit}
        self._outages.forget(limit)
        look, split = self._look(), self._groups.is_split()
        if split:
            self._sharing.reckon(self._gaps.tick(self._shares(look)))
        self._sharing.forget(
            {p.member.name for p in self._members.peers()},
            look.members_heard()
            if split
            else {peer.member.name for peer in heard},
            self._group_heard,
            split and not look.leads,
        )

    def knows_late(self) -> bool:
        """Return whether others' work is known later than it lasts."""
        return self._groups.is_split()

    def is_outage_felt(self) -> bool:
        """Return whether what is missing may be missing due to an outage."""
        is_heard = self._outages.is_heard()
        return is_heard or self._knowledge.outage.is_felt()

    def _fill(self) -> pb.Beacon:
        """Return what every beacon says."""
        return pb.Beacon(
            member=self._members.me,
            config_version=self._config.routes.version,
            document_version=self._config.own.version,
            upstreams_revision=self._table.revision,
            wall_ms=self._clock.wall(),
            lease=self._lease.hint(),
            other=self._some_peer(),
            outage_felt=self._knowledge.outage.is_felt(),
            untold=self._serving.quota.is_untold(),
        )

    def _own_round(self, peers: list[members_.Peer]) -> beacons_.Round:
        """Yield what this router counts itself, for some peers."""
        beacon = self._fill()
        beacon.own.CopyFrom(self._sharing.own())
        yield from self._with_levels(beacon, peers)

    def _with_levels(
        self, beacon: pb.Beacon, peers: list[members_.Peer]
    ) -> beacons_.Round:
        """Yield a beacon; for those not told yet, with what is left."""
        limit = self._clock.now() - _ASKED_LEVELS_MS
        untold = [
            peer
            for peer in peers
            if self._untold.get(peer.member.name, limit) > limit
        ]
        if not untold:
            yield beacon, peers
            return
        yield beacon, [peer for peer in peers if peer not in untold]
        fuller = pb.Beacon()
        fuller.CopyFrom(beacon)
        fuller.levels.extend(
            pb.TeamLevel(team=team, tokens=tokens)
            for team, tokens in self._serving.quota.levels().items()
        )
        yield fuller, untold

    def _head_round(self, look: groups_.Look) -> beacons_.Round:
        """Yield what a head tells other heads, and each of its members."""
        heard = {peer.member.name for peer in self._members.heard()}
        members = [peer.member.name for peer in look.members()]
        base = self._fill()
        base.wall_ms = self._knowledge.fleet_clock.now()
        base.changed.extend(self._members.changed(_CHANGED_MS, _CHANGED_MOST))
        led_ms = self._clock.now() - self._leads_since
        base.others_alive = led_ms < _LED_MS
        lease = self._lease.known_holder()
        if lease is not None:
            base.lease.CopyFrom(lease)
        beacon = pb.Beacon()
        beacon.CopyFrom(base)
        beacon.group.CopyFrom(self._sharing.group())
        beacon.alive.extend(name for name in members if name in heard)
        beacon.outage_felt |= self._outages.is_heard_of_member()
        yield from self._with_levels(beacon, look.other_heads())
        base.alive.extend(heard)
        base.outage_felt = self.is_outage_felt()
        peers = {peer.member.name: peer for peer in look.members()}
        for name, totals in self._sharing.others(list(peers)):
            beacon = pb.Beacon()
            beacon.CopyFrom(base)
            beacon.others.CopyFrom(totals)
            yield from self._with_levels(beacon, [peers[name]])

    def _take_load(self, news: pb.LoadNews) -> None:
        peer = self._members.get(news.router)
        if peer is None or not peer.heard_at:
            return
        if news.incarnation == peer.member.incarnation:
            self._table.take_load(news.router, news.load)

    def _take_totals(self, beacon: pb.Beacon) -> None:
        """Take in what a peer counts, as far as it is the one to tell it."""
        name, run = beacon.member.name, beacon.member.incarnation
        clock = self._knowledge.fleet_clock
        split = self._groups.is_split()
        look = self._look()
        if beacon.HasField('own'):
            clock.hear(name, beacon.wall_ms)
            counted = not split or (look.leads and look.is_member(name))
            self._sharing.hear(name, run, beacon.own, counted)
        if beacon.HasField('group'):
            clock.hear(name, beacon.wall_ms)
            group = look.group_of(name)
            self._group_heard[group] = self._clock.now()
            told_of = () if beacon.others_alive else look.names_in(group)
            self._members.hear_some(beacon.alive, told_of)
            counted = split and look.leads
            self._sharing.hear_group(name, run, group, beacon.group, counted)
            if counted:
                self._close_gap(_source(group), (name, run), look)
        if beacon.HasField('others') and self._follows(name):
            told_of = self._members.names()
            if beacon.others_alive:
                told_of = ()
            self._members.hear_some(beacon.alive, told_of)
            counted = split and not look.leads
            if counted:
                clock.follow(beacon.wall_ms)
            self._sharing.follow(name, run, beacon.others, counted)
            if counted:
                self._close_gap(_FLEET, (name, run), look)

    def _close_gap(
        self, source: str, teller: tuple[str, int], look: groups_.Look
    ) -> None:
        """Take note that a source is told of."""
        share = self._shares(look).get(source, 0.0)
        self._sharing.reckon(self._gaps.hear(source, teller, share))

    def _shares(self, look: groups_.Look) -> dict[str, float]:
        """Return the parts of the fleet that others tell this router of.

        Only of those that count as there: what the others might spend comes
        off the limits already.
        """
        whole = self._members.counted()
        if not look.leads:
            return {_FLEET: len(self._members.heard()) / whole}
        return {
            _source(group): look.heard_in(group) / whole
            for group in range(look.count)
            if group != look.mine
        }

    def _follows(self, head: str) -> bool:
        """Return whether `head` is the one whose totals are gone by.

        For a moment two may think that they are; what both tell counts
        once. The one that this router takes for the head is followed at
        once, another one only in silence.
        """
        now = self._clock.now()
        followed, at = self._followed
        first = [peer.member.name for peer in self._look().heads()[:1]]
        known = head == followed or head in first
        if not known and now - at < _GROUP_SILENT_MS:
            return False
        self._followed = head, now
        return True

    def _look(self) -> groups_.Look:
        """Return the groups, as they were a moment ago at most."""
        now = self._clock.now()
        look, at = self._looked
        if look is None or now - at >= _LOOK_MS:
            look = self._groups.look()
            self._looked = look, now
            self._take_role(look)
        return look

    def _look_if_split(self) -> ty.Optional[groups_.Look]:
        return self._look() if self._groups.is_split() else None

    def _take_role(self, look: groups_.Look) -> None:
        """Take note of whether this router leads, and of how many groups.

        Each change of the way by which it hears of the others' counts could
        count some of them twice.
        """
        split = self._groups.is_split()
        role = _Role(split, split and look.leads, look.count if split else 1)
        known, self._role = self._role, role
        if role.leads and not known.leads:
            self._leads_since = self._clock.now()
        if role.leads or not split:
            self._knowledge.fleet_clock.lead()
        if role.groups != known.groups:
            everybody = not split
            self._sharing.regroup(
                lambda name: everybody or look.is_member(name)
            )
        if role != known:
            self._sharing.switch()
            self._gaps.begin(self._shares(look) if split else ())
            self._log.info(
                'role',
                groups=role.groups,
                group=look.mine if split else 0,
                leads=role.leads,
            )

    def _some_peer(self) -> ty.Optional[pb.Member]:
        heard = self._members.heard()
        return self._choice.choice(heard).member if heard else None


def _source(group: int) -> str:
    """Return the way by which a head hears of another group."""
    return f'group-{group}'
