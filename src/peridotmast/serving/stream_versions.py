"""Software versions at which streams began, for callers that take them up."""

from __future__ import annotations

import dataclasses
import hashlib
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import decisions as decisions_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving import version_history

UNKNOWN = 'version_unknown'
"""Reason of the refusal of a stream of which no router knows the version."""

_RETRY_MS = 50
"""Retry time of such a stream, in ms: another router may know its version."""

_MARGIN_MS = 1000
"""Time by which routers may learn later than others that a version ended, in
ms."""

_MAX_RECORDS = 20_000
"""Maximum number of records: a minute of the streams that 64 routers of a
large fleet begin, with copies. The oldest ones are dropped first."""

_KEY_BYTES = 8

Versions = frozenset[ids.SoftwareVersion]
Answers = list[pb.VersionAnswer]
Enough = ty.Callable[[Answers], bool]
"""Returns whether the answers so far suffice, though others may follow."""


@dataclasses.dataclass(frozen=True)
class Replies:
    """What other routers have answered on a stream."""

    answers: Answers
    is_complete: bool
    """Whether all that were asked have answered, and all routers are live."""


@dataclasses.dataclass
class Record:
    """The versions at which a stream is known to have begun."""

    versions: Versions
    """More than one if callers have used an id for several streams."""
    expires_at: int
    """Time until which the stream may be taken up, in ms."""
    service: str = ''
    """Service of a stream that this router serves or has served; empty for
    the copy of another router's record."""
    copied_to: set[ids.Owner] = dataclasses.field(default_factory=set)
    """Runs of routers that were sent a copy."""


@dataclasses.dataclass(frozen=True)
class _FormerLimit:
    """A time limit of routes that was lowered."""

    ms: int
    ends_at: int
    """Time until which streams that began under it may be taken up, in ms."""


class StreamVersions:
    """Keeps the version of each stream for as long as it may be taken up.

    A stream is known by its service, its team and the request id of the
    attempt that brought its first event. Copies are sent to other routers
    before that event leaves this one, so that they outlive it.

    Parameters
    ----------
    clock : clock.Clock
        Times the records.
    history : version_history.VersionHistory
        Knows the versions of each service.
    metrics : metrics.ServingMetrics
        Counts the streams that callers take up.
    decisions : decisions.Decisions
        Records where the version of such a stream came from.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        history: version_history.VersionHistory,
        metrics: metrics_.ServingMetrics,
        decisions: decisions_.Decisions,
    ) -> None:
        self._clock = clock
        self._history = history
        self._metrics = metrics
        self._decisions = decisions
        self._records: dict[int, Record] = {}
        self._longest_window_ms = 0
        self._time_limit_ms = 0
        self._former_limits: list[_FormerLimit] = []
        self.share: ty.Callable[[int, Record], None] = lambda key, rec: None
        """Sends copies of a record to other routers."""
        self.ask: ty.Callable[
            [pb.VersionAsk, Enough], ty.Optional[Replies]
        ] = lambda ask, is_enough: Replies([], is_complete=True)
        """Asks other routers; returns None if there are some and none of them
        has answered."""
        self.is_current: ty.Callable[[], bool] = lambda: False
        """Returns whether all upstreams that were in the store at the time of
        the call are known here; it may ask the store."""
        self.is_store_lost: ty.Callable[[], bool] = lambda: False
        """Returns whether new versions may be unknown here, because the store
        does not answer."""

    def __len__(self) -> int:
        return len(self._records)

    def configure(self, routes: ty.Iterable[pb.Route]) -> None:
        """Take the longest time limit of any route from a configuration.

        Callers state no time limit of their own for all their tries. That of
        their route may have been lowered since they began, so that one route
        alone is no bound.
        """
        now, former_ms = self._clock.now(), self._time_limit_ms
        limits = [route.timeout_ms for route in routes]
        self._time_limit_ms = max(limits, default=0)
        if former_ms > self._time_limit_ms:
            # Streams that began before may be taken up for as long.
            former = _FormerLimit(former_ms, now + former_ms + _MARGIN_MS)
            self._former_limits.append(former)
        self._former_limits = [
            limit for limit in self._former_limits if limit.ends_at > now
        ]

    def begin(
        self,
        exchange: exchange_.Exchange,
        service: str,
        version: ids.SoftwareVersion,
    ) -> None:
        """Record the version of a stream whose first event has arrived.

        A stream that a caller takes up is recorded again under the id that
        began it, as its routers may have been lost.
        """
        request_id = exchange.resumes or exchange.id
        if not version or not request_id or not exchange.route.resumable:
            return
        key = _key(service, exchange.team, request_id)
        window_ms = self._window_ms(exchange.route)
        self._longest_window_ms = max(self._longest_window_ms, window_ms)
        record = self._merge(key, frozenset((version,)), window_ms)
        record.service = service
        if self._may_differ(service, window_ms):
            self.share(key, record)

    def find(
        self, exchange: exchange_.Exchange, service: str
    ) -> ty.Union[ids.SoftwareVersion, failures.Failure]:
        """Return the version of a stream that a caller takes up.

        Where one version alone has served for as long as a stream may last,
        it is that one. The version is never guessed.

        Returns
        -------
        SoftwareVersion or Failure
            A failure of kind NOT_RUN if no router knows the version.
        """
        began_at = self._clock.now()
        versions, source, answers = self._find(exchange, service)
        known = next(iter(versions)) if len(versions) == 1 else None
        self._decisions.note(
            exchange.id,
            'stream_taken_up',
            resumes=(exchange.resumes or '')[:_MAX_LOGGED_CHARS],
            service=service,
            version=known,
            source=source,
            answers=answers,
            ms=self._clock.now() - began_at,
        )
        self._metrics.taken_up.labels(service, source).inc()
        if known is None:
            return failures.not_run(UNKNOWN, source, _RETRY_MS)
        return known

    def receive(self, copies: ty.Iterable[pb.StreamVersion]) -> None:
        """Keep copies of other routers' records."""
        for copy in copies:
            versions = frozenset(map(ids.SoftwareVersion, copy.versions))
            self._merge(copy.key, versions, copy.left_ms)

    def answer(self, ask: pb.VersionAsk) -> pb.VersionAnswer:
        """Return what this router knows of a stream."""
        record = self._valid(ask.key)
        return pb.VersionAnswer(
            number=ask.number,
            versions=sorted(record.versions) if record else (),
            served=sorted(self._history.within(ask.service, ask.window_ms)),
            observed_ms=self._history.observed_ms(ask.service),
            store_lost=self.is_store_lost(),
        )

    def own_records(self) -> list[tuple[int, Record]]:
        """Return the own records of which other routers need copies."""
        now = self._clock.now()
        services = {rec.service for rec in self._records.values()} - {''}
        differing = {
            service
            for service in services
            if self._may_differ(service, self._longest_window_ms)
        }
        return [
            (key, record)
            for key, record in self._records.items()
            if record.service in differing and record.expires_at > now
        ]

    def copy_of(self, key: int, record: Record) -> pb.StreamVersion:
        """Return the copy of a record for another router."""
        return pb.StreamVersion(
            key=key,
            versions=sorted(record.versions),
            left_ms=max(0, record.expires_at - self._clock.now()),
        )

    def tick(self) -> None:
        """Drop the records of streams that may not be taken up any more."""
        for service in self._history.services():
            served = self._history.within(service, self._longest_window_ms)
            self._metrics.versions.labels(service).set(len(served))
        now = self._clock.now()
        self._records = {
            key: record
            for key, record in self._records.items()
            if record.expires_at > now
        }

    def _find(
        self, exchange: exchange_.Exchange, service: str
    ) -> tuple[Versions, str, int]:
        """Return the possible versions, who knows them, and the answers."""
        key = _key(service, exchange.team, exchange.resumes or '')
        record = self._valid(key) if exchange.resumes else None
        if record is not None:
            return record.versions, 'own', 0
        window_ms = self._window_ms(exchange.route)

        replies = self.ask(
            pb.VersionAsk(key=key, service=service, window_ms=window_ms),
            lambda answers: any(answer.versions for answer in answers),
        )
        if replies is None:
            return frozenset(), 'no_answer', 0
        answers = replies.answers
        found = _union(answer.versions for answer in answers)
        if found and exchange.resumes:
            return found, 'peer', len(answers)
        versions, source = self._served(service, window_ms, answers)
        if len(versions) == 1 and not replies.is_complete:
            # The routers that are silent may know of another version.
            if not self.is_current():
                return frozenset(), 'unconfirmed', len(answers)
            versions, source = self._served(service, window_ms, answers)
        return versions, source, len(answers)

    def _served(
        self, service: str, window_ms: int, answers: Answers
    ) -> tuple[Versions, str]:
        """Return the versions that have served, and what that rests on."""
        observed_ms = self._history.observed_ms(service)
        observed_ms = max([observed_ms, *(a.observed_ms for a in answers)])
        if observed_ms < window_ms:
            return frozenset(), 'started'
        if self.is_store_lost() and all(a.store_lost for a in answers):
            return frozenset(), 'store_lost'
        served = self._history.within(service, window_ms)
        served |= _union(answer.served for answer in answers)
        return served, 'alone' if len(served) == 1 else 'several'

    def _window_ms(self, route: pb.Route) -> int:
        """Return for how long a stream may be taken up after its begin."""
        now = self._clock.now()
        former = (f.ms for f in self._former_limits if f.ends_at > now)
        longest = max(route.timeout_ms, self._time_limit_ms, *former, 0)
        return longest + _MARGIN_MS

    def _may_differ(self, service: str, window_ms: int) -> bool:
        """Return whether a stream may have begun at several versions."""
        if self._history.observed_ms(service) < window_ms:
            return True
        return len(self._history.within(service, window_ms)) > 1

    def _merge(self, key: int, versions: Versions, left_ms: int) -> Record:
        expires_at = self._clock.now() + left_ms
        # The newest records are at the end.
        known = self._records.pop(key, None)
        if known is None or known.expires_at <= self._clock.now():
            known = Record(versions, expires_at)
        known.versions |= versions
        known.expires_at = max(known.expires_at, expires_at)
        self._records[key] = known
        while len(self._records) > _MAX_RECORDS:
            del self._records[next(iter(self._records))]
        return known

    def _valid(self, key: int) -> ty.Optional[Record]:
        record = self._records.get(key)
        if record is None or record.expires_at <= self._clock.now():
            return None
        return record


_MAX_LOGGED_CHARS = 64


def _union(found: ty.Iterable[ty.Iterable[str]]) -> Versions:
    return frozenset(
        ids.SoftwareVersion(version) for names in found for version in names
    )


def _key(service: str, team: str, request_id: str) -> int:
    """Return the key of a stream; ids of callers may be of any length."""
    text = '\0'.join((service, team, request_id))
    digest = hashlib.blake2b(
        text.encode('utf-8', 'surrogateescape'), digest_size=_KEY_BYTES
    ).digest()
    return int.from_bytes(digest, 'big')
