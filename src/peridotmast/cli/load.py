"""peridotmast-load: load tests and experiments."""

from __future__ import annotations

import json
import sys
import typing as ty

import click

from peridotmast.cli import _program
from peridotmast import green
from peridotmast.load import brittle as brittle_
from peridotmast.load import compare as compare_
from peridotmast.load import config_run
from peridotmast.load.crowds import crowd as crowd_
from peridotmast.load.crowds import play as crowd_play
from peridotmast.load import diff
from peridotmast.load import event as event_
from peridotmast.load import experiment
from peridotmast.load import explain
from peridotmast.load import lease_trials
from peridotmast.load import overhead as overhead_
from peridotmast.load import overload as overload_
from peridotmast.load import platform_calls
from peridotmast.load import rollout_scenario
from peridotmast.load import rollouts as rollouts_
from peridotmast.load import slopes as slopes_
from peridotmast.load import soak as soak_
from peridotmast import logs

_Command = ty.Callable[..., ty.Any]


@click.group()
def main() -> None:
    """Measure a fleet of stand-ins on loopback, in bounded time."""
    green.setup()
    logs.setup('critical')


def _common_options(command: _Command) -> _Command:
    """Add the options common to all experiments."""
    seed = click.option('--seed', default=7, show_default=True)
    out = click.option('--out', required=True, help='Folder for the report.')
    return seed(out(command))


def _progress(line: str) -> None:
    click.echo(f'\r{line:<60}', nl=False, err=True)


def _exit_with_result(broken: list[str], out: str) -> None:
    """Print the result; exit with 1 if a promise was broken."""
    click.echo(f'\nreport in {out}/report.json', err=True)
    for name in broken:
        click.echo(f'broken: {name}', err=True)
    sys.exit(1 if broken else 0)


@main.command()
@click.option('--seconds', default=40.0, show_default=True)
@click.option(
    '--processes', is_flag=True, help='Run each router as a process.'
)
@_common_options
def soak(seconds: float, processes: bool, seed: int, out: str) -> None:
    """Run random load with every kind of fault and check the promises."""
    broken = soak_.run(seconds, seed, out, _progress, processes)
    if broken:
        line = soak_.reproduction_command(seconds, seed, processes)
        click.echo(f'\nseed {seed} fails; repeat with: {line}', err=True)
    _exit_with_result(broken, out)


@main.command()
@click.option('--routers', default=3, show_default=True)
@click.option('--upstreams', default=6, show_default=True)
@click.option('--slots', default=6, show_default=True)
@click.option('--waiting', default=1, show_default=True)
@click.option('--limit', default=3, show_default=True)
@click.option('--work-ms', default=200.0, show_default=True)
@click.option('--seconds', default=15.0, show_default=True)
@click.option(
    '--trouble',
    default=brittle_.Trouble.NONE.value,
    show_default=True,
    type=click.Choice([t.value for t in brittle_.Trouble]),
)
@click.option('--leave-ms', default=0, help='Callers leave after this time.')
@click.option('--at-once', is_flag=True, help='Callers ask again at once.')
@_common_options
def brittle(trouble: str, seed: int, out: str, **values: ty.Any) -> None:
    """Press on upstreams that fall over if they must refuse too much."""
    play = brittle_.Play(trouble=brittle_.Trouble(trouble), **values)
    _exit_with_result(brittle_.run(play, seed, out, _progress), out)


@main.command()
@click.option(
    '--kind',
    required=True,
    type=click.Choice([kind.value for kind in crowd_.Kind]),
    help='What the clients send.',
)
@click.option('--clients', default=160, show_default=True)
@click.option(
    '--server',
    default='callers',
    show_default=True,
    type=click.Choice([server.name.lower() for server in crowd_.Server]),
    help='Server of the router that they connect to.',
)
@click.option('--rounds', default=1, help='Times that each connects.')
@click.option('--memory-mb', default=crowd_play.MEMORY_MB, show_default=True)
@click.option('--descriptors', default=crowd_play.DESCRIPTORS)
@click.option('--work-ms', default=20.0, help='Work of a request.')
@click.option('--stops', is_flag=True, help='Stop the router meanwhile.')
@click.option(
    '--troubles',
    is_flag=True,
    help='Change the limits and reclaim an upstream meanwhile.',
)
@_common_options
def crowd(
    kind: str,
    clients: int,
    server: str,
    rounds: int,
    seed: int,
    out: str,
    **values: ty.Any,
) -> None:
    """Play a crowd of clients that do not behave against a router."""
    crowd = crowd_.Crowd(
        crowd_.Kind(kind), clients, crowd_.Server[server.upper()], rounds
    )
    play = crowd_play.Play(crowd, **values)
    _exit_with_result(crowd_play.run(play, seed, out, _progress), out)


@main.command()
@_common_options
def compare(seed: int, out: str) -> None:
    """Compare the policy with the baseline under the same faults."""
    _exit_with_result(compare_.run(seed, out, _progress), out)


@main.command()
@_common_options
def overload(seed: int, out: str) -> None:
    """Run at three times the fleet's capacity."""
    _exit_with_result(overload_.run(seed, out, _progress), out)


@main.command()
@_common_options
def overhead(seed: int, out: str) -> None:
    """Measure the overhead of a router on answers."""
    _exit_with_result(overhead_.run(seed, out, _progress), out)


@main.command()
@_common_options
def event(seed: int, out: str) -> None:
    """Open a live event with planned, fixed and reactive capacity."""
    _exit_with_result(event_.run(seed, out, _progress), out)


@main.command('config')
@click.option('--nodes', default=8, show_default=True)
@click.option('--changes', default=50, show_default=True)
@_common_options
def config(nodes: int, changes: int, seed: int, out: str) -> None:
    """Measure how long configuration changes take to be in force."""
    _exit_with_result(
        config_run.run(nodes, changes, seed, out, _progress), out
    )


@main.command()
@click.option('--trials', default=200, show_default=True)
@_common_options
def leases(trials: int, seed: int, out: str) -> None:
    """Hand over a lease under faults and check for stale orders."""
    _exit_with_result(lease_trials.run(trials, seed, out, _progress), out)


@main.command('platform-calls')
@_common_options
def platform_calls_command(seed: int, out: str) -> None:
    """Count platform calls at 4, 8, 16 and 32 routers."""
    _exit_with_result(platform_calls.run(seed, out, _progress), out)


@main.command()
@click.option(
    '--router',
    default='',
    help='HTTP address of a router process to measure too.',
)
@_common_options
def slopes(router: str, seed: int, out: str) -> None:
    """Measure every slope from which docs/CAPACITY.md is calculated."""
    _exit_with_result(slopes_.run(seed, out, _progress, router), out)


@main.command('rollouts')
@click.option('--count', default=500, show_default=True, help='Of each kind.')
@click.option(
    '--version',
    'badnesses',
    multiple=True,
    type=click.Choice([b.value for b in rollout_scenario.Badness]),
    help='Simulate only this kind of target.',
)
@click.option(
    '--trouble',
    'troubles',
    multiple=True,
    type=click.Choice([t.value for t in rollout_scenario.Trouble]),
    help='Simulate only this trouble.',
)
@click.option(
    '--swapped',
    is_flag=True,
    help='Record each outcome for the other version; the checks must fail.',
)
@click.option('--seed', default=0, show_default=True)
@click.option('--out', required=True, help='Folder for the report.')
def rollouts_command(
    count: int,
    badnesses: tuple[str, ...],
    troubles: tuple[str, ...],
    swapped: bool,
    seed: int,
    out: str,
) -> None:
    """Simulate roll-outs of good and bad versions under trouble."""
    broken = rollouts_.run(
        count, seed, out, _progress, badnesses, troubles, swapped
    )
    with open(f'{out}/report.json', encoding='utf-8') as file:
        click.echo('\n' + '\n'.join(rollouts_.table(json.load(file)['kinds'])))
    _exit_with_result(broken, out)


@main.command('run')
@click.argument('path')
@click.option('--check', is_flag=True, help='Only check the experiment.')
@_common_options
def run_experiment(path: str, check: bool, seed: int, out: str) -> None:
    """Run the experiment file at PATH."""
    loaded, found = experiment.load(path)
    if found:
        click.echo(str(found), err=True)
        sys.exit(_program.BAD_SETTINGS)
    if not check:
        _exit_with_result(experiment.run(loaded, seed, out, _progress), out)


@main.command('explain')
@click.argument('logs', nargs=-1, required=True)
@click.option('--out', default='explained', show_default=True)
def explain_logs(logs: tuple[str, ...], out: str) -> None:
    """Explain from routers' LOGS why requests were late or lost."""
    try:
        click.echo('\n'.join(explain.run(logs, out)))
    except OSError as exc:
        click.echo(str(exc), err=True)
        sys.exit(_program.BAD_SETTINGS)


@main.command('diff')
@click.argument('first')
@click.argument('second')
def diff_reports(first: str, second: str) -> None:
    """Compare the reports in two folders."""
    try:
        click.echo('\n'.join(diff.lines(first, second)))
    except (OSError, ValueError) as exc:
        click.echo(str(exc), err=True)
        sys.exit(_program.BAD_SETTINGS)
