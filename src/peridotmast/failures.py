"""Errors as return values, each with a reason and a kind."""

from __future__ import annotations

import dataclasses
import enum


class FailureKind(enum.Enum):
    """What is known about an operation that returned no result."""

    NOT_RUN = 'not_run'
    """The operation did not start; a retry can't execute it twice."""

    OUTCOME_UNKNOWN = 'outcome_unknown'
    """The operation may have run; a retry might execute it twice."""

    UNAVAILABLE = 'unavailable'
    """The remote side can't be reached; whether the operation ran is not
    known."""

    CONFLICT = 'conflict'
    """A concurrent change, or a different body under the same id, prevents
    the operation."""

    MISSING = 'missing'
    """The requested object does not exist."""

    INVALID = 'invalid'
    """The input is invalid; a retry can't succeed."""


@dataclasses.dataclass(frozen=True)
class Failure:
    """An error as a value; falsy, so that ``if not result`` detects it."""

    kind: FailureKind
    """What is known about the operation."""

    reason: str
    """Short machine-readable cause, such as ``queue_full``."""

    detail: str = ''
    """Human-readable description of the cause."""

    retry_after_ms: int = 0
    """Time after which a retry may succeed, in ms; 0 if unknown."""

    def __bool__(self) -> bool:
        return False


def not_run(reason: str, detail: str = '', retry_after_ms: int = 0) -> Failure:
    """Return a `Failure` for an operation that did not start."""
    return Failure(FailureKind.NOT_RUN, reason, detail, retry_after_ms)


def unknown(reason: str, detail: str = '', retry_after_ms: int = 0) -> Failure:
    """Return a `Failure` for an operation that may have run."""
    return Failure(FailureKind.OUTCOME_UNKNOWN, reason, detail, retry_after_ms)


def unavailable(reason: str, detail: str = '') -> Failure:
    """Return a `Failure` for a remote side that can't be reached."""
    return Failure(FailureKind.UNAVAILABLE, reason, detail)


def conflict(reason: str, detail: str = '') -> Failure:
    """Return a `Failure` for a change that conflicts with another one."""
    return Failure(FailureKind.CONFLICT, reason, detail)


def missing(reason: str, detail: str = '') -> Failure:
    """Return a `Failure` for an object that does not exist."""
    return Failure(FailureKind.MISSING, reason, detail)


def invalid(reason: str, detail: str = '') -> Failure:
    """Return a `Failure` for invalid input."""
    return Failure(FailureKind.INVALID, reason, detail)
