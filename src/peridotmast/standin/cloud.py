"""Stand-in for the platform's API of usage reports and orders."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast import clock as clock_
from peridotmast.platform import names
from peridotmast.standin import faulty_app
from peridotmast.standin import listening
from peridotmast import web

OnOrder = ty.Callable[[str, str, int, bool], bool]
"""Gets service, failure domain, count and whether they may be reclaimed;
returns false where none are to be had."""


@dataclasses.dataclass(frozen=True)
class Order:
    """One order that was taken."""

    service: str
    failure_domain: str
    count: int
    reclaimable: bool
    holder: str
    fencing: int


@dataclasses.dataclass(frozen=True)
class Report:
    """One usage report."""

    window: int
    counts: dict[str, int]
    holder: str
    fencing: int


class CloudStandin(listening.Listening[faulty_app.FaultyApp]):
    """Takes what comes and remembers it, as the platform does.

    Parameters
    ----------
    on_order : callable
        Called with each order.
    address : str
        ``IP:port`` to listen on; port 0 takes a free one.
    """

    def __init__(
        self, on_order: OnOrder, address: str = '127.0.0.1:0', seed: int = 0
    ) -> None:
        super().__init__(faulty_app.FaultyApp('cloud', seed), address)
        self._on_order = on_order
        self._clock = clock_.SystemClock()
        self._highest: dict[str, int] = {}
        self.orders: list[Order] = []
        """Orders taken, in order."""
        self.reports: list[Report] = []
        """Reports, in order."""
        self.out_of_turn: list[int] = []
        """Moments of calls with a lower fencing number than one before."""
        self.app.route('POST', names.USAGE_PATH, self._usage)
        self.app.route('POST', names.SCALE_PATH, self._scale)

    def conflicting_reports(self) -> list[int]:
        """Return the windows of which two reports differ."""
        first: dict[int, dict[str, int]] = {}
        return [
            report.window
            for report in self.reports
            if first.setdefault(report.window, report.counts) != report.counts
        ]

    def _duty(self, req: web.Request, duty: str) -> tuple[str, int]:
        """Return the holder that calls, and its fencing number."""
        fencing = int(req.header(names.FENCING) or 0)
        if fencing < self._highest.get(duty, 0):
            self.out_of_turn.append(self._clock.now())
        self._highest[duty] = max(fencing, self._highest.get(duty, 0))
        return req.header(names.HOLDER), fencing

    def _usage(self, req: web.Request) -> web.Response:
        body = req.json()
        self.reports.append(
            Report(
                body[names.WINDOW_ID],
                body[names.REQUEST_COUNTS],
                *self._duty(req, names.USAGE_PATH),
            )
        )
        return web.json_response({})

    def _scale(self, req: web.Request) -> web.Response:
        body = req.json()
        service, domain = body[names.SERVICE], body[names.FAILURE_DOMAIN]
        count = int(body[names.DESIRED_COUNT])
        reclaimable = bool(body.get(names.RECLAIMABLE))
        duty = self._duty(req, f'{names.SCALE_PATH} {service} {domain}')
        if not self._on_order(service, domain, count, reclaimable):
            return web.error_response(409, 'none', domain)
        self.orders.append(Order(service, domain, count, reclaimable, *duty))
        return web.json_response({})
