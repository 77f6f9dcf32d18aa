"""Decides for each engine service whether capacity is short, and acts."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import candidates
from peridotmast.serving import demand as demand_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving.scarcity import measure
from peridotmast.serving.scarcity import order as order_
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_


class ScarcityControl:
    """Orders the requests to engine services whose capacity is short.

    The state has one entry for each engine service of the configuration that
    has upstreams, and some 200 bytes each. It is derived at each `tick` from
    the loads that routers report in their beacons, and ends with the service.
    Each router decides for itself; routers agree within two rounds of beacons.
    While nothing is enabled, there is no state.

    Parameters
    ----------
    clock : clock.Clock
        Times the smoothing.
    table : upstreams.UpstreamTable
        The upstreams and the loads of all routers.
    demand : demand.Demand
        Prefill rates of the services.
    metrics : metrics.ServingMetrics
        Scarcity by service, and requests by order.
    router : str
        Name of this router.
    """

    def __init__(
        self,
        clock: clock_.Clock,
        table: upstreams_.UpstreamTable,
        demand: demand_.Demand,
        metrics: metrics_.ServingMetrics,
        router: str,
    ) -> None:
        self._clock = clock
        self._table = table
        self._demand = demand
        self._metrics = metrics
        self._router = router
        self._log = logs.get('scarcity', router=router)
        self._services: dict[str, pb.Service] = {}
        self._states: dict[str, measure.ScarcityState] = {}
        self._settings = pb.ScarcitySettings()
        self.count_missing: ty.Callable[[], float] = lambda: 0.0
        """Returns the number of routers whose reports are missing."""

    @property
    def settings(self) -> pb.ScarcitySettings:
        """The settings in force."""
        return self._settings

    def apply_settings(self, settings: pb.ScarcitySettings) -> None:
        """Apply changed settings."""
        self._settings = settings
        self.tick()

    def configure(self, services: ty.Iterable[pb.Service]) -> None:
        """Apply the services of a configuration."""
        self._services = {s.name: s for s in services if s.engine}
        self.tick()

    def tick(self) -> None:
        """Measure the load and the capacity of each engine service."""
        if self._settings.order != order_.PRIORITY:
            self._retain(())
            return
        leaving = self._leaving_by_service()
        measured = set()
        for name, service in self._services.items():
            # Loads of other upstreams are not reported to this router.
            live = candidates.subset_of(self._router, self._table.live(name))
            if live or name in leaving:
                measured.add(name)
                self._update(service, live, leaving.get(name, ()))
        self._retain(measured)

    def states(self) -> ty.Mapping[str, measure.ScarcityState]:
        """Return the state of each service that is measured."""
        return self._states

    def set_urgency(
        self, exchange: exchange_.Exchange, service: pb.Service
    ) -> None:
        """Replace the urgency of a request while capacity is short."""
        state = self._states.get(service.name)
        if state is None:
            return
        if not state.is_short:
            self._metrics.ordered.labels(service.name, order_.SLACK).inc()
            return
        self._metrics.ordered.labels(service.name, order_.PRIORITY).inc()
        exchange.urgency = order_.level_by_priority(
            exchange.priority,
            exchange.prompt.tokens_in,
            exchange.route.target_ms,
            self._demand.prefill_rate(service.name),
        )

    def _update(
        self,
        service: pb.Service,
        live: measure.Views,
        leaving: measure.Views,
    ) -> None:
        missing = self.count_missing()
        figures = measure.measure(service, live, leaving, missing)
        state = self._states.setdefault(service.name, measure.ScarcityState())
        if state.update(figures, self._clock.now()):
            self._log.info(
                'capacity_short' if state.is_short else 'capacity_sufficient',
                service=service.name,
                ratio=round(state.ratio, 3),
                running=round(figures.running),
                slots=figures.slots,
                memory=round(figures.memory),
                memory_tokens=figures.memory_tokens,
                missing_routers=round(missing, 1),
            )
        self._metrics.scarcity.labels(service.name).set(state.ratio)

    def _leaving_by_service(
        self,
    ) -> dict[str, list[upstream_view.UpstreamView]]:
        found: dict[str, list[upstream_view.UpstreamView]] = {}
        for view in self._table.not_live():
            if view.record.state == upstream_view.LEAVING:
                found.setdefault(view.service, []).append(view)
        return found

    def _retain(self, services: ty.Collection[str]) -> None:
        """Drop the state of all services that are not in `services`."""
        for name in [name for name in self._states if name not in services]:
            del self._states[name]
            self._metrics.scarcity.remove(name)
