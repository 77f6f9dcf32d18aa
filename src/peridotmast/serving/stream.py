"""One stream and its progress."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import green
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import placement
from peridotmast.serving import sender as sender_
from peridotmast.serving import standby as standby_
from peridotmast.wire import connection as connection_
from peridotmast.wire import event_reader
from peridotmast.wire import framing

END_UNKNOWN = 'end_unknown'
"""Reason of a failure of a stream that may be complete or not."""

NO_POSITION = 'no_position'
"""Reason why a stream whose events have no ids can't be resumed."""

_MIGRATION_WAIT_MS = 1500
"""Time limit for a migration to finish once its stream has stopped, in ms, if
the stream can also be resumed without it."""


@dataclasses.dataclass(frozen=True)
class MigratedRun:
    """Where a migrated run continues."""

    reservation: placement.Reservation
    kv_location: str
    """Location of the KV cache of the run."""


class Stream:
    """One stream and its progress."""

    def __init__(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        sent: sender_.Sent,
        clock: clock_.Clock,
    ) -> None:
        self.exchange = exchange
        self.service = service
        self.sent = sent
        """The attempt that currently supplies the events."""
        self._first_position = exchange.position
        self.reader = event_reader.EventReader(self._first_position)
        self.tried: set[str] = {sent.reservation.view.name}
        """Names of the upstreams chosen to run the stream from its prompt."""
        self.runs = 1
        """Number of attempts of the request that ran or may have run."""
        self.standby: ty.Optional[standby_.Standby] = None
        """Searches for another attempt while the current one is silent."""
        self.unreached: set[str] = set()
        """Names of upstreams and peers that could not be connected to when the
        stream was resumed."""
        self.hold = exchange.caller.begin_hold()
        """Counts the memory of what was received and not forwarded yet."""
        self.pending = bytearray()
        """Received events that were not forwarded yet."""
        self.ended = False
        """Whether the stream has ended, as far as the caller can see."""
        self.begun = sent.head
        """Head of the response as the caller receives it."""
        self.framing = sent.head.framing
        """What marks the end of the body for the caller."""
        self.is_answering = False
        """Whether the current attempt has sent a new event."""
        self._resumed_after: ty.Optional[int] = None
        """Id of the last event before the current attempt; None in the first
        attempt."""
        self._stated_end: ty.Optional[int] = None
        """Id of the last event at which an attempt has ended in order."""
        self.is_broken = False
        """Whether the stream was interrupted and could not be resumed."""
        self.heard_at = clock.now()
        """Time at which data of the current attempt was last received, or its
        head, in ms."""
        self._clock = clock
        self._first: ty.Optional[tuple[int, int]] = None
        self._gap_start: ty.Optional[tuple[int, int]] = None
        self._is_gap_taken = False
        self._migration: ty.Optional[ty.Any] = None

    def feed(self, data: bytes) -> ty.Optional[failures.Failure]:
        """Add received bytes; empty `data` marks the end of the body.

        Returns
        -------
        Failure or None
            Why the stream is not complete although the body has ended.
        """
        self.heard_at = self._clock.now()
        if not data:
            return self._end()
        last_id = self.reader.last_id
        self.pending += self.reader.feed(data)
        self.is_answering |= self.reader.last_id > last_id
        if self._first is None and self.reader.last_id >= 0:
            self._first = self._clock.now(), self.reader.last_id
        if self._gap_start is None and self.is_answering:
            self._gap_start = self._clock.now(), self.reader.last_id
        if self.reader.is_endless:
            return failures.unknown('too_long', 'bytes without an event')
        held_bytes = self.reader.buffered_bytes + len(self.pending)
        if not self.hold.resize(held_bytes):
            return failures.unknown(connection_.NO_MEMORY, 'events')
        return None

    def find_fault(self) -> ty.Optional[failures.Failure]:
        """Return why the bytes after the last event are not the next one.

        Events that came before them are passed on first.
        """
        fault = self.reader.fault
        return None if fault is None else failures.unknown(fault.value)

    def _end(self) -> ty.Optional[failures.Failure]:
        """End the stream, unless its last event shows that it broke off.

        A body that ends with its connection may lack further events. The
        caller is not to take it for complete with more certainty than this
        router can.
        """
        if self.reader.is_inside_event:
            return failures.unknown('cut_short', 'inside an event')
        if self._repeats_too_few():
            return failures.unknown('cut_short', 'before the position')
        if self._ends_unconfirmed():
            self._note_stated_end()
            return failures.unknown(END_UNKNOWN, 'no event follows')
        if self.sent.head.framing is framing.Framing.CONNECTION:
            if self._lacks_first_event():
                return failures.unknown('cut_short', 'before the first event')
            if self._migration is not None or not self._may_end_unknown():
                # An upstream closes the stream of a run that it moves.
                if self._migration is None:
                    self._stated_end = self.reader.last_id
                return failures.unknown(END_UNKNOWN)
        self.ended = True
        self.pending += self.reader.buffered
        return None

    def _lacks_first_event(self) -> bool:
        """Return whether no event came after the caller's position.

        Events without ids do not count. What goes on with a stream of another
        router is judged there.
        """
        last_id = self.reader.last_id
        is_taken_up = self.exchange.resumes is not None
        return last_id < 0 or is_taken_up and last_id == self._first_position

    def _repeats_too_few(self) -> bool:
        """Return whether an upstream began anew and ended before the position.

        Its stream is not the one that the caller takes up.
        """
        is_first = self._resumed_after is None
        position = self._first_position
        if not is_first or self.reader.last_id > position:
            return False
        return 0 <= self.reader.last_repeated_id < position

    def _note_stated_end(self) -> None:
        """Record that an attempt has brought nothing and stated its end.

        A close alone states nothing where nothing came.
        """
        if self.sent.head.framing is not framing.Framing.CONNECTION:
            self._stated_end = self.reader.last_id

    def _ends_unconfirmed(self) -> bool:
        """Return whether an attempt to resume may have ended too early.

        The attempt before it was interrupted, so that more events were to
        follow. One that brings none may have lost them. That none are left
        takes a second attempt that says so, or all tokens.
        """
        last_id = self.reader.last_id
        if self._resumed_after != last_id or self.has_all_tokens:
            return False
        return self._stated_end != last_id

    @property
    def has_all_tokens(self) -> bool:
        """Whether the events hold as many tokens as the request allows."""
        tokens = self.reader.last_id * self.service.event_tokens
        return 0 < self.exchange.prompt.tokens_out <= tokens

    @property
    def was_resumed(self) -> bool:
        """Whether an attempt other than the first has continued it."""
        return self._resumed_after is not None

    def _may_end_unknown(self) -> bool:
        """Return whether the response to the caller states no end."""
        is_by_connection = self.framing is framing.Framing.CONNECTION
        return is_by_connection and not self.exchange.needs_known_end

    def take_pending(self) -> bytes:
        """Return the pending events and clear them."""
        pending = bytes(self.pending)
        self.pending.clear()
        return pending

    def drop_events(self) -> None:
        """Release the memory of events that will not be forwarded.

        Its tasks may refer to a stream until the garbage collector runs.
        """
        self.pending.clear()
        self.reader.clear()
        self.hold.release()

    def take_gap_ms(self, min_events: int = 1) -> ty.Optional[float]:
        """Return the mean time between the events of this attempt, in ms.

        It is returned once for each attempt, and None before `min_events` have
        followed the first one.
        """
        if self._gap_start is None or self._is_gap_taken:
            return None
        started_at, first_id = self._gap_start
        event_count = self.reader.last_id - first_id
        if event_count < min_events:
            return None
        self._is_gap_taken = True
        return (self._clock.now() - started_at) / event_count

    def expected_end(self, now: int) -> ty.Optional[int]:
        """Return the estimated end of the stream, in ms; None if unknown.

        It is extrapolated from the mean time per event so far.
        """
        if self._first is None:
            return None
        first_at, first_id = self._first
        event_count = self.reader.last_id - first_id
        if event_count <= 0:
            return None
        ms_per_event = (now - first_at) / event_count
        events = self.exchange.prompt.tokens_out / self.service.event_tokens
        return int(now + max(0.0, events - self.reader.last_id) * ms_per_event)

    @property
    def last_event(self) -> ty.Optional[int]:
        """Id of the last event that the caller has received; None if none.

        For a request that a peer resumes, this includes the events that the
        caller has received from the peer.
        """
        last_id = self.reader.last_id
        return last_id if last_id >= 0 else None

    @property
    def has_position(self) -> bool:
        """Whether another upstream can be told where the stream continues.

        Otherwise it would send again what the caller has received.
        """
        has_id = self.reader.last_id > self._first_position
        return has_id or not self.reader.has_event

    def may_resume(self) -> bool:
        """Return whether the route allows a run at one more upstream."""
        route = self.exchange.route
        return route.resumable and self.runs < route.attempts

    def continue_from(self, sent: sender_.Sent) -> None:
        """Continue the stream from another attempt."""
        self.sent = sent
        self._resumed_after = self.reader.last_id
        self.heard_at = self._clock.now()
        self.is_answering = False
        self._gap_start = None
        self._is_gap_taken = False
        self.reader.restart()

    @property
    def is_migrating(self) -> bool:
        """Whether the run is being migrated."""
        return self._migration is not None and not self._migration.ready()

    def begin_migration(self) -> None:
        """Mark that the run is about to be stopped and migrated."""
        self._migration = green.Event()

    def end_migration(self, migrated: ty.Optional[MigratedRun]) -> None:
        """Store the result of the migration; None if it failed."""
        migration = self._migration
        if migration is None:
            # No task waits for the result any more: the stream was closed, or
            # the wait for the migration timed out.
            if migrated is not None:
                migrated.reservation.release()
            return
        if not migration.ready():
            migration.send(migrated)

    def wait_for_migration(self) -> ty.Optional[MigratedRun]:
        """Wait for the migration; return its result, None if there is none."""
        migration, migrated = self._migration, None
        if migration is None:
            return None
        wait_ms = max(0, self.exchange.deadline - self._clock.now())
        if self.may_resume():
            wait_ms = min(wait_ms, _MIGRATION_WAIT_MS)
        with green.Timeout(wait_ms / 1000, False):
            migrated = migration.wait()
        self._migration = None
        return migrated

    def drop_migration(self) -> None:
        """Abandon a migration because the stream is closed."""
        migration, self._migration = self._migration, None
        if migration is not None and migration.ready():
            migrated = migration.wait()
            if migrated is not None:
                migrated.reservation.release()
