"""peridotmast-load: load and experiments."""

from __future__ import annotations

import sys
import typing as ty

import click

from peridotmast.cli import _program
from peridotmast.load import compare as compare_
from peridotmast.load import overhead as overhead_
from peridotmast.load import overload as overload_
from peridotmast.load import soak as soak_

_Command = ty.Callable[..., ty.Any]


@click.group()
def main() -> None:
    """Measure a fleet of stand-ins, on loopback, in bounded time."""
    _program.begin('critical')


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
@_common
def soak(seconds: float, seed: int, out: str) -> None:
    """Run random load with every kind of fault and judge the promises."""
    _end(soak_.run(seconds, seed, out, _progress), out)


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
