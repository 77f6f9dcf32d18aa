"""Which of a service's live upstreams a router looks at for a request."""

from __future__ import annotations

import bisect
import functools
import hashlib
import heapq
import typing as ty

from peridotmast.serving import upstream_view

SUBSET_SIZE = 128
"""Upstreams that a router spreads its requests over. Of 5,700, each is then
near to seven routers of 330, and to none with a chance of 1 in 1,800; a
placement takes 0.3 ms, against 17 ms if it looked at all of them
(`peridotmast-load slopes`)."""

_PROBES = 24
"""Points at which a prompt is looked up. With one, the busiest upstream would
be home to several times as many prompts as the mean; with this many, to about
1.1 times (multi-probe consistent hashing, Appleton and O'Reilly, 2015)."""

_POINT_BYTES = 8
_CIRCLE = 1 << (8 * _POINT_BYTES)

_RANKS_KEPT = 1 << 14
"""Hashes of names that are kept: two for each of 5,700 upstreams."""


class Candidates:
    """The live upstreams of one service, in the order one router asks them.

    Prompts that begin alike have one home each, the same at every router
    without asking: upstreams lie on a circle by the hash of their run, and
    a prompt's home is the one that follows most closely on one of its points.
    When an upstream comes or goes, only the prompts at home there move.

    Parameters
    ----------
    router : str
        Name of the router; each has other ones near to it.
    views : sequence of UpstreamView
        All live upstreams of the service.
    """

    def __init__(
        self, router: str, views: ty.Sequence[upstream_view.UpstreamView]
    ) -> None:
        self.views = views
        """All of them."""
        self.subset = list(views)
        """Those that the router spreads its requests over."""
        if len(views) > SUBSET_SIZE:
            self.subset = heapq.nsmallest(
                SUBSET_SIZE,
                views,
                key=lambda view: _rank(f'{router}|{view.run}'),
            )
        circle = sorted((_rank(v.run), v.name, v) for v in views)
        self._points = [point for point, _, _ in circle]
        self._circle = [view for _, _, view in circle]

    def homes(self, part: str) -> list[upstream_view.UpstreamView]:
        """Return the upstreams that are to hold a part of prompts, best first.

        The second one is its home while the first can't be used.
        """
        if not self._circle:
            return []
        found: dict[str, tuple[int, upstream_view.UpstreamView]] = {}
        for point in _probes(part):
            index = bisect.bisect_left(self._points, point)
            index %= len(self._points)
            view = self._circle[index]
            distance = (self._points[index] - point) % _CIRCLE
            known = found.get(view.name)
            if known is None or distance < known[0]:
                found[view.name] = distance, view
        order = sorted(found.items(), key=lambda item: (item[1][0], item[0]))
        return [view for _, (_, view) in order]


@functools.lru_cache(maxsize=_RANKS_KEPT)
def _rank(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=_POINT_BYTES).digest()
    return int.from_bytes(digest, 'big')


def _probes(part: str) -> ty.Iterator[int]:
    """Yield the points at which a part of prompts is looked up."""
    size = hashlib.blake2b.MAX_DIGEST_SIZE
    for turn in range(_PROBES * _POINT_BYTES // size):
        digest = hashlib.blake2b(f'{part}|{turn}'.encode()).digest()
        for start in range(0, size, _POINT_BYTES):
            yield int.from_bytes(digest[start : start + _POINT_BYTES], 'big')
