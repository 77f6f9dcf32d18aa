"""The platform's part of roll-outs in an embedded fleet."""

from __future__ import annotations

import typing as ty

from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast.embedded import upstream_instance
from peridotmast import green
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb

Instance = upstream_instance.UpstreamInstance

_POLL_INTERVAL_MS = 20
_LINGER_MS = 1000
"""Time from a roll-back until the upstreams of its target leave."""


class RolloutDriver:
    """Orders roll-outs and starts and stops upstreams as the platform does.

    Parameters
    ----------
    fleet : fleet.Fleet
        The fleet.
    """

    def __init__(self, fleet: fleet_.Fleet) -> None:
        self._fleet = fleet

    def order(
        self,
        service: str,
        target: str,
        duration_ms: int,
        boot_ms: int = 300,
        count: ty.Optional[int] = None,
    ) -> None:
        """Order a roll-out, and start upstreams beside the present ones.

        Parameters
        ----------
        boot_ms : int
            Time until the upstreams of the target serve.
        count : int, optional
            Number of these upstreams; as many as there are by default.
        """
        self._fleet.store.put(
            names.ROLLOUT_KIND,
            service,
            {
                names.SERVICE: service,
                names.TARGET: target,
                names.DURATION_S: duration_ms / 1000,
            },
        )
        present = self._fleet.running_upstreams(service)
        for instance in present if count is None else present[:count]:
            green.spawn_after_ms(boot_ms, self._add, instance, service, target)
        green.spawn(self._follow, service, target)

    def state(self, service: str) -> str:
        """Return the state that is stored for an order; empty if none."""
        status = self._fleet.store.status(names.ROLLOUT_KIND, service) or {}
        return status.get(names.STATE, '')

    def _add(self, beside: Instance, service: str, target: str) -> None:
        domain = beside.record.upstream.failure_domain
        if service == shape_.ENGINE_SERVICE:
            self._fleet.add_engine(
                domain, beside.record.reclaimable, service, target
            )
        else:
            self._fleet.add_service(domain, service, target)

    def _follow(self, service: str, target: str) -> None:
        """Stop the upstreams of one version once the outcome is stored."""
        while self.state(service) not in ('completed', 'rolled_back'):
            green.sleep_ms(_POLL_INTERVAL_MS)
        if self.state(service) == 'completed':
            self._fleet.versions[service] = target
            for instance in self._instances(service, target, False):
                self._fleet.kill_upstream(instance)
            return
        green.sleep_ms(_LINGER_MS)
        for instance in self._instances(service, target, True):
            self._fleet.announce_leaving(instance)
            green.spawn_after_ms(2000, self._fleet.kill_upstream, instance)

    def _instances(
        self, service: str, target: str, is_target: bool
    ) -> list[Instance]:
        return [
            instance
            for instance in self._fleet.running_upstreams(service)
            if (instance.record.upstream.version == target) == is_target
            and instance.record.state == pb.UPSTREAM_STATE_LIVE
        ]
