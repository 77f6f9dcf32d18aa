"""Orders of roll-outs in the platform's store."""

from __future__ import annotations

import typing as ty

from peridotmast.coordination import object_errors
from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import findings as findings_
from peridotmast import logs
from peridotmast.platform import fields as fields_
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb

_MAX_LOGGED = 500
"""Maximum number of logged characters of the findings on an order."""

_OUTCOME_NAMES = {
    outcome: name for name, outcome in names.ROLLOUT_OUTCOMES.items()
}

Listener = ty.Callable[[ty.Sequence[pb.RolloutOrder]], None]


class RolloutOrders:
    """Reads the operators' orders and writes the outcomes of the roll-outs.

    Parameters
    ----------
    store : objects.ObjectStore
        The platform's store.
    """

    def __init__(self, store: objects.ObjectStore) -> None:
        self._store = store
        self._log = logs.get('rollout_orders')
        self.errors = object_errors.ObjectErrors('rollouts')
        """Confines errors to single orders."""
        self._orders: dict[str, pb.RolloutOrder] = {}
        self._findings: dict[str, findings_.Findings] = {}
        self.listener: Listener = lambda orders: None
        """Called with all orders after a change."""

    @property
    def orders(self) -> list[pb.RolloutOrder]:
        """All orders that can be carried out."""
        return list(self._orders.values())

    @property
    def findings(self) -> list[findings_.Finding]:
        """Findings on all other stored orders."""
        return [f for found in self._findings.values() for f in found]

    def on_listing(self, listing: objects.Listing, after_outage: bool) -> None:
        """Process all stored orders; others were withdrawn."""
        present = {stored.name for stored in listing.objects}
        for name in [*self._orders, *self._findings]:
            if name not in present:
                self._remove(name)
        self._apply(listing.objects)

    def on_changes(self, changes: objects.Changes, after_outage: bool) -> None:
        """Process the orders that have changed."""
        self._apply(changes.objects)

    def write_outcome(
        self, order: pb.RolloutOrder, outcome: pb.RolloutPhase
    ) -> ty.Optional[failures.Failure]:
        """Write the outcome of an order that has not changed since.

        Returns
        -------
        Failure or None
            None if the outcome is stored. A failure of kind CONFLICT if the
            order has changed, which the watch then reports.
        """
        status = {
            names.STATE: _OUTCOME_NAMES[outcome],
            names.TARGET: order.target,
        }
        result = self._store.write_status(
            names.ROLLOUT_KIND, order.service, status, order.revision
        )
        if isinstance(result, failures.Failure):
            return result
        if result.revision and order.service in self._orders:
            self._orders[order.service].revision = result.revision
            self._orders[order.service].outcome = outcome
        return None

    def read_again(self, service: str) -> ty.Optional[failures.Failure]:
        """Read one order from the store, after a write without an answer."""
        stored = self._store.read(names.ROLLOUT_KIND, service)
        if isinstance(stored, failures.Failure):
            return stored
        self._apply([stored])
        return None

    def _apply(self, stored: ty.Iterable[objects.StoredObject]) -> None:
        for item in stored:
            known = self._orders.get(item.name)
            if known is not None and item.revision < known.revision:
                continue
            self._remove(item.name)
            if item.spec is not None:
                with self.errors.confine(item):
                    self._read(item)
        self.listener(self.orders)

    def _read(self, stored: objects.StoredObject) -> None:
        try:
            self._orders[stored.name] = read_order(stored)
        except fields_.MalformedDocumentError as exc:
            self._findings[stored.name] = exc.findings
            self._log.error(
                'rollout_malformed',
                order=stored.name,
                revision=stored.revision,
                error=str(exc)[:_MAX_LOGGED],
            )

    def _remove(self, name: str) -> None:
        self._orders.pop(name, None)
        self._findings.pop(name, None)


def read_order(stored: objects.StoredObject) -> pb.RolloutOrder:
    """Convert a stored order.

    Raises
    ------
    fields.MalformedDocumentError
        If it does not conform to the platform's specification.
    """
    fields = fields_.Fields(stored.spec, f'rollout {stored.name}')
    order = pb.RolloutOrder(
        service=fields.string(names.SERVICE),
        target=fields.string(names.TARGET),
        duration_ms=int(1000 * fields.number(names.DURATION_S, maximum=1e6)),
        revision=stored.revision,
    )
    if order.service != stored.name:
        fields.findings.add(
            f'rollout {stored.name} service', 'must be the name of the order'
        )
    fields.raise_if_malformed()
    order.outcome = _read_outcome(stored.status, order.target)
    return order


def _read_outcome(
    status: ty.Optional[objects.Json], target: str
) -> pb.RolloutPhase:
    """Return the stored outcome for a target; unspecified if there is none."""
    if status is None or status.get(names.TARGET) != target:
        return pb.ROLLOUT_PHASE_UNSPECIFIED
    return names.ROLLOUT_OUTCOMES.get(
        str(status.get(names.STATE)), pb.ROLLOUT_PHASE_UNSPECIFIED
    )
