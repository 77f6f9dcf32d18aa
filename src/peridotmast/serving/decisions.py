"""What was decided on each request: logged, and kept for a while."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs

_KEPT = 512
"""Requests whose decisions are kept for operators who ask by id; the log
has them all. They take about 200 kB."""

Step = tuple[int, str, dict[str, ty.Any]]
"""Moment (ms since 1970), event and values of one decision."""


class Decisions:
    """Logs a line for each decision on a request, under its id.

    Parameters
    ----------
    clock : clock.Clock
        Dates the decisions that are kept.
    router : str
        Name of this router.
    """

    def __init__(self, clock: clock_.Clock, router: str) -> None:
        self._clock = clock
        self._log = logs.get('request', router=router)
        self._kept: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )

    def note(self, request_id: str, event: str, **values: ty.Any) -> None:
        """Log a decision and keep it."""
        self._log.info(event, request=request_id, **values)
        step = (self._clock.wall(), event, values)
        self._kept.setdefault(request_id, []).append(step)
        if len(self._kept) > _KEPT:
            self._kept.popitem(last=False)

    def history(self, request_id: str) -> list[tuple[int, str]]:
        """Return moment and text of what is kept of a request."""
        return [
            (at, ' '.join([event, *(f'{k}={v}' for k, v in values.items())]))
            for at, event, values in self._kept.get(request_id, ())
        ]
