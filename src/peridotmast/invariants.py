"""Invariants that the program checks at run time."""

from __future__ import annotations

import enum

import prometheus_client

from peridotmast import logs


class Invariant(enum.Enum):
    """A condition that must always hold."""

    EVENTS_GROW = 'events_grow'
    """Events of a stream are forwarded in order, without gaps or repeats."""

    NO_WORK_TO_LEAVING = 'no_work_to_leaving'
    """A leaving upstream receives no new requests."""

    ONE_RUN = 'one_run'
    """A non-idempotent request is retried only if it did not run."""

    CONFIG_GROWS = 'config_grows'
    """The version of the active configuration never decreases."""

    ONE_REPORT = 'one_report'
    """The counts of a usage window are written only once."""


class InvariantViolation(AssertionError):
    """An invariant does not hold; raised in tests only."""


class Invariants:
    """Checks invariants and counts violations; raises an error in tests.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry of the counter ``peridotmast_broken_promises_total``.
    fatal : bool
        Also raise `InvariantViolation` on a violation.
    """

    def __init__(
        self,
        registry: prometheus_client.CollectorRegistry,
        fatal: bool = False,
    ) -> None:
        self._fatal = fatal
        self._log = logs.get('invariants')
        self.violations = 0
        """Number of violations so far."""
        self._counter = prometheus_client.Counter(
            'peridotmast_broken_promises',
            'Promises found broken, each a fault of the program.',
            ['promise'],
            registry=registry,
        )
        for invariant in Invariant:
            self._counter.labels(invariant.value)

    def check(
        self, invariant: Invariant, holds: bool, detail: str = ''
    ) -> bool:
        """Return `holds`; if it is false, count and log a violation.

        Raises
        ------
        InvariantViolation
            If `holds` is false and violations are fatal.
        """
        if holds:
            return True
        self.violations += 1
        self._counter.labels(invariant.value).inc()
        self._log.error(
            'promise_broken', promise=invariant.value, detail=detail
        )
        if self._fatal:
            raise InvariantViolation(f'{invariant.value}: {detail}')
        return False
