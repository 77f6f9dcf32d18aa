"""The holder of the controller's lease brings the fleet to the plan."""

from __future__ import annotations

import typing as ty

import prometheus_client

from peridotmast import clock as clock_
from peridotmast.controller import planner
from peridotmast.coordination import claims as claims_
from peridotmast.coordination import config_feed as config_feed_
from peridotmast.coordination import lease as lease_
from peridotmast import failures
from peridotmast import green
from peridotmast import http_client
from peridotmast import invariants as invariants_
from peridotmast import logs
from peridotmast.platform import cloud as cloud_
from peridotmast.platform import object_store
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc

LEASE_KEY = 'leases/controller'
STATE_KEY = 'controller/state'
_PATIENCE_MS = 1000
_ORDER_MS = 60_000
_DRAIN_MS = 8000
_CALL_MS = 1000
_ASKED_AT_ONCE = 32


class Controller:
    """Contends for the lease and, while it holds it, acts on the plan.

    Orders state a desired end and carry the fencing number; VMs are known
    by names that follow from the plan, and the count of VMs that stood in
    a slot is kept in the platform: the next holder goes on where this one
    stopped and buys nothing twice.

    Parameters
    ----------
    file : pb.ControllerFile
        Checked settings.
    clock : clock.Clock, optional
        The machine's by default.
    """

    def __init__(
        self,
        file: pb.ControllerFile,
        clock: ty.Optional[clock_.Clock] = None,
    ) -> None:
        cfg, platform = file.controller, file.platform
        self._cfg = cfg
        self._clock = clock or clock_.SystemClock()
        self.registry = prometheus_client.CollectorRegistry()
        """Metrics of this controller."""
        self._store = object_store.ObjectStore(
            platform.objects, platform.timeout_ms, self._clock
        )
        self._cloud = cloud_.Cloud(platform.cloud, platform.timeout_ms)
        checks = invariants_.Invariants(self.registry)
        self._feed = config_feed_.ConfigFeed(self._store, checks)
        self.lease = lease_.Lease(
            self._store,
            LEASE_KEY,
            cfg.name,
            cfg.lease_ms,
            cfg.guard_ms,
            self._clock,
        )
        """The lease that this controller contends for."""
        self._http = http_client.HttpClient(_ORDER_MS)
        self._quick = http_client.HttpClient(_CALL_MS)
        self._router = rpc.RpcClient(pb_grpc.OperatorsStub, file.tls)
        self._refused: dict[tuple[str, bool], int] = {}
        self._ordered_models: set[tuple[str, str]] = set()
        self._draining: dict[str, int] = {}
        self._epoch_at = self._clock.now()
        self._log = logs.get('controller', controller=cfg.name)
        self._tasks = green.Tasks(self._on_error)
        self._was_holder = False
        self._holder = prometheus_client.Gauge(
            'peridotmast_lease_held',
            'Whether this controller holds the lease.',
            registry=self.registry,
        )
        self._orders = prometheus_client.Counter(
            'peridotmast_orders',
            'Orders given, by kind.',
            ['kind'],
            registry=self.registry,
        )

    def start(self) -> None:
        """Begin to contend and to act."""
        third = max(20, self._cfg.lease_ms // 3)
        self._tasks.every('lease', third, self._keep_lease)
        self._tasks.every('tick', self._cfg.tick_ms, self.tick)

    def stop(self) -> None:
        """Give the lease up and end."""
        self._tasks.stop()
        self.lease.release()

    def tick(self) -> None:
        """Look at the fleet and take the steps that are due."""
        if not self.lease.may_order():
            return
        self._advance_epoch()
        if not self._feed.refresh() and not self._feed.version:
            return
        config = self._feed.config
        records = self._cloud.vms()
        prices = self._cloud.prices()
        if isinstance(records, failures.Failure) or isinstance(
            prices, failures.Failure
        ):
            return
        live = {r.upstream.name: r for r in records}
        if not config.policy.managed:
            return
        plan = planner.plan(
            config,
            prices,
            planner.fleet_of(records),
            self._clock.wall(),
            self._observed(config, live),
            self._refused_now(config.policy),
        )
        wanted = plan.wanted(self._clock.wall())
        self._fill_slots(wanted, live)
        self._load_models(config, wanted, live)
        self._give_back(wanted, live)

    # ---------------------------------------------------------------- lease

    def _keep_lease(self) -> None:
        held = self.lease.attempt()
        self._holder.set(held)
        if held != self._was_holder:
            self._was_holder = held
            self._log.info('lease', held=held, fencing=self.lease.fencing)

    def _advance_epoch(self) -> None:
        """Open a new epoch of claims where the current one is old."""
        if self._clock.now() - self._epoch_at < self._cfg.epoch_ms:
            return
        self._epoch_at = self._clock.now()
        known = self._store.get(claims_.EPOCH_KEY)
        if isinstance(known, failures.Failure):
            return
        epoch = pb.EpochObject.FromString(known.value or b'').epoch + 1
        value = pb.EpochObject(epoch=epoch).SerializeToString()
        # Lost against another holder or a lost reply: either is as good.
        self._store.put(claims_.EPOCH_KEY, value, known.version)
        self._log.info('epoch_opened', epoch=epoch)

    # ------------------------------------------------------------------- VMs

    def _fill_slots(
        self,
        wanted: list[planner.Slot],
        live: dict[str, pb.UpstreamRecord],
    ) -> None:
        """Order a VM for each slot that has none."""
        generations = self._next_generations(wanted, live)
        if generations is None:
            return
        for slot in wanted:
            name = f'{slot.name}.g{generations[slot.name]}'
            if name in live or not self.lease.may_order():
                continue
            failure = self._cloud.create(
                name, slot.failure_domain, slot.reclaimable
            )
            self._orders.labels('create').inc()
            if failure is not None and failure.reason == 'no_capacity':
                key = slot.failure_domain, slot.reclaimable
                self._refused[key] = self._clock.now()
                self._log.warning('vm_refused', slot=slot.name)

    def _next_generations(
        self,
        wanted: list[planner.Slot],
        live: dict[str, pb.UpstreamRecord],
    ) -> ty.Optional[dict[str, int]]:
        """Return each slot's generation, counted on where its VM is lost.

        The count is written down before anything is ordered by it.
        """
        result: dict[str, int] = {}

        def change(
            current: object_store.Stored,
        ) -> ty.Optional[bytes]:
            state = pb.ControllerState.FromString(current.value or b'')
            slots = {slot.name: slot for slot in state.slots}
            changed = False
            for want in wanted:
                slot = slots.get(want.name)
                if slot is None:
                    slot = state.slots.add(name=want.name, generation=1)
                    changed = True
                elif _is_lost(live.get(f'{slot.name}.g{slot.generation}')):
                    slot.generation += 1
                    changed = True
                result[want.name] = slot.generation
            return state.SerializeToString() if changed else None

        stored = self._store.update(STATE_KEY, change, _PATIENCE_MS)
        return None if isinstance(stored, failures.Failure) else result

    def _load_models(
        self,
        config: pb.Config,
        wanted: list[planner.Slot],
        live: dict[str, pb.UpstreamRecord],
    ) -> None:
        sizes = {model.name: model.weight_bytes for model in config.models}
        for slot in wanted:
            for record in live.values():
                name = record.upstream.name
                key = name, slot.model
                if name.rpartition('.g')[0] != slot.name or (
                    record.state != pb.UPSTREAM_STATE_LIVE
                    or key in self._ordered_models
                ):
                    continue
                self._ordered_models.add(key)
                self._tasks.spawn(
                    'order',
                    self.order,
                    record.upstream.address,
                    {
                        'action': 'load_model',
                        'model': slot.model,
                        'bytes': sizes[slot.model],
                    },
                    key,
                )

    def order(
        self,
        address: str,
        order: dict[str, ty.Any],
        key: ty.Optional[tuple[str, str]] = None,
    ) -> bool:
        """Send an order with the fencing number; say if it was taken.

        An order states a desired end, so a repeat does no harm.
        """
        if not self.lease.may_order():
            self._ordered_models.discard(key or ('', ''))
            return False
        order = {**order, 'fencing': self.lease.fencing}
        reply = self._http.call('POST', address, '/v1/orders', order)
        self._orders.labels(order['action']).inc()
        taken = not isinstance(reply, failures.Failure) and (
            reply.status == 200
        )
        if not taken and key is not None:
            self._ordered_models.discard(key)
        return taken

    def _give_back(
        self,
        wanted: list[planner.Slot],
        live: dict[str, pb.UpstreamRecord],
    ) -> None:
        """Drain, then give back, managed VMs that no slot wants."""
        names = {slot.name for slot in wanted}
        for name, record in live.items():
            slot, mark, _ = name.rpartition('.g')
            if not mark or slot in names:
                self._draining.pop(name, None)
                continue
            if record.state == pb.UPSTREAM_STATE_GONE:
                continue
            if name not in self._draining:
                self._draining[name] = self._clock.now()
                self._drain(name)
            elif self._is_empty(record) and self.lease.may_order():
                self._cloud.delete(name)
                self._orders.labels('delete').inc()

    def _drain(self, name: str) -> None:
        if self._cfg.router:
            request = pb.UpstreamDrainRequest(name=name)
            self._router.call(
                self._cfg.router, 'UpstreamDrain', request, _CALL_MS
            )
        self._log.info('vm_drained', vm=name)

    def _is_empty(self, record: pb.UpstreamRecord) -> bool:
        since = self._draining[record.upstream.name]
        if self._clock.now() - since > _DRAIN_MS:
            return True
        waited = self._clock.now() - since > 2 * self._cfg.tick_ms
        return waited and self._share_busy(record) == 0

    def _observed(
        self, config: pb.Config, live: dict[str, pb.UpstreamRecord]
    ) -> float:
        """Return the demand in tokens/s that the engines' load tells."""
        if not config.models:
            return 0.0
        engines = [
            record
            for record in live.values()
            if record.state == pb.UPSTREAM_STATE_LIVE
            and record.upstream.kind == 'engine'
        ]
        pool = green.GreenPool(_ASKED_AT_ONCE)
        shares = pool.imap(self._share_busy, engines)
        busy = sum(share or 0.0 for share in shares)
        return busy * config.models[0].vm_tokens_per_second

    def _share_busy(self, record: pb.UpstreamRecord) -> ty.Optional[float]:
        """Return the work in an engine as a share of its slots.

        None where it does not say: that is not an empty engine.
        """
        reply = self._quick.call('GET', record.upstream.address, '/v1/load')
        if isinstance(reply, failures.Failure) or reply.status != 200:
            return None
        load = reply.json()
        slots = record.upstream.slots or 1
        return (load['running'] + load['waiting']) / slots

    def _refused_now(self, policy: pb.Policy) -> list[tuple[str, bool]]:
        limit = self._clock.now() - policy.refused_ms
        return [key for key, at in self._refused.items() if at > limit]

    def _on_error(self, name: str, exc: BaseException) -> None:
        self._log.error('task_failed', task=name, error=repr(exc))


def _is_lost(record: ty.Optional[pb.UpstreamRecord]) -> bool:
    return record is not None and record.state in (
        pb.UPSTREAM_STATE_LEAVING,
        pb.UPSTREAM_STATE_GONE,
    )
