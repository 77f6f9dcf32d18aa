"""peridotmast-load: load and experiments."""

from __future__ import annotations

import sys
import typing as ty

import click

from peridotmast.cli import _program
from peridotmast import green
from peridotmast.load import compare as compare_
from peridotmast.load import config_run
from peridotmast.load import diff
from peridotmast.load import event as event_
from peridotmast.load import experiment
from peridotmast.load import explain
from peridotmast.load import lease_trials
from peridotmast.load import overhead as overhead_
from peridotmast.load import overload as overload_
from peridotmast.load import platform_calls
from peridotmast.load import slopes as slopes_
from peridotmast.load import soak as soak_
from peridotmast import logs

_Command = ty.Callable[..., ty.Any]


@click.group()
def main() -> None:
    """Measure a fleet of stand-ins, on loopback, in bounded time."""
    green.setup()
    logs.setup('critical')


def _common(command: _Command) -> _Command:
    """Add the options that every experiment has."""
    seed = click.option('--seed', default=7, show_default=True)
    out = click.option('--out', required=True, help='Folder for the report.')
    return seed(out(command))


def _progress(line: str) -> None:
    click.echo(f'\r{line:<60}', nl=False, err=True)


def _end(broken: list[str], out: str) -> None:
    """Say how it ended; exit with 1 where a promise broke."""
    click.echo(f'\nreport in {out}/report.json', err=True)
    for name in broken:
        click.echo(f'broken: {name}', err=True)
    sys.exit(1 if broken else 0)


@main.command()
@click.option('--seconds', default=40.0, show_default=True)
@click.option('--processes', is_flag=True, help='Each router is a process.')
@_common
def soak(seconds: float, processes: bool, seed: int, out: str) -> None:
    """Run random load with every kind of fault and judge the promises."""
    broken = soak_.run(seconds, seed, out, _progress, processes)
    if broken:
        line = soak_.reproduction_command(seconds, seed, processes)
        click.echo(f'\nseed {seed} fails, again: {line}', err=True)
    _end(broken, out)


@main.command()
@_common
def compare(seed: int, out: str) -> None:
    """Run this policy and the baseline under the same faults."""
    _end(compare_.run(seed, out, _progress), out)


@main.command()
@_common
def overload(seed: int, out: str) -> None:
    """Run at three times the fleet's capacity."""
    _end(overload_.run(seed, out, _progress), out)


@main.command()
@_common
def overhead(seed: int, out: str) -> None:
    """Measure what a router adds to an answer."""
    _end(overhead_.run(seed, out, _progress), out)


@main.command()
@_common
def event(seed: int, out: str) -> None:
    """Open a live event on planned, fixed and reactive capacity."""
    _end(event_.run(seed, out, _progress), out)


@main.command('config')
@click.option('--nodes', default=8, show_default=True)
@click.option('--changes', default=50, show_default=True)
@_common
def config(nodes: int, changes: int, seed: int, out: str) -> None:
    """Time changes of configuration until they are in force everywhere."""
    _end(config_run.run(nodes, changes, seed, out, _progress), out)


@main.command()
@click.option('--trials', default=200, show_default=True)
@_common
def leases(trials: int, seed: int, out: str) -> None:
    """Hand a lease over under faults and look for stale orders."""
    _end(lease_trials.run(trials, seed, out, _progress), out)


@main.command('platform-calls')
@_common
def platform_calls_command(seed: int, out: str) -> None:
    """Count platform calls at 4, 8, 16 and 32 routers."""
    _end(platform_calls.run(seed, out, _progress), out)


@main.command()
@click.option('--router', default='', help='A router process to read too.')
@_common
def slopes(router: str, seed: int, out: str) -> None:
    """Measure every slope that docs/CAPACITY.md is worked out from."""
    _end(slopes_.run(seed, out, _progress, router), out)


@main.command('run')
@click.argument('path')
@click.option('--check', is_flag=True, help='Only check the experiment.')
@_common
def run_experiment(path: str, check: bool, seed: int, out: str) -> None:
    """Run the experiment file at PATH."""
    loaded, found = experiment.load(path)
    if found:
        click.echo(str(found), err=True)
        sys.exit(_program.BAD_SETTINGS)
    if not check:
        _end(experiment.run(loaded, seed, out, _progress), out)


@main.command('explain')
@click.argument('logs', nargs=-1, required=True)
@click.option('--out', default='explained', show_default=True)
def explain_logs(logs: tuple[str, ...], out: str) -> None:
    """Tell from routers' LOGS why requests were late or lost."""
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
