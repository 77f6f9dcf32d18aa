"""Promises that the program checks about itself while it runs."""

from __future__ import annotations

import enum

import prometheus_client

from peridotmast import logs


class Invariant(enum.Enum):
    """What must hold at every moment."""

    EVENTS_GROW = 'events_grow'
    """Events of a stream are passed on in order, without gap or repeat."""

    NO_WORK_TO_LEAVING = 'no_work_to_leaving'
    """An upstream that leaves gets no new work."""

    ONE_RUN = 'one_run'
    """A request that may not repeat is sent again only if it did not run."""

    CONFIG_GROWS = 'config_grows'
    """No version of the configuration in force ever falls."""

    ONE_REPORT = 'one_report'
    """The counts of a window are written down once."""


class InvariantViolation(AssertionError):
    """Raised in tests where a promise does not hold."""


class Invariants:
    """Checks promises, counts those broken and, in tests, raises.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Where ``peridotmast_broken_promises_total`` is counted.
    fatal : bool
        Raise `InvariantViolation` besides counting.
    """

    def __init__(
        self,
        registry: prometheus_client.CollectorRegistry,
        fatal: bool = False,
    ) -> None:
        self._fatal = fatal
        self._log = logs.get('invariants')
        self.violations = 0
        """Promises found broken so far."""
        self._counter = prometheus_client.Counter(
            'peridotmast_broken_promises',
            'Promises found broken, each a fault of the program.',
            ['promise'],
            registry=registry,
        )
        for promise in Invariant:
            self._counter.labels(promise.value)

    def check(self, promise: Invariant, holds: bool, detail: str = '') -> bool:
        """Return `holds`; where it is false, count and report it.

        Raises
        ------
        InvariantViolation
            Where it is false and the checks are fatal.
        """
        if holds:
            return True
        self.violations += 1
        self._counter.labels(promise.value).inc()
        self._log.error('promise_broken', promise=promise.value, detail=detail)
        if self._fatal:
            raise InvariantViolation(f'{promise.value}: {detail}')
        return False
