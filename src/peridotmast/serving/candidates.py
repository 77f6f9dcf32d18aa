"""Upstreams of a service that a router considers for a request."""

from __future__ import annotations

import bisect
import functools
import hashlib
import heapq
import typing as ty

from peridotmast.serving import upstream_view

SUBSET_SIZE = 128
"""Number of upstreams over which a router spreads its requests. With 5,700
upstreams and 330 routers, each upstream is in the subsets of seven routers on
average, and in none with a probability of 1 in 1,800. A placement takes 0.3 ms
instead of 17 ms with all upstreams (`peridotmast-load slopes`)."""

_PROBES = 24
"""Number of points at which a prefix is looked up on the hash ring. With one
probe, the busiest upstream would be the home of several times as many prefixes
as the average upstream; with 24 probes, it is the home of about 1.1 times as
many (multi-probe consistent hashing, Appleton and O'Reilly, 2015)."""

_POINT_BYTES = 8
_RING_SIZE = 1 << (8 * _POINT_BYTES)

_CACHED_HASHES = 1 << 14
"""Number of cached hashes: two for each of 5,700 upstreams."""


class Candidates:
    """The live upstreams of one service, as candidates for one router.

    Prompts with the same prefix have the same home upstream on every router,
    without any communication between routers. Upstreams are placed on a hash
    ring by the hash of the name of their run. The home of a prefix is the
    upstream that follows one of the probe points of the prefix at the shortest
    distance. When an upstream starts or leaves, only the prefixes that gain or
    lose this upstream as their home are affected.

    Parameters
    ----------
    router : str
        Name of the router, which determines its subset.
    views : sequence of UpstreamView
        All live upstreams of the service.
    """

    def __init__(
        self, router: str, views: ty.Sequence[upstream_view.UpstreamView]
    ) -> None:
        self.views = views
        """All live upstreams of the service."""
        self.subset = subset_of(router, views)
        """The upstreams over which the router spreads its requests."""
        ring = sorted((_hash(v.run), v.name, v) for v in views)
        self._points = [point for point, _, _ in ring]
        self._ring = [view for _, _, view in ring]

    def ranked_homes(self, prefix: str) -> list[upstream_view.UpstreamView]:
        """Return the homes of a prompt prefix, in order of preference.

        An upstream serves as the home only while all upstreams before it in
        the list are unusable.

        Parameters
        ----------
        prefix : str
            Identifier of the prefix.
        """
        if not self._ring:
            return []
        found: dict[str, tuple[int, upstream_view.UpstreamView]] = {}
        for point in _probe_points(prefix):
            index = bisect.bisect_left(self._points, point)
            index %= len(self._points)
            view = self._ring[index]
            distance = (self._points[index] - point) % _RING_SIZE
            known = found.get(view.name)
            if known is None or distance < known[0]:
                found[view.name] = distance, view
        order = sorted(found.items(), key=lambda item: (item[1][0], item[0]))
        return [view for _, (_, view) in order]


def subset_of(
    router: str, views: ty.Sequence[upstream_view.UpstreamView]
) -> list[upstream_view.UpstreamView]:
    """Return the upstreams over which a router spreads its requests."""
    if len(views) <= SUBSET_SIZE:
        return list(views)
    return heapq.nsmallest(
        SUBSET_SIZE,
        views,
        key=lambda view: rank_hash(router, view),
    )


def rank_hash(router: str, view: upstream_view.UpstreamView) -> int:
    """Return the hash by which routers and upstreams select each other."""
    return _hash(f'{router}|{view.run}')


@functools.lru_cache(maxsize=_CACHED_HASHES)
def _hash(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=_POINT_BYTES).digest()
    return int.from_bytes(digest, 'big')


def _probe_points(prefix: str) -> ty.Iterator[int]:
    """Yield the points on the hash ring at which a prefix is looked up."""
    size = hashlib.blake2b.MAX_DIGEST_SIZE
    for index in range(_PROBES * _POINT_BYTES // size):
        digest = hashlib.blake2b(f'{prefix}|{index}'.encode()).digest()
        for start in range(0, size, _POINT_BYTES):
            yield int.from_bytes(digest[start : start + _POINT_BYTES], 'big')
