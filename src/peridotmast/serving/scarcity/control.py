"""Decides for each engine service whether capacity is short, and acts."""

from __future__ import annotations

import typing as ty

from peridotmast import clock as clock_
from peridotmast import failures
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import candidates
from peridotmast.serving import demand as demand_
from peridotmast.serving import exchange as exchange_
from peridotmast.serving import metrics as metrics_
from peridotmast.serving.scarcity import admission as admission_
from peridotmast.serving.scarcity import measure
from peridotmast.serving.scarcity import order as order_
from peridotmast.serving import upstream_view
from peridotmast.serving import upstreams as upstreams_
from peridotmast.serving import urgency

REFUSAL_REASON = 'capacity_short'


class Ticket:
    """An admitted request, until its end is counted.

    Parameters
    ----------
    end : callable
        Called once with the time for which the request held a slot, in ms;
        None if it is unknown.
    prefill_ms : float
        Expected prefill time, in ms.
    state : measure.ScarcityState, optional
        State of the service; None if nothing is counted.
    is_stream : bool
        Whether the first event marks the end of the prefill.
    """

    def __init__(
        self,
        end: ty.Callable[[ty.Optional[float]], None] = lambda hold_ms: None,
        prefill_ms: float = 0.0,
        state: ty.Optional[measure.ScarcityState] = None,
        is_stream: bool = False,
    ) -> None:
        self._end: ty.Optional[ty.Callable[[ty.Optional[float]], None]] = end
        self._prefill_ms = prefill_ms
        self._state = state
        self._is_stream = is_stream

    def end(
        self,
        first_ms: ty.Optional[float] = None,
        took_ms: ty.Optional[float] = None,
    ) -> None:
        """Count the end of the request; idempotent.

        Parameters
        ----------
        first_ms : float, optional
            Time from its arrival to the first bytes of the response, in ms;
            None without a successful response.
        took_ms : float, optional
            Time to the end of the response, in ms.
        """
        end, self._end = self._end, None
        if end is not None:
            end(self._hold_ms(first_ms, took_ms))

    def _hold_ms(
        self, first_ms: ty.Optional[float], took_ms: ty.Optional[float]
    ) -> ty.Optional[float]:
        if first_ms is None or took_ms is None:
            return None
        if self._is_stream:
            return took_ms - first_ms + self._prefill_ms
        if self._state is not None and self._state.is_short:
            # The response may have waited in the queue of the engine.
            return None
        return took_ms


class ScarcityControl:
    """Orders the requests to engine services whose capacity is short.

    The state has one entry for each engine service of the configuration that
    has upstreams. An entry takes some 200 bytes, and up to 60 kB for the
    counts by team if requests are refused. It is derived at each `tick` from
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
        self._admissions: dict[str, admission_.Admission] = {}
        self._settings = pb.ScarcitySettings()
        self.count_missing: ty.Callable[[], float] = lambda: 0.0
        """Returns the number of routers whose reports are missing."""
        self.count_routers: ty.Callable[[], int] = lambda: 1
        """Returns the number of routers, including this one."""

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

    def admit(
        self, exchange: exchange_.Exchange, service: pb.Service
    ) -> ty.Union[Ticket, failures.Failure]:
        """Set the urgency of a request, or refuse it.

        The caller of this method must call ``end`` of a `Ticket`.
        """
        self._set_urgency(exchange, service)
        state = self._states.get(service.name)
        admission = self._admissions.get(service.name)
        if state is None or admission is None:
            return Ticket()
        now = self._clock.now()
        by_share = False
        # The beginning of a resumed stream has been served already.
        if not exchange.is_stream or exchange.resumes is None:
            verdict = admission.decide(
                exchange.priority,
                exchange.team,
                exchange.deadline - now,
                now,
            )
            if verdict.retry_ms:
                return self._refusal(exchange, service, state, verdict)
            by_share = verdict.by_share
            if by_share:
                exchange.urgency = min(exchange.urgency, order_.SHARE_LEVEL)
        return self._ticket(exchange, service, state, admission, by_share)

    def _refusal(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        state: measure.ScarcityState,
        verdict: admission_.Verdict,
    ) -> failures.Failure:
        priority = exchange.priority
        self._metrics.scarcity_refusals.labels(
            service.name, str(priority)
        ).inc()
        detail = (
            f'priority {priority}: wait {verdict.wait_ms:.0f} ms,'
            f' running {state.figures.running:.0f} of {state.figures.slots}'
        )
        return failures.not_run(REFUSAL_REASON, detail, verdict.retry_ms)

    def _ticket(
        self,
        exchange: exchange_.Exchange,
        service: pb.Service,
        state: measure.ScarcityState,
        admission: admission_.Admission,
        by_share: bool,
    ) -> Ticket:
        prompt, priority = exchange.prompt, exchange.priority
        memory = prompt.tokens_in + prompt.tokens_out
        admission.begin(priority, memory, by_share)
        return Ticket(
            lambda hold_ms: admission.end(priority, memory, hold_ms, by_share),
            urgency.prefill_ms(
                prompt.tokens_in, self._demand.prefill_rate(service.name)
            ),
            state,
            exchange.is_stream,
        )

    def _set_urgency(
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
        if not self._settings.refuse:
            self._admissions.pop(service.name, None)
            return
        admission = self._admissions.get(service.name)
        if admission is None:
            admission = admission_.Admission(f'{self._router}|{service.name}')
            self._admissions[service.name] = admission
        admission.tick(figures, self.count_routers(), self._clock.now())

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
            self._admissions.pop(name, None)
            self._metrics.scarcity.remove(name)
