"""peridotmast rollout: commands on roll-outs of versions."""

from __future__ import annotations

import sys
import typing as ty

import click

from peridotmast.schema import peridotmast_pb2 as pb


@click.group()
def rollout() -> None:
    """Show how services move to upstreams of another version."""


@rollout.command('list')
@click.pass_obj
def rollout_list(operator: ty.Any) -> None:
    """List the roll-outs, and stored orders that can't be carried out."""
    reply = operator.call('RolloutList', pb.RolloutListRequest())
    for state in sorted(reply.rollouts, key=lambda state: state.service):
        click.echo(_describe(state))
    for finding in reply.findings:
        click.echo(f'{finding.place}: {finding.text}', err=True)


@rollout.command('show')
@click.argument('service')
@click.pass_obj
def rollout_show(operator: ty.Any, service: str) -> None:
    """Show exposure, evidence and open conditions of one roll-out."""
    reply = operator.call(
        'RolloutShow', pb.RolloutShowRequest(service=service)
    )
    if reply.failure:
        click.echo(reply.failure, err=True)
        sys.exit(1)
    click.echo(_describe(reply.state))
    if reply.waiting_for:
        click.echo(f'waiting for: {", ".join(reply.waiting_for)}')
    click.echo(
        f'{"route":<20} {"measure":<15} {"target bad":>12}'
        f' {"others bad":>12} {"log evidence":>13}'
    )
    for row in sorted(reply.rows, key=lambda row: -row.evidence):
        click.echo(
            f'{row.route or "all routes":<20} {row.measure:<15}'
            f' {_share(row.target_bad, row.target_count):>12}'
            f' {_share(row.other_bad, row.other_count):>12}'
            f' {row.evidence:>13.1f}'
        )


def _describe(state: pb.RolloutState) -> str:
    """Return one line on the state of a roll-out."""
    phase = pb.RolloutPhase.Name(state.phase)
    phase = phase.removeprefix('ROLLOUT_PHASE_').lower()
    return (
        f'{state.service:<20} target={state.target} phase={phase}'
        f' reason={state.reason or "-"} exposed={state.exposed}'
        f' bound={state.bound} left_ms={state.left_ms}'
        f' fencing={state.fencing}'
    )


def _share(part: int, whole: int) -> str:
    return f'{part} of {whole}'
