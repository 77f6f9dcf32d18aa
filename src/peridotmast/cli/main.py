"""peridotmast: the operators' command line."""

from __future__ import annotations

import datetime
import re
import sys
import typing as ty

import click

from peridotmast.cli import quickstart as quickstart_
from peridotmast.cli import rollout as rollout_
from peridotmast.client import caller as caller_
from peridotmast.coordination import config_feed
from peridotmast import failures
from peridotmast import green
from peridotmast import ini
from peridotmast import logs
from peridotmast import rpc
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.schema import peridotmast_pb2_grpc as pb_grpc

_CALL_TIMEOUT_MS = 8000
_EXIT_CONFLICT = 3
_EXIT_NOT_IN_FORCE = 4


class Operator:
    """A connection to one router's operator RPCs."""

    def __init__(self, address: str, tls: pb.TlsSettings) -> None:
        self._address = address
        self._client = rpc.RpcClient(pb_grpc.OperatorsStub, tls)

    def call(self, method: str, request: ty.Any) -> ty.Any:
        """Return the reply; if the call fails, print why and exit with 1."""
        reply = self._client.call(
            self._address, method, request, _CALL_TIMEOUT_MS
        )
        if isinstance(reply, failures.Failure):
            click.echo(f'{method}: {reply.reason}: {reply.detail}', err=True)
            sys.exit(1)
        return reply


@click.group()
@click.option(
    '--router',
    envvar='PERIDOTMAST_ROUTER',
    default='127.0.0.1:8701',
    show_default=True,
    help='Peer address of any router.',
)
@click.option('--cert', default='', help='Certificate of the operator.')
@click.option('--key', default='', help='Key of the certificate.')
@click.option('--ca', default='', help='CA certificates of the routers.')
@click.pass_context
def main(
    ctx: click.Context, router: str, cert: str, key: str, ca: str
) -> None:
    """Operate a peridotmast fleet."""
    green.setup()
    logs.setup('warning')
    tls = pb.TlsSettings(cert_file=cert, key_file=key, ca_file=ca)
    ctx.obj = Operator(router, tls)


@main.group()
def config() -> None:
    """Check, commit and show the product's own document."""


@config.command('check')
@click.argument('path')
def config_check(path: str) -> None:
    """Check a document without a router."""
    found = config_feed.check(_read(path))
    for finding in found:
        click.echo(f'{path}: {finding}', err=True)
    if found:
        sys.exit(2)
    click.echo(f'{path}: no findings')


@config.command('apply')
@click.argument('path')
@click.option('--base', type=int, help='Version on which the change is based.')
@click.option('--comment', default='', help='Comment for the history.')
@click.option(
    '--wait/--no-wait', default=True, help='Wait until it is in force.'
)
@click.pass_obj
def config_apply(
    operator: Operator,
    path: str,
    base: ty.Optional[int],
    comment: str,
    wait: bool,
) -> None:
    """Commit a document and wait until it is in force everywhere."""
    if base is None:
        base = operator.call(
            'ConfigStatus', pb.ConfigStatusRequest()
        ).document_version
    _commit(operator, _read(path), base, comment, path, wait)


def _commit(
    operator: Operator,
    document: str,
    base: int,
    comment: str,
    path: str = 'document',
    wait: bool = True,
) -> None:
    """Commit `document`; if it is rejected, exit with the matching code."""
    reply = operator.call(
        'ConfigApply',
        pb.ConfigApplyRequest(
            document=document, base_version=base, comment=comment
        ),
    )
    if reply.conflict:
        click.echo(
            f'conflict: based on version {base}, but version '
            f'{reply.current_version} is committed:\n'
            f'{reply.current_document}',
            err=True,
        )
        sys.exit(_EXIT_CONFLICT)
    for finding in reply.findings:
        click.echo(f'{path}: {finding.place}: {finding.text}', err=True)
    if reply.findings:
        sys.exit(2)
    click.echo(f'committed version {reply.version}')
    if wait:
        _wait_in_force(operator, reply.version)


def _wait_in_force(operator: Operator, version: int) -> None:
    behind: list[ty.Any] = []
    for _ in range(50):
        status = operator.call('ConfigStatus', pb.ConfigStatusRequest())
        behind = [n for n in status.nodes if n.document_version < version]
        if not behind:
            click.echo(f'in force at {len(status.nodes)} routers')
            return
        green.sleep_ms(200)
    for node in behind:
        click.echo(
            f'{node.name}: {node.document_version} {node.reason}', err=True
        )
    sys.exit(_EXIT_NOT_IN_FORCE)


@config.command('status')
@click.option('--document', is_flag=True, help='Print the document too.')
@click.pass_obj
def config_status(operator: Operator, document: bool) -> None:
    """Show the versions in force at each router."""
    status = operator.call('ConfigStatus', pb.ConfigStatusRequest())
    click.echo(f'{"router":<28} {"routes":>10} {"document":>10}')
    for node in sorted(status.nodes, key=lambda node: node.name):
        click.echo(
            f'{node.name:<28} {node.config_version:>10} '
            f'{node.document_version:>10} {node.reason}'
        )
    if document:
        click.echo(status.document)


@config.command('history')
@click.pass_obj
def config_history(operator: Operator) -> None:
    """Show the last changes."""
    reply = operator.call('ConfigHistory', pb.ConfigHistoryRequest())
    for change in reply.changes:
        click.echo(
            f'{_format_time(change.at_ms)} {change.by} {change.comment}'
        )


@main.group()
def event() -> None:
    """Manage live events, declared in the product's own document."""


@event.command('plan')
@click.pass_obj
def event_plan(operator: Operator) -> None:
    """Explain what will be ordered, when, why and at what cost."""
    for line in operator.call('EventPlan', pb.PlanRequest()).lines:
        click.echo(line)


@event.command('declare')
@click.argument('name')
@click.option('--start-ms', required=True, type=int, help='ms since 1970.')
@click.option('--duration-ms', default=3_600_000, show_default=True)
@click.option('--tokens-per-second', required=True, type=float)
@click.option('--model', required=True)
@click.pass_obj
def event_declare(
    operator: Operator,
    name: str,
    start_ms: int,
    duration_ms: int,
    tokens_per_second: float,
    model: str,
) -> None:
    """Add an event to the committed document."""
    status = operator.call('ConfigStatus', pb.ConfigStatusRequest())
    section = (
        f'\n[event {name}]\nstart_ms = {start_ms}\n'
        f'duration_ms = {duration_ms}\n'
        f'tokens_per_second = {tokens_per_second:g}\nmodel = {model}\n'
    )
    document = status.document.rstrip('\n') + '\n' + section
    _commit(operator, document, status.document_version, f'declare {name}')


@event.command('cancel')
@click.argument('name')
@click.pass_obj
def event_cancel(operator: Operator, name: str) -> None:
    """Remove an event from the committed document."""
    status = operator.call('ConfigStatus', pb.ConfigStatusRequest())
    title = re.escape(f'[event {name}]')
    document, found = re.subn(
        rf'(?ms)^{title}[ \t]*$.*?(?=^\[|\Z)', '', status.document
    )
    if not found:
        click.echo(f'no event {name}', err=True)
        sys.exit(1)
    _commit(operator, document, status.document_version, f'cancel {name}')


@event.command('list')
@click.pass_obj
def event_list(operator: Operator) -> None:
    """List the declared events."""
    status = operator.call('ConfigStatus', pb.ConfigStatusRequest())
    document, _ = ini.load_text(status.document, pb.Config)
    for item in document.events:
        click.echo(
            f'{item.name:<20} start_ms={item.start_ms} '
            f'tokens_per_second={item.tokens_per_second:g} '
            f'model={item.model}'
        )


@main.group()
def node() -> None:
    """Manage routers."""


@node.command('list')
@click.pass_obj
def node_list(operator: Operator) -> None:
    """List the routers, and the holder of the duties."""
    reply = operator.call('NodeList', pb.NodeListRequest())
    for item in reply.nodes:
        member = item.member
        state = _short_name(pb.MemberState, member.state)
        silent = '-' if item.silent_ms < 0 else f'{item.silent_ms} ms'
        click.echo(
            f'{member.name:<28} {state:<8} '
            f'{"ready" if member.ready else "not ready":<9} '
            f'{member.failure_domain:<16} {member.address} '
            f'{member.peer_address} silent {silent}'
        )
    lease = reply.lease
    if lease.holder:
        click.echo(
            f'duties: {lease.holder}, fencing {lease.fencing}, '
            f'{lease.left_ms} ms left'
        )
    else:
        click.echo('duties: no known holder')


@node.command('show')
@click.argument('name', default='')
@click.pass_obj
def node_show(operator: Operator, name: str) -> None:
    """Show what a router measures; without NAME, the one asked."""
    reply = operator.call('NodeShow', pb.NodeShowRequest(name=name))
    if reply.reason:
        click.echo(reply.reason, err=True)
        sys.exit(1)
    _print_scarcity(reply)
    _print_speeds(reply)


def _print_scarcity(reply: pb.NodeShowReply) -> None:
    refuse = 'yes' if reply.scarcity_refuse else 'no'
    click.echo(
        f'{reply.name}: scarcity order={reply.scarcity_order} refuse={refuse}'
    )
    for item in reply.services:
        click.echo(
            f'{item.name:<24} {"short" if item.short else "sufficient":<10} '
            f'scarcity={item.scarcity:.2f} running={item.running} '
            f'slots={item.slots} memory={item.memory} '
            f'memory_tokens={item.memory_tokens}'
        )


def _print_speeds(reply: pb.NodeShowReply) -> None:
    setting = pb.RouterSettings.Speeds.Name(reply.speeds_setting).lower()
    click.echo(f'{reply.name}: speeds = {setting}')
    for item in reply.speeds:
        click.echo(
            f'{item.upstream:<24} born={item.born} speed={item.speed:.2f} '
            f'samples={item.samples:.1f}'
        )


@node.command('drain')
@click.argument('name')
@click.pass_obj
def node_drain(operator: Operator, name: str) -> None:
    """Start draining a router, for a planned stop."""
    reply = operator.call('NodeDrain', pb.NodeDrainRequest(name=name))
    click.echo('begun' if reply.begun else reply.reason)
    sys.exit(0 if reply.begun else 1)


@main.group()
def upstream() -> None:
    """Show model engines and plain services."""


@upstream.command('list')
@click.pass_obj
def upstream_list(operator: Operator) -> None:
    """List the upstreams and their load."""
    reply = operator.call('UpstreamList', pb.UpstreamListRequest())
    for item in reply.upstreams:
        record = item.record
        state = _short_name(pb.UpstreamState, record.state)
        kind = 'reclaimable' if record.reclaimable else 'firm'
        click.echo(
            f'{record.upstream.name:<24} {state:<8} {kind:<11} '
            f'{record.upstream.failure_domain:<16} '
            f'{record.upstream.service} {record.upstream.address} '
            f'running={item.load.running} unread={item.load.unread} '
            f'breaker={item.health}'
        )


@main.group()
def request() -> None:
    """Show requests."""


@request.command('show')
@click.argument('request_id')
@click.pass_obj
def request_show(operator: Operator, request_id: str) -> None:
    """Show the routers' decisions on a request, oldest first."""
    reply = operator.call(
        'RequestShow', pb.RequestShowRequest(request_id=request_id)
    )
    if not reply.steps:
        click.echo(f'{request_id}: no router has a record of it', err=True)
        sys.exit(1)
    for step in reply.steps:
        click.echo(f'{_format_time(step.at_ms)} {step.router} {step.text}')


@main.command('resolve')
@click.argument('address')
@click.option('--failure-domain', default='', help="Caller's failure domain.")
def resolve(address: str, failure_domain: str) -> None:
    """Ask the chat address ADDRESS for the addresses to use."""
    found = caller_.Caller([address], '', failure_domain).resolve()
    click.echo('\n'.join(found))


@main.command('send')
@click.argument('address')
@click.argument('prompt')
@click.option('--key', required=True, help='API key of the team.')
@click.option('--model', required=True, help='Name of the model.')
@click.option('--max-tokens', default=64, show_default=True)
def send(
    address: str, prompt: str, key: str, model: str, max_tokens: int
) -> None:
    """Send one chat request and print its answer as it streams."""
    answer = caller_.Caller([address], key).chat(
        model,
        prompt,
        max_tokens,
        on_text=lambda text: click.echo(text, nl=False),
    )
    click.echo()
    if answer.failure is not None:
        click.echo(f'{answer.failure.kind.value}: {answer.failure.reason}')
        sys.exit(1)


main.add_command(quickstart_.quickstart)
main.add_command(rollout_.rollout)


def _short_name(states: ty.Any, state: int) -> str:
    """Return the short name of a state from the schema."""
    return states.Name(state).rpartition('_')[2].lower()


def _format_time(ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(ms / 1000, datetime.UTC)
    return moment.isoformat(sep=' ', timespec='milliseconds')[:23]


def _read(path: str) -> str:
    try:
        with open(path, encoding='utf-8') as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as exc:
        click.echo(f'{path}: {exc}', err=True)
        sys.exit(2)
