"""Sentinel values that stand for an error and carry its reason."""

from __future__ import annotations

import dataclasses
import enum


class FailureKind(enum.Enum):
    """What is known about work that did not give its result."""

    NOT_RUN = 'not_run'
    """Nothing was begun; another try can't double anything."""

    OUTCOME_UNKNOWN = 'outcome_unknown'
    """It may have run; another try might double it."""

    UNAVAILABLE = 'unavailable'
    """The other side can't be reached, and nothing is known of the work."""

    CONFLICT = 'conflict'
    """Somebody else's change or another body stands in the way."""

    MISSING = 'missing'
    """The thing asked for does not exist."""

    INVALID = 'invalid'
    """What was given can't be accepted, now or later."""


@dataclasses.dataclass(frozen=True)
class Failure:
    """An error as a value; false, so that ``if not result`` finds it."""

    kind: FailureKind
    """What is known about the work."""

    reason: str
    """Short machine-readable cause, such as ``queue_full``."""

    detail: str = ''
    """The cause in words, for people."""

    retry_after_ms: int = 0
    """When another try may do better, in ms; 0 where none is known."""

    def __bool__(self) -> bool:
        return False


def not_run(reason: str, detail: str = '', retry_after_ms: int = 0) -> Failure:
    """Return a `Failure` for work of which nothing was begun."""
    return Failure(FailureKind.NOT_RUN, reason, detail, retry_after_ms)


def unknown(reason: str, detail: str = '', retry_after_ms: int = 0) -> Failure:
    """Return a `Failure` for work that may have run."""
    return Failure(FailureKind.OUTCOME_UNKNOWN, reason, detail, retry_after_ms)


def unavailable(reason: str, detail: str = '') -> Failure:
    """Return a `Failure` for a side that can't be reached."""
    return Failure(FailureKind.UNAVAILABLE, reason, detail)


def conflict(reason: str, detail: str = '') -> Failure:
    """Return a `Failure` for a change that lost against another."""
    return Failure(FailureKind.CONFLICT, reason, detail)


def missing(reason: str, detail: str = '') -> Failure:
    """Return a `Failure` for a thing that is not there."""
    return Failure(FailureKind.MISSING, reason, detail)


def invalid(reason: str, detail: str = '') -> Failure:
    """Return a `Failure` for input that can't be accepted."""
    return Failure(FailureKind.INVALID, reason, detail)
