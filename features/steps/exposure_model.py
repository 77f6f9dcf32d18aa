"""Stateful model of the allowances that holders give to routers."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from peridotmast.rollout import exposure_ledger

SHARE, SLACK = 0.1, 20
ROUTERS = strategies.sampled_from(['a', 'b', 'c'])
COUNTS = strategies.integers(1, 30)

SEED = 20260903
"""Seed of the histories."""


class Router:
    """One run of a router: what it has sent, and what it may send."""

    def __init__(self, run):
        self.run = run
        self.requests = 0
        self.exposed = 0
        self.allowance = 0


@hypothesis.seed(SEED)
class ExposureHistory(stateful.RuleBasedStateMachine):
    """Three routers, and holders that share out trial requests.

    Reports and allowances may arrive late or never, routers restart, and a
    former holder goes on for a while. Fails if the requests at the target ever
    exceed the bound.
    """

    def __init__(self):
        super().__init__()
        self.runs = 0
        self.sent = 0
        self.exposed = 0
        self.stored = 0
        self.store_is_up = True
        self.routers = {}
        for name in 'abc':
            self.restart(name)
        self.holder = self.make_ledger()
        self.former = None
        self.reported = {}

    def make_ledger(self):
        return exposure_ledger.ExposureLedger(SHARE, SLACK, self.stored)

    @stateful.rule(name=ROUTERS)
    def restart(self, name):
        self.runs += 1
        self.routers[name] = Router((name, self.runs))

    @stateful.rule(name=ROUTERS, count=COUNTS)
    def requests(self, name, count):
        self.routers[name].requests += count
        self.sent += count

    @stateful.rule(name=ROUTERS, count=COUNTS)
    def trials(self, name, count):
        router = self.routers[name]
        count = min(count, router.allowance - router.exposed)
        router.exposed += count
        router.requests += count
        self.sent += count
        self.exposed += count

    @stateful.rule(name=ROUTERS)
    def report(self, name):
        router = self.routers[name]
        self.reported[router.run] = router.requests
        for ledger in filter(None, (self.holder, self.former)):
            ledger.report(router.run, router.allowance)

    @stateful.rule(wanted=COUNTS)
    def raise_ceiling(self, wanted):
        self.holder.raise_ceiling(wanted, sum(self.reported.values()))

    @stateful.rule(is_reply_lost=strategies.booleans())
    def store(self, is_reply_lost):
        if self.store_is_up:
            self.stored = self.holder.write()
            if not is_reply_lost:
                self.holder.confirm()

    @stateful.rule()
    def fail_or_recover_store(self):
        self.store_is_up = not self.store_is_up

    @stateful.rule(name=ROUTERS, count=COUNTS, is_former=strategies.booleans())
    def give(self, name, count, is_former):
        ledger = self.former if is_former and self.former else self.holder
        router = self.routers[name]
        ledger.give(router.run, count)
        allowance = ledger.allowance(router.run)
        router.allowance = max(router.allowance, allowance)

    @stateful.rule()
    def change_holder(self):
        """A new holder takes over; the former one does not know it yet."""
        if self.store_is_up:
            self.former, self.holder = self.holder, self.make_ledger()

    @stateful.invariant()
    def bound_is_kept(self):
        bound = SHARE * self.sent + SLACK
        assert self.exposed <= bound, (self.exposed, bound)
