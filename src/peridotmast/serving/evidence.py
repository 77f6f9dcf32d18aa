"""Outcomes of requests by version, while a service is rolled out."""

from __future__ import annotations

import math
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

BUCKETS = 32
"""Number of buckets of a histogram."""

_BUCKETS_PER_OCTAVE = 2

_WORK_TOKENS = 1000
"""Number of prompt tokens whose prefill takes about as long as the rest of the
work before a first event."""

_MIN_WINDOW_MS = 1000
_MAX_WINDOWS = 16
"""Minimum length of a time window, and maximum number of windows up to the
time limit of an order: a report then fits into a few datagrams."""

_Key = tuple[int, str, str]
"""Time window, route and upstream; the upstream is empty for the versions
that are not rolled out."""


class Evidence:
    """Counts the outcomes of one service's requests since an order.

    Parameters
    ----------
    started_at : int
        Time of the order, in ms.
    window_ms : int
        Length of the time windows, in ms.
    """

    def __init__(self, started_at: int, window_ms: int) -> None:
        self._started_at = started_at
        self._window_ms = max(1, window_ms)
        self._cells: dict[_Key, pb.EvidenceCell] = {}

    def note_end(
        self, route: str, upstream: str, sent_at: int, failed: bool
    ) -> None:
        """Count an attempt that has ended.

        Parameters
        ----------
        upstream : str
            Name of the upstream if it has the target version, else empty.
        sent_at : int
            Time at which the request was sent, in ms.
        """
        cell = self._cell(route, upstream, sent_at)
        cell.ended += 1
        cell.failed += failed

    def note_first(
        self,
        route: str,
        upstream: str,
        sent_at: int,
        took_ms: float,
        tokens: int,
    ) -> None:
        """Count the time to the first event of an answer.

        Parameters
        ----------
        tokens : int
            Number of prompt tokens that had to be prefilled.
        """
        relative = took_ms / (1 + max(0, tokens) / _WORK_TOKENS)
        self._cell(route, upstream, sent_at).first[bucket(relative)] += 1

    def note_gap(
        self, route: str, upstream: str, sent_at: int, gap_ms: float
    ) -> None:
        """Count the mean time between two events of an answer."""
        self._cell(route, upstream, sent_at).gaps[bucket(gap_ms)] += 1

    def cells(self) -> list[pb.EvidenceCell]:
        """Return the counts, those of the latest window first."""
        return sorted(self._cells.values(), key=lambda cell: -cell.window)

    def _cell(
        self, route: str, upstream: str, sent_at: int
    ) -> pb.EvidenceCell:
        window = (sent_at - self._started_at) // self._window_ms
        key = window, route, upstream
        cell = self._cells.get(key)
        if cell is None:
            cell = pb.EvidenceCell(
                window=window, route=route, upstream=upstream
            )
            self._cells[key] = cell
        return cell


class AttemptObserver(ty.Protocol):
    """Receives the outcomes of attempts at upstreams."""

    def note_end(
        self, route: str, view: ty.Any, sent_at: int, failed: bool
    ) -> None:
        """Record that an attempt has ended."""

    def note_first(
        self,
        route: str,
        view: ty.Any,
        sent_at: int,
        took_ms: float,
        tokens: int,
    ) -> None:
        """Record the time to the first event of an answer."""

    def note_gap(
        self, route: str, view: ty.Any, sent_at: int, gap_ms: float
    ) -> None:
        """Record the mean time between two events of an answer."""


def bucket(value: float) -> int:
    """Return the logarithmic bucket of a time in ms."""
    index = int(_BUCKETS_PER_OCTAVE * math.log2(max(1.0, value)))
    return min(BUCKETS - 1, index)


def buckets_for(factor: float) -> int:
    """Return the distance in buckets between a value and its multiple."""
    return math.ceil(_BUCKETS_PER_OCTAVE * math.log2(factor))


def window_ms_for(duration_ms: int) -> int:
    """Return the length of a time window for the duration of a roll-out."""
    return max(_MIN_WINDOW_MS, duration_ms // _MAX_WINDOWS)
