"""peridotmast quickstart: routers and stand-ins in one process."""

from __future__ import annotations

import collections
import sys

import click

from peridotmast.cli import _program
from peridotmast.client import caller as caller_
from peridotmast.embedded import fleet as fleet_
from peridotmast.embedded import shape as shape_
from peridotmast import green
from peridotmast.load import oracle
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

_NOTICE_MS = 1500
_RECLAIM_DELAY_MS = 500
_REQUESTS = (
    ('kalnins', 'interactive', 'Draft a reply about the late cake', 40),
    ('noor', 'interactive', 'Which swimming slot is free on Sunday', 60),
    ('kalnins', 'draft', 'Summarise the lease of the bakery ' * 20, 300),
    (
        'noor',
        'draft',
        'Schedule the robotics term from this roster ' * 20,
        400,
    ),
)
_SERVICE_CALLS = 4


@click.command('quickstart')
@click.option('--once', is_flag=True, help='Exit after the first requests.')
@click.option(
    '--trace-file', default='', help='File for spans, as JSON lines.'
)
def quickstart(once: bool, trace_file: str) -> None:
    """Serve requests from stand-ins while a failure domain is reclaimed."""
    logs.setup('error')
    fleet = fleet_.Fleet(shape_.FleetShape(trace_file=trace_file), seed=1)
    fleet.start()
    click.echo(
        f'{len(fleet.routers)} routers, '
        f'{len(fleet.running_upstreams(shape_.ENGINE_SERVICE))} engines in '
        f'{len(fleet.domains)} failure domains'
    )
    run = _Run(fleet)
    run.run_requests()
    run.print_results()
    if once:
        fleet.stop()
        sys.exit(0 if run.complete_count == run.request_count else 1)
    _print_commands(fleet)
    _program.wait_for_stop()
    fleet.stop()


class _Run:
    def __init__(self, fleet: fleet_.Fleet) -> None:
        self._fleet = fleet
        self.request_count = 0
        self.complete_count = 0
        self._refused: collections.Counter[str] = collections.Counter()

    def run_requests(self) -> None:
        """Send the requests and reclaim a failure domain while they run."""
        fleet = self._fleet
        domain = fleet.domains[0]
        engine = fleet.add_engine(domain, reclaimable=True)
        green.sleep_ms(300)
        tasks = [
            green.spawn(self._chat, number, *spec)
            for number, spec in enumerate(_REQUESTS)
        ]
        tasks += [
            green.spawn(self._hold, number) for number in range(_SERVICE_CALLS)
        ]
        green.sleep_ms(_RECLAIM_DELAY_MS)
        click.echo(
            f'-- {domain} is reclaimed in {_NOTICE_MS} ms: {engine.name}'
        )
        fleet.reclaim(domain, _NOTICE_MS)
        for task in tasks:
            task.wait()

    def print_results(self) -> None:
        """Print the results."""
        totals = [
            getattr(instance.upstream, 'totals', {})
            for instance in self._fleet.instances
        ]
        rows = (
            ('asked', self.request_count),
            ('answered whole', self.complete_count),
            ('refused', sum(self._refused.values())),
            ('recomputed tokens', sum(t.get('recomputed', 0) for t in totals)),
            ('moved tokens', sum(t.get('moved', 0) for t in totals)),
            ('cost', f'{self._fleet.cost():.6f}'),
        )
        click.echo()
        for name, value in rows:
            click.echo(f'{name:<20} {value}')

    def _chat(
        self, number: int, team: str, work: str, prompt: str, tokens: int
    ) -> None:
        caller = self._fleet.caller(team, seed=number)
        answer = caller.chat(oracle.MODEL, prompt, tokens, work)
        self._record_answer(answer, oracle.chat_text(prompt, tokens))

    def _hold(self, number: int) -> None:
        caller = self._fleet.caller('noor', seed=100 + number)
        answer = caller.call(shape_.PLAIN_SERVICE, 'hold', f'seat {number}')
        self._record_answer(answer, f'done:seat {number}')

    def _record_answer(self, answer: caller_.Answer, wanted: str) -> None:
        self.request_count += 1
        if answer.failure is not None:
            self._refused[answer.failure.reason] += 1
        elif answer.complete and answer.text == wanted:
            self.complete_count += 1


def _print_commands(fleet: fleet_.Fleet) -> None:
    """Print commands for further requests."""
    router = fleet.routers[0]
    state = pb.MemberState.Name(router.members.me.state)
    click.echo(f'\n{router.cfg.name} ({state}) is listening; try:')
    click.echo(
        f'  curl -N http://{router.chat_address}/v1/chat/completions -H '
        "'Authorization: Bearer key-noor' -d '{"
        '"model": "draft-7b", "stream": true, "max_tokens": 20, '
        '"messages": [{"role": "user", "content": "Hello"}]}'
        "'"
    )
    click.echo(f'  peridotmast --router {router.peer_address} node list')
