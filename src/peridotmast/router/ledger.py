"""What this router knows of each request that it took on."""

from __future__ import annotations

import collections
import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast import green
from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb

ACCEPTED = pb.LEDGER_STATE_ACCEPTED
SENT = pb.LEDGER_STATE_SENT
DONE = pb.LEDGER_STATE_DONE
UNKNOWN = pb.LEDGER_STATE_UNKNOWN


@dataclasses.dataclass
class Entry:
    """One request, from acceptance until it is forgotten."""

    key: ids.RequestKey
    digest: bytes
    idempotent: bool
    max_tokens: int
    state: pb.LedgerState = ACCEPTED
    tokens: list[str] = dataclasses.field(default_factory=list)
    """Tokens of the answer so far, in order."""
    upstream: str = ''
    """Upstream that works on it, or did last."""
    target: str = ''
    """Upstream to which its KV cache was moved, until it went on there."""
    answer: str = ''
    """Body of a service's answer."""
    status: int = 0
    """Status of a service's answer."""
    attempts: int = 0
    """Upstreams that it was sent to so far."""
    frozen: bool = False
    """An upstream confirmed that it stopped where `tokens` ends."""
    moving: bool = False
    """Its KV cache is on the way to another upstream."""
    connections: int = 0
    """Connections of the caller that are open here."""
    call: ty.Any = None
    """The `call.Call` that it stands for, while it runs here."""
    handed_to: str = ''
    """Peer address that took the request over."""
    reader: ty.Any = None
    """The one of the caller's connections that reads the upstream."""
    progress_at: int = 0
    """When the reader last moved on, on the router's clock, in ms."""
    since: int = 0
    """When it was begun or ended, on the router's clock, in ms."""
    changed: ty.Any = dataclasses.field(default_factory=green.Event)
    """Sent, and replaced, when the state changes."""

    @property
    def ended(self) -> bool:
        """Whether nothing more will happen to it here."""
        return self.state in (DONE, UNKNOWN)

    def set_state(self, state: pb.LedgerState) -> None:
        """Change the state and wake who waits for it."""
        self.state = state
        changed, self.changed = self.changed, green.Event()
        changed.send()

    def message(self) -> pb.LedgerEntry:
        """Return the entry as a peer is told it."""
        return pb.LedgerEntry(
            key=self.key,
            digest=self.digest,
            state=self.state,
            tokens=self.tokens,
            upstream=self.target or self.upstream,
            answer=self.answer,
            idempotent=self.idempotent,
            status=self.status,
            max_tokens=self.max_tokens,
        )


class Ledger:
    """The entries of one router, bounded in number and age.

    Parameters
    ----------
    clock : clock.Clock
        Times how long ended entries are kept.
    keep_ms, limit : int
        Age and number up to which they are kept.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        keep_ms: int,
        limit: int,
        on_forget: ty.Callable[[str], None] = lambda key: None,
    ) -> None:
        self.on_forget = on_forget
        """Called with the key of each entry that is dropped by age."""
        self._clock = clock
        self._keep_ms = keep_ms
        self._limit = limit
        self._running: dict[ids.RequestKey, Entry] = {}
        self._ended: collections.OrderedDict[ids.RequestKey, Entry] = (
            collections.OrderedDict()
        )
        self.closed = False
        """Given up to a successor: nothing new may be begun from it."""

    def find(self, key: ids.RequestKey) -> ty.Optional[Entry]:
        """Return the entry of `key`, running or ended."""
        return self._running.get(key) or self._ended.get(key)

    def begin(
        self,
        key: ids.RequestKey,
        digest: bytes,
        idempotent: bool,
        max_tokens: int,
    ) -> Entry:
        """Return a new running entry; `key` must not be known."""
        entry = Entry(key, digest, idempotent, max_tokens)
        entry.since = self._clock.now()
        self._running[key] = entry
        return entry

    def take_over(self, message: pb.LedgerEntry) -> Entry:
        """Return the entry made from what a peer handed over."""
        key = ids.RequestKey(message.key)
        entry = Entry(
            key,
            message.digest,
            message.idempotent,
            message.max_tokens,
            message.state,
            list(message.tokens),
            message.upstream,
            answer=message.answer,
            status=message.status,
        )
        entry.since = self._clock.now()
        entry.attempts = 1 if message.upstream else 0
        if entry.ended:
            self._ended[key] = entry
        else:
            self._running[key] = entry
        return entry

    def end(self, entry: Entry, state: pb.LedgerState) -> None:
        """Mark `entry` as ended in `state` and keep it for repeats."""
        self._running.pop(entry.key, None)
        entry.since = self._clock.now()
        self._ended[entry.key] = entry
        entry.set_state(state)
        self._trim()

    def give_up(self, entry: Entry) -> None:
        """Stop working on an entry that has no answer.

        What may be run again is forgotten, so that a repeat runs it.
        """
        if entry.idempotent or entry.state == ACCEPTED:
            self.drop(entry)
        else:
            self.end(entry, UNKNOWN)

    def drop(self, entry: Entry) -> None:
        """Forget an entry that a repeat may begin anew."""
        self._running.pop(entry.key, None)
        entry.set_state(entry.state)

    def abandoned(self, older_than_ms: int) -> list[Entry]:
        """Return running entries whose caller has long been away."""
        limit = self._clock.now() - older_than_ms
        return [
            entry
            for entry in self._running.values()
            if not entry.connections
            and entry.since < limit
            and entry.max_tokens
        ]

    def running(self) -> list[Entry]:
        """Return the entries that are not ended."""
        return list(self._running.values())

    def messages(self) -> list[pb.LedgerEntry]:
        """Return every entry as a peer is told it."""
        entries = [*self._running.values(), *self._ended.values()]
        return [entry.message() for entry in entries]

    def __len__(self) -> int:
        return len(self._running) + len(self._ended)

    def _trim(self) -> None:
        oldest = self._clock.now() - self._keep_ms
        while self._ended:
            entry = next(iter(self._ended.values()))
            if len(self._ended) <= self._limit and entry.since > oldest:
                return
            del self._ended[entry.key]
            if not entry.idempotent:
                self.on_forget(entry.key)
