"""Model of engines with too few slots, without a network.

The slots of all engines share one queue, ordered by urgency, in which requests
of a later level are preempted and then prefilled again. Routers see the load
as of the last tick. Run as a program, it prints the table of the design page.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import operator
import random
import statistics

from peridotmast.serving.scarcity import admission as admission_
from peridotmast.serving.scarcity import measure
from peridotmast.serving.scarcity import order
from peridotmast.serving import urgency

SLOTS, ROUTERS = 48, 4
STEP_MS, TICK_MS = 10, 250
DURATION_MS, WARM_UP_MS, COOL_DOWN_MS = 50_000, 5_000, 20_000
PREFILL_RATE, MAX_TRIES = 36.0, 3
RATIOS, SEEDS = (0.8, 1.0, 1.3, 1.8), (1, 2, 3)
MODES = ('slack', 'priority', 'refuse')


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request."""

    priority: int
    tokens: int
    decode_ms: int
    target_ms: int
    limit_ms: int
    work_share: float
    prefill_ms: float


KINDS = (
    Kind(0, 39_000, 1500, 1500, 8000, 0.4, 39_000 / PREFILL_RATE),
    Kind(1, 6_000, 800, 800, 5000, 0.3, 6_000 / PREFILL_RATE),
    Kind(2, 500, 400, 400, 3000, 0.3, 500 / PREFILL_RATE),
)


class Attempt:
    """One attempt of a request."""

    is_waiting = True
    first_at = None

    def __init__(self, kind, arrived_at, first_arrival, tries):
        self.kind, self.tries = kind, tries
        self.arrived_at, self.first_arrival = arrived_at, first_arrival
        self.prefill_left, self.decode_left = kind.prefill_ms, kind.decode_ms


class Router:
    """The decisions of one router."""

    def __init__(self, name, mode):
        self.mode, self.admission = mode, admission_.Admission(name)
        self.state = measure.ScarcityState()

    def tick(self, load, now):
        figures = measure.Figures(load, SLOTS, 0, 1, min(load, SLOTS))
        self.state.update(figures, now)
        self.admission.tick(figures, ROUTERS, now)

    def offer(self, attempt, now):
        """Admit an attempt and set its level, or return a retry time."""
        kind, verdict = attempt.kind, admission_.Verdict()
        args = kind.priority, kind.tokens, kind.target_ms, PREFILL_RATE
        if self.mode == 'refuse':
            offer = kind.priority, '', kind.limit_ms, now
            verdict = self.admission.decide(*offer)
        if verdict.retry_ms:
            return verdict.retry_ms
        by_priority = self.mode != 'slack' and self.state.is_short
        level = order.level_by_priority if by_priority else urgency.level
        latest = order.SHARE_LEVEL if verdict.by_share else 9
        attempt.level = min(latest, level(*args))
        attempt.router, attempt.by_share = self, verdict.by_share
        self.admission.begin(kind.priority, 0, verdict.by_share)
        return 0


class Model:
    """A run of the model at a ratio of offered work to capacity."""

    def __init__(self, mode, ratio, seed=1):
        # Separate, so that all modes have the same arrivals.
        self._arrivals, self._choices = random.Random(seed), random.Random(1)
        self._ratio = ratio
        self._routers = [Router(f'r{n}', mode) for n in range(ROUTERS)]
        self._active = []
        self._returns = collections.defaultdict(list)
        self.offered, self.in_target, self.served, self.timed_out = (
            collections.Counter() for _ in range(4)
        )
        self.refused = self.refused_half_idle = self.preempted = 0

    def run(self):
        for now in range(0, DURATION_MS, STEP_MS):
            for router in self._routers if now % TICK_MS == 0 else ():
                router.tick(len(self._active), now)
            for kind in KINDS:
                hold_ms = kind.prefill_ms + kind.decode_ms
                rate = kind.work_share * self._ratio * SLOTS / hold_ms
                time_ms = self._arrivals.expovariate(rate)
                while time_ms < STEP_MS:
                    self._offer(Attempt(kind, now, now, 1), now)
                    time_ms += self._arrivals.expovariate(rate)
            for attempt in self._returns.pop(now, ()):
                self._offer(attempt, now)
            self._advance(now)
        return self

    def _offer(self, attempt, now):
        self._count(self.offered, attempt, attempt.tries == 1)
        retry_ms = self._choices.choice(self._routers).offer(attempt, now)
        if not retry_ms:
            self._active.append(attempt)
            return
        self.refused += 1
        self.refused_half_idle += 2 * len(self._active) < SLOTS
        if attempt.tries < MAX_TRIES:
            at = now + -(-retry_ms // STEP_MS) * STEP_MS
            origin, tries = attempt.first_arrival, attempt.tries + 1
            self._returns[at].append(Attempt(attempt.kind, at, origin, tries))

    def _count(self, counter, attempt, is_counted=True):
        # Later requests might not end, or return, within the run.
        last = DURATION_MS - COOL_DOWN_MS
        if is_counted and WARM_UP_MS <= attempt.first_arrival < last:
            counter[attempt.kind.priority] += 1

    def _advance(self, now):
        """Run the most urgent requests for one step."""
        key = operator.attrgetter('level', 'is_waiting', 'arrived_at')
        self._active.sort(key=key)
        for number, attempt in enumerate(self._active):
            was_running = not attempt.is_waiting
            attempt.is_waiting = number >= SLOTS
            if attempt.is_waiting and was_running:
                self.preempted += 1
                attempt.prefill_left = attempt.kind.prefill_ms
            if attempt.is_waiting:
                continue
            if attempt.prefill_left > 0:
                attempt.prefill_left -= STEP_MS
                if attempt.prefill_left <= 0 and attempt.first_at is None:
                    attempt.first_at = now + STEP_MS
            else:
                attempt.decode_left -= STEP_MS
        active, self._active = self._active, []
        for attempt in active:
            is_late = now - attempt.arrived_at >= attempt.kind.limit_ms
            if attempt.decode_left <= 0 or is_late:
                self._end(attempt, now)
            else:
                self._active.append(attempt)

    def _end(self, attempt, now):
        kind, hold_ms, by_share = attempt.kind, None, attempt.by_share
        if attempt.decode_left <= 0:
            self._count(self.served, attempt)
            in_target = attempt.first_at - attempt.arrived_at <= kind.target_ms
            self._count(self.in_target, attempt, in_target)
            hold_ms = now - attempt.first_at + kind.prefill_ms
        else:
            self._count(self.timed_out, attempt)
        attempt.router.admission.end(kind.priority, 0, hold_ms, by_share)

    def shares(self, counter):
        """Return the share of each kind that `counter` counts."""
        return [counter[k] / max(1, self.offered[k]) for k in range(3)]


def main():
    for ratio, mode in itertools.product(RATIOS, MODES):
        runs = [Model(mode, ratio, seed).run() for seed in SEEDS]
        cells = [str(ratio), mode]
        for name in ('in_target', 'served', 'timed_out'):
            shares = [run.shares(getattr(run, name)) for run in runs]
            means = map(statistics.mean, zip(*shares, strict=True))
            cells.append(' / '.join(f'{mean:.2f}' for mean in means))
        for name in ('preempted', 'refused'):
            mean = statistics.mean(getattr(run, name) for run in runs)
            cells.append(f'{mean:.0f}')
        print(f'| {" | ".join(cells)} |')


if __name__ == '__main__':
    main()
