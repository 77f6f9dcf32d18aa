"""A request or a part of prompts that may have crashed upstreams."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import ids
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import crash_keys
from peridotmast.serving import part_clearances

BLOCK_THRESHOLD = 3
"""Number of crashes at which a request or a part is blocked."""

_MIN_PART_LOSSES = 2
"""Number of losses, of one or more upstreams each, from which a part may be
blocked. Requests with one part run at many upstreams at the same time, so they
may crash several before the first crash is known."""

_SIMULTANEOUS_MS = 250
"""Upstreams that are lost within this time after the first one, in ms, count
as one loss if the request was sent to all of them before the first loss:
they were lost together, not one after another because of the request."""

_DOMAIN_LOSS_MS = 3000
"""Upstreams of one failure domain that are lost within this time after the
first one, in ms, count as one loss for a part. Connections to VMs without
power are closed by keep-alive probes, at different times, and a part may be in
requests to all of them."""

NEVER = part_clearances.NEVER


class Crash(ty.NamedTuple):
    """Loss of an upstream while it ran a request."""

    at: int
    """Time at which the connection broke, in ms."""
    sent_at: int
    """Time at which the request was sent to the upstream, in ms."""
    was_answering: bool = False
    """Whether the upstream had sent an event of the answer; of several
    requests with one part, of each answer."""
    failure_domain: str = ''
    """Failure domain of the upstream."""

    @classmethod
    def from_message(cls, message: pb.Crash, now: int) -> Crash:
        """Return the crash that another router reports."""
        at = now - message.ago_ms
        return cls(
            at,
            at - message.ran_ms,
            message.was_answering,
            message.failure_domain,
        )

    def merged(self, other: Crash) -> Crash:
        """Return the crash of a run that was reported twice.

        The earlier time is closer to the actual crash.
        """
        return Crash(
            min(self.at, other.at),
            min(self.sent_at, other.sent_at),
            self.was_answering and other.was_answering,
            self.failure_domain or other.failure_domain,
        )


CrashesByRun = dict[str, Crash]
"""Crashes of a request or a part by run of an upstream."""


@dataclasses.dataclass
class Suspect:
    """A request or a part of prompts that may have crashed upstreams."""

    key: ids.Fingerprint
    crashes: CrashesByRun = dataclasses.field(default_factory=dict)
    answered_at: int = NEVER
    """Time of the last complete answer, in ms."""
    retries: int = 0
    """Number of times that a request was sent while blocked."""
    seen_at: int = NEVER
    """Time of the last crash or refusal, in ms."""
    changed_at: int = NEVER
    """Time of the last change that peers must learn of, in ms."""
    is_blocked: bool = False
    """Whether the last evaluation of its crashes blocked it."""

    @property
    def is_part(self) -> bool:
        """Whether this is a part of prompts, not a request."""
        return crash_keys.is_part(self.key)

    @property
    def last_crash_at(self) -> int:
        """Time of the last crash, in ms; `NEVER` without any."""
        return max((c.at for c in self.crashes.values()), default=NEVER)

    @property
    def urgency(self) -> tuple[bool, bool, bool]:
        """How important it is that peers know of the suspect; higher first."""
        is_answered = all(c.was_answering for c in self.crashes.values())
        return self.is_blocked, len(self.crashes) > 1, not is_answered

    def to_message(self, now: int) -> pb.CrashSuspect:
        """Return the message to peers about the suspect."""
        message = pb.CrashSuspect(
            fingerprint=self.key,
            crashes=[
                pb.Crash(
                    run=run,
                    ago_ms=now - crash.at,
                    ran_ms=crash.at - crash.sent_at,
                    was_answering=crash.was_answering,
                    failure_domain=crash.failure_domain,
                )
                for run, crash in self.crashes.items()
            ],
            retries=self.retries,
            idle_ms=now - self.seen_at,
        )
        if self.answered_at != NEVER:
            message.answered_ago_ms = now - self.answered_at
        return message

    def is_answered_after(self, crash: Crash, answered_at: int) -> bool:
        """Return whether an answer at `answered_at` discounts a crash.

        An answer with a part discounts later crashes too, for a while: other
        requests run at the upstreams that one of them crashes.
        """
        margin = part_clearances.CLEARED_MS if self.is_part else 0
        return crash.at < answered_at + margin

    def has_enough(self, crashes: CrashesByRun) -> bool:
        """Return whether `crashes` suffice to block this suspect."""
        if len(crashes) < BLOCK_THRESHOLD:
            return False
        losses = self.count_losses(crashes)
        return losses >= (
            _MIN_PART_LOSSES if self.is_part else BLOCK_THRESHOLD
        )

    def count_losses(self, crashes: CrashesByRun) -> int:
        """Return the number of crashes, counting simultaneous ones once."""
        count, first_at = 0, NEVER
        domains: dict[str, int] = {}
        for crash in sorted(crashes.values()):
            is_near = crash.at - first_at <= _SIMULTANEOUS_MS
            if is_near and crash.sent_at < first_at:
                continue
            domain_at = domains.get(crash.failure_domain, NEVER)
            in_domain = crash.at - domain_at <= _DOMAIN_LOSS_MS
            if self.is_part and crash.failure_domain and in_domain:
                continue
            count, first_at = count + 1, crash.at
            domains[crash.failure_domain] = crash.at
        return count
