"""Logs the decisions on each request and keeps the latest ones for lookups."""

from __future__ import annotations

import collections
import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs

_MAX_REQUESTS = 512
"""Number of requests whose decisions are kept for lookups by operators; the
log has the decisions on all requests. The kept decisions take about 200 kB."""

Step = tuple[int, str, dict[str, ty.Any]]
"""Time (ms since 1970), event and values of one decision."""


class Decisions:
    """Logs one line per decision on a request, with the request id.

    Parameters
    ----------
    clock : clock.Clock
        Clock for the times of the kept decisions.
    router : str
        Name of this router.
    """

    def __init__(self, clock: clock_.Clock, router: str) -> None:
        self._clock = clock
        self._log = logs.get('request', router=router)
        self._steps: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )

    def note(self, request_id: str, event: str, **values: ty.Any) -> None:
        """Log a decision on a request and keep it in memory."""
        self._log.info(event, request=request_id, **values)
        step = (self._clock.wall_time(), event, values)
        self._steps.setdefault(request_id, []).append(step)
        if len(self._steps) > _MAX_REQUESTS:
            self._steps.popitem(last=False)

    def history(self, request_id: str) -> list[tuple[int, str]]:
        """Return the time and text of each kept decision on a request."""
        return [
            (at, ' '.join([event, *(f'{k}={v}' for k, v in values.items())]))
            for at, event, values in self._steps.get(request_id, ())
        ]
