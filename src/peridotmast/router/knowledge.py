"""What routers spread among themselves, and how each part is merged."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import bucket_digest
from peridotmast.coordination import config_feed as config_feed_
from peridotmast.coordination import membership as membership_
from peridotmast.router import once as once_
from peridotmast.router import upstreams as upstreams_
from peridotmast.schema import peridotmast_pb2 as pb


class RouterKnowledge:
    """Members, upstreams, the configuration's version and the claim epoch.

    Parameters
    ----------
    fetch_config : callable
        Called with a peer's address that has a newer configuration; an
        empty address means that the platform must be asked.
    """

    def __init__(
        self,
        members: membership_.Membership,
        table: upstreams_.UpstreamTable,
        feed: config_feed_.ConfigFeed,
        guard: once_.OnceGuard,
        fetch_config: ty.Callable[[str], None],
    ) -> None:
        self._members = members
        self._table = table
        self._feed = feed
        self._guard = guard
        self._fetch_config = fetch_config

    def merge(self, rumor: pb.Rumor, sender: str) -> bool:
        """Take a rumor in; say whether it was news."""
        news = False
        if rumor.HasField('member'):
            news = self._members.merge(rumor.member)
        if rumor.HasField('upstream'):
            news = self._table.merge(rumor.upstream) or news
        if rumor.claim_epoch:
            news = self._guard.learn_epoch(rumor.claim_epoch) or news
        if rumor.config_version > self._feed.version:
            self._fetch_config(sender)
            news = True
        return news

    def parts(self) -> list[int]:
        """Return a digest of each bucket of members and upstreams."""
        pairs = zip(self._members.digest.parts, self._table.digest.parts)
        return [members ^ upstreams for members, upstreams in pairs]

    def in_buckets(self, buckets: ty.Collection[int]) -> list[pb.Rumor]:
        """Return all that is known in the named buckets, and the versions."""
        members = [
            pb.Rumor(member=member)
            for member in self._members.all()
            if bucket_digest.bucket_of(member.name) in buckets
        ]
        records = [
            pb.Rumor(upstream=view.record)
            for view in self._table.all()
            if bucket_digest.bucket_of(view.name) in buckets
        ]
        return [*members, *records, self.versions()]

    def versions(self) -> pb.Rumor:
        """Return the version of the configuration and the epoch."""
        return pb.Rumor(
            config_version=self._feed.version, claim_epoch=self._guard.epoch
        )

    def digest(self) -> bytes:
        """Return a value that is equal where knowledge is."""
        mixed = self._members.digest.total() ^ self._table.digest.total()
        versions = self._feed.version * 1_000_003 + self._guard.epoch
        mixed ^= versions * 0x9E3779B97F4A7C15
        return (mixed & 0xFFFFFFFFFFFFFFFF).to_bytes(8, 'big')
