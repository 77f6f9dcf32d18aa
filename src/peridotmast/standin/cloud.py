"""Stand-in for the platform API that takes usage reports and orders."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast.platform import names
from peridotmast.standin import faulty_app
from peridotmast.standin import http_standin
from peridotmast import web

OnOrder = ty.Callable[[str, str, int, bool], bool]
"""Called with the service, the failure domain, the desired number of engines
and whether they are reclaimable; returns false if none are available."""


@dataclasses.dataclass(frozen=True)
class Order:
    """One accepted order of engines."""

    service: str
    failure_domain: str
    count: int
    reclaimable: bool
    holder: str
    fencing: int


@dataclasses.dataclass(frozen=True)
class Report:
    """One usage report, as received."""

    window: int
    counts: dict[str, int]
    holder: str
    fencing: int


class CloudStandin(http_standin.HttpStandin[faulty_app.FaultyApp]):
    """Accepts and records all reports and orders, as the platform does.

    Calls with a stale fencing number are accepted too, and noted in
    `stale_call_times`.

    Parameters
    ----------
    on_order : callable
        Called with each order.
    address : str
        ``IP:port`` to listen on; port 0 selects a free one.
    seed : int
        Seed of the injected faults.
    """

    def __init__(
        self, on_order: OnOrder, address: str = '127.0.0.1:0', seed: int = 0
    ) -> None:
        super().__init__(faulty_app.FaultyApp('cloud', seed), address)
        self._on_order = on_order
        self._clock = clock_.SystemClock()
        self._highest_fencing: dict[str, int] = {}
        self.orders: list[Order] = []
        """Accepted orders, by time of arrival."""
        self.reports: list[Report] = []
        """Usage reports, by time of arrival."""
        self.stale_call_times: list[int] = []
        """Times, in ms, of calls with a lower fencing number than an earlier
        call for the same duty."""
        self.app.route('POST', names.USAGE_PATH, self._usage)
        self.app.route('POST', names.SCALE_PATH, self._scale)

    def conflicting_reports(self) -> list[int]:
        """Return the windows of reports that differ from the first one."""
        first_counts: dict[int, dict[str, int]] = {}
        return [
            report.window
            for report in self.reports
            if first_counts.setdefault(report.window, report.counts)
            != report.counts
        ]

    def _check_fencing(self, req: web.Request, duty: str) -> tuple[str, int]:
        """Return the calling holder and its fencing number; note if stale."""
        fencing = int(req.header(names.FENCING) or 0)
        if fencing < self._highest_fencing.get(duty, 0):
            self.stale_call_times.append(self._clock.now())
        self._highest_fencing[duty] = max(
            fencing, self._highest_fencing.get(duty, 0)
        )
        return req.header(names.HOLDER), fencing

    def _usage(self, req: web.Request) -> web.Response:
        body = req.json()
        self.reports.append(
            Report(
                body[names.WINDOW_ID],
                body[names.REQUEST_COUNTS],
                *self._check_fencing(req, names.USAGE_PATH),
            )
        )
        return web.json_response({})

    def _scale(self, req: web.Request) -> web.Response:
        body = req.json()
        service, domain = body[names.SERVICE], body[names.FAILURE_DOMAIN]
        count = int(body[names.DESIRED_COUNT])
        reclaimable = bool(body.get(names.RECLAIMABLE))
        caller = self._check_fencing(
            req, f'{names.SCALE_PATH} {service} {domain}'
        )
        if not self._on_order(service, domain, count, reclaimable):
            return web.error_response(409, 'none', domain)
        self.orders.append(Order(service, domain, count, reclaimable, *caller))
        return web.json_response({})
