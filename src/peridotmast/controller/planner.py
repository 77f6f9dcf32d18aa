"""From live events to VMs: how many, which, when, why and at what cost."""

from __future__ import annotations

import dataclasses
import datetime
import itertools
import math
import typing as ty

from peridotmast.platform import cloud as cloud_
from peridotmast.schema import peridotmast_pb2 as pb

_HOUR_MS = 3_600_000
BASE = 'base'
"""Name of the demand outside of events."""


@dataclasses.dataclass(frozen=True)
class Slot:
    """One VM that is wanted; its name is the same at every controller."""

    name: str
    failure_domain: str
    reclaimable: bool
    model: str


@dataclasses.dataclass(frozen=True)
class Mix:
    """VMs that carry a demand, even with a failure domain lost."""

    slots: tuple[Slot, ...]
    needed: int
    """VMs that carry the demand by themselves."""
    price: float
    """Price of all of them, an hour."""

    def reason(self) -> str:
        """Return why it is this mix, in words."""
        on_demand = sum(not slot.reclaimable for slot in self.slots)
        domains = {s.failure_domain for s in self.slots if s.reclaimable}
        return (
            f'{self.needed} carry the load; {len(self.slots) - on_demand} '
            f'reclaimable over {len(domains)} failure domains and '
            f'{on_demand} on demand leave as many when the largest is lost'
        )


@dataclasses.dataclass(frozen=True)
class Step:
    """One line of a plan."""

    at_ms: int
    what: str
    why: str
    price: float = 0.0


@dataclasses.dataclass(frozen=True)
class Phase:
    """A span of time in which a mix is wanted."""

    name: str
    model: str
    order_at: int
    opens_at: int
    gives_back_at: int
    mix: Mix


@dataclasses.dataclass(frozen=True)
class Fleet:
    """VMs that there are, as far as the plan needs them."""

    live: dict[str, str]
    """Failure domain by name of VM."""


@dataclasses.dataclass(frozen=True)
class Plan:
    """What is wanted and when."""

    phases: tuple[Phase, ...]
    steps: tuple[Step, ...]

    def wanted(self, now: int) -> list[Slot]:
        """Return the VMs that are wanted at `now` (ms since 1970)."""
        due = [p for p in self.phases if p.order_at <= now < p.gives_back_at]
        return list(itertools.chain.from_iterable(p.mix.slots for p in due))

    def explain(self) -> list[str]:
        """Return the plan as lines for operators, with a timeline."""
        lines = [
            f'{_when(step.at_ms)}  {step.what}  ({step.why})'
            + (f'  {step.price:.2f}/h' if step.price else '')
            for step in self.steps
        ]
        return lines + _timeline(self.phases)


def fleet_of(records: ty.Iterable[pb.UpstreamRecord]) -> Fleet:
    """Return the engines among `records` that new work may go to."""
    return Fleet(
        {
            record.upstream.name: record.upstream.failure_domain
            for record in records
            if record.state == pb.UPSTREAM_STATE_LIVE
            and record.upstream.kind == 'engine'
        }
    )


def plan(
    config: pb.Config,
    prices: cloud_.Prices,
    fleet: Fleet,
    now: int,
    observed: float = 0.0,
    refused: ty.Collection[tuple[str, bool]] = (),
) -> Plan:
    """Return the plan for the events of `config` that are not over.

    Parameters
    ----------
    config : pb.Config
        Events, models and the policy.
    prices : cloud.Prices
        Prices in force.
    fleet : Fleet
        VMs that there are.
    now : int
        ms since 1970.
    observed : float
        Demand measured now, in tokens/s; above the forecast it replaces it.
    refused : collection of (failure domain, reclaimable)
        Classes of VM that are not to be had for the moment.
    """
    models = {model.name: model for model in config.models}
    phases = []
    base = _base_phase(config, prices, now, observed, refused)
    if base is not None:
        phases.append(base)
    for event in config.events:
        ends = event.start_ms + event.duration_ms + config.policy.linger_ms
        if ends > now and event.model in models:
            model = models[event.model]
            phases.append(
                _event_phase(
                    event, model, config.policy, prices, now, observed, refused
                )
            )
    steps = itertools.chain.from_iterable(
        _steps(phase, config.policy, models) for phase in phases
    )
    ordered = sorted(steps, key=lambda step: step.at_ms)
    return Plan(tuple(phases), tuple(ordered))


def cheapest_mix(
    name: str,
    model: str,
    needed: int,
    prices: cloud_.Prices,
    refused: ty.Collection[tuple[str, bool]] = (),
) -> Mix:
    """Return the cheapest VMs of which `needed` outlast any one domain.

    Weighed are: the cheapest `m` failure domains with the same number of
    reclaimable VMs in each, and the rest on demand in the cheapest one.
    """
    spot = sorted(
        (price, domain)
        for domain, price in prices.reclaimable.items()
        if (domain, True) not in refused
    )
    firm = sorted(
        (price * prices.on_demand_factor, domain)
        for domain, price in prices.reclaimable.items()
        if (domain, False) not in refused
    )
    options = [
        (_price(needed - on_demand, spot[:width], on_demand, firm), width)
        + (on_demand,)
        for width in range(0, len(spot) + 1)
        for on_demand in range(0, needed + 1)
        if (width >= 2 or on_demand == needed) and (firm or not on_demand)
    ]
    if not options:
        return Mix((), needed, 0.0)
    price, width, on_demand = min(options)
    slots = _slots(name, model, needed, on_demand, spot[:width], firm)
    return Mix(tuple(slots), needed, price)


def _price(
    rest: int,
    spot: list[tuple[float, str]],
    on_demand: int,
    firm: list[tuple[float, str]],
) -> float:
    """Return the price of a choice, without making its VMs up."""
    counts = _fill(rest, spot)
    total = sum(price * n for (price, _), n in zip(spot, counts))
    whole, part = divmod(on_demand, max(1, len(firm)))
    total += whole * sum(price for price, _ in firm)
    return total + sum(price for price, _ in firm[:part])


def _slots(
    name: str,
    model: str,
    needed: int,
    on_demand: int,
    spot: list[tuple[float, str]],
    firm: list[tuple[float, str]],
) -> list[Slot]:
    counts = _fill(needed - on_demand, spot)
    slots = [
        Slot(f'{name}-{domain}-r{n}', domain, True, model)
        for (_, domain), count in zip(spot, counts)
        for n in range(count)
    ]
    return slots + [
        Slot(f'{name}-{domain}-o{n}', domain, False, model)
        for n, (_, domain) in zip(range(on_demand), itertools.cycle(firm))
    ]


def _fill(rest: int, spot: list[tuple[float, str]]) -> list[int]:
    """Return VMs for each domain so that without any one `rest` are left."""
    if not rest or len(spot) < 2:
        return [0] * len(spot)
    largest = math.ceil(rest / (len(spot) - 1))
    total = rest + largest
    counts = []
    for _ in spot:
        counts.append(min(largest, total))
        total -= counts[-1]
    return counts


def _base_phase(
    config: pb.Config,
    prices: cloud_.Prices,
    now: int,
    observed: float,
    refused: ty.Collection[tuple[str, bool]],
) -> ty.Optional[Phase]:
    demand = config.policy.base_tokens_per_second
    if not demand or not config.models:
        return None
    running = [
        event
        for event in config.events
        if event.start_ms <= now < event.start_ms + event.duration_ms
    ]
    if not running:
        demand = max(demand, observed)
    model = config.models[0]
    needed = _needed(demand, model, config.policy)
    mix = cheapest_mix(BASE, model.name, needed, prices, refused)
    return Phase(BASE, model.name, 0, 0, 1 << 62, mix)


def _event_phase(
    event: pb.Event,
    model: pb.Model,
    policy: pb.Policy,
    prices: cloud_.Prices,
    now: int,
    observed: float,
    refused: ty.Collection[tuple[str, bool]],
) -> Phase:
    ends = event.start_ms + event.duration_ms
    demand = event.tokens_per_second
    if event.start_ms <= now < ends:
        # Demand off the forecast corrects it, upwards at once.
        demand = max(demand, observed - policy.base_tokens_per_second)
    needed = _needed(demand, model, policy)
    mix = cheapest_mix(event.name, model.name, needed, prices, refused)
    lead = (
        policy.boot_ms
        + load_ms(len(mix.slots), model, policy)
        + policy.warmup_ms
        + policy.margin_ms
    )
    return Phase(
        event.name,
        model.name,
        event.start_ms - lead,
        event.start_ms,
        ends + policy.linger_ms,
        mix,
    )


def load_ms(vms: int, model: pb.Model, policy: pb.Policy) -> int:
    """Return how long `vms` loads of `model` take that share the store."""
    rate = policy.weight_bytes_per_second
    return math.ceil(vms * model.weight_bytes / rate * 1000)


def _needed(demand: float, model: pb.Model, policy: pb.Policy) -> int:
    capacity = model.vm_tokens_per_second
    return max(1, math.ceil(demand * policy.headroom / capacity))


def _steps(
    phase: Phase, policy: pb.Policy, models: dict[str, pb.Model]
) -> list[Step]:
    if phase.name == BASE:
        what = f'hold {len(phase.mix.slots)} VMs for the base load'
        return [Step(0, what, phase.mix.reason(), phase.mix.price)]
    count = len(phase.mix.slots)
    booted = phase.order_at + policy.boot_ms
    loading = load_ms(count, models[phase.model], policy)
    hours = (phase.gives_back_at - phase.order_at) / _HOUR_MS
    cost = phase.mix.price * hours
    return [
        Step(
            phase.order_at,
            f'order {count} VMs for {phase.name}, {cost:.2f} in all',
            phase.mix.reason(),
            phase.mix.price,
        ),
        Step(
            booted,
            f'load {phase.model} on {count} VMs',
            f'the weight store gives all of them {loading} ms',
        ),
        Step(
            booted + loading,
            f'warm prefixes for {phase.name}',
            f'takes {policy.warmup_ms} ms, {policy.margin_ms} ms to spare',
        ),
        Step(phase.opens_at, f'{phase.name} opens', 'declared start'),
        Step(
            phase.gives_back_at,
            f'drain and give back {count} VMs',
            f'{policy.linger_ms} ms after the end',
        ),
    ]


def _when(ms: int) -> str:
    if not ms:
        return 'always             '
    moment = datetime.datetime.fromtimestamp(ms / 1000, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S')


_WIDTH = 60


def _timeline(phases: ty.Iterable[Phase]) -> list[str]:
    """Draw each event: ``.`` getting ready, ``#`` open, ``-`` lingering."""
    events = [phase for phase in phases if phase.name != BASE]
    if not events:
        return []
    first = min(phase.order_at for phase in events)
    last = max(phase.gives_back_at for phase in events)
    scale = _WIDTH / max(1, last - first)
    lines = ['']
    for phase in events:
        start = int((phase.order_at - first) * scale)
        opens = int((phase.opens_at - first) * scale)
        ends = int((phase.gives_back_at - first) * scale)
        bar = ' ' * start + '.' * (opens - start) + '#' * (ends - opens)
        lines.append(f'{phase.name:>16} |{bar:<{_WIDTH}}|')
    return lines
