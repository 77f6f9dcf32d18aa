"""Writes the pages that are made from the schema and from docstrings.

Usage: python tools/pages.py [--check]

With --check nothing is written; it ends with 1 where a page differs.
"""

from __future__ import annotations

import ast
import pathlib
import sys
import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / 'src' / 'peridotmast'
SETTINGS = ROOT / 'docs' / 'operators' / 'settings.md'
REFERENCE = ROOT / 'docs' / 'reference.md'

INSTALL = """# Install and settings

Python 3.11 or newer; `pip install .` in a checkout gives the programs. Each
entry VM runs `peridotmast-router --config router.ini`; on the users' platform
`deploy/system.toml` says how, and `deploy/router.ini` is filled in with what
the platform knows. Nothing is written to a disk but the trace file, if one is
set. `--check` only checks: all findings come together with file, line and key,
and the exit code is 2. The file may change while the program runs, with SIGHUP
or without: what is good is taken in, what is malformed is logged and changes
nothing. Addresses that are listened on stay until the next start.

The sections and keys below are made from the schema.
"""

FILES = (
    ('Settings of peridotmast-router', pb.RouterFile),
    ('Settings of peridotmast-standin', pb.StandinFile),
    ('The configuration', pb.Config),
    ('Experiment files of peridotmast-load', pb.ExperimentFile),
)

LIBRARY = (
    'coordination/beacons',
    'coordination/config_feed',
    'coordination/fleet_clock',
    'coordination/kind_watch',
    'coordination/lease',
    'coordination/members',
    'coordination/objects',
    'coordination/registry',
    'coordination/upstream_feed',
    'coordination/watchers',
    'duties/capacity_plan',
    'serving/demand',
    'duties/event_plan',
    'duties/duty_holder',
    'duties/required_capacity',
    'duties/order_tracker',
    'duties/service_reconciler',
    'duties/scaler',
    'duties/usage_reporter',
    'serving/dispatcher',
    'serving/gateway',
    'serving/health',
    'serving/stream_migrator',
    'serving/placement',
    'serving/quota',
    'serving/retry_budget',
    'serving/stream_relay',
    'serving/upstreams',
    'serving/usage',
    'wire/caller_connection',
    'wire/http_client',
    'wire/connection',
    'wire/pool',
    'wire/request_body',
    'wire/server',
    'wire/strict_protocol',
    'router/fleet_state',
    'router/router',
    'router/serving',
    'embedded/fleet',
    'clock',
    'failures',
    'findings',
    'ini',
)


def settings_page() -> str:
    """Return the settings reference."""
    parts = [INSTALL]
    seen: set[str] = set()
    for title, kind in FILES:
        parts.append(f'## {title}\n')
        for field in kind.DESCRIPTOR.fields:
            rule = field.GetOptions().Extensions[pb.rule]
            name = f'{rule.section} NAME' if field.is_repeated else field.name
            parts.append(f'### `[{name}]`\n')
            message = field.message_type.name
            if message in seen:
                parts.append('As above.\n')
                continue
            seen.add(message)
            parts.append(_table(field.message_type))
    return '\n'.join(parts)


def _table(message: ty.Any) -> str:
    rows = ['| key | default | range | meaning |', '|---|---|---|---|']
    for field in message.fields:
        rule = field.GetOptions().Extensions[pb.rule]
        if not rule.help:
            continue
        default = 'required' if rule.required else rule.default or '(empty)'
        if rule.unit and not rule.required:
            default = f'{default} {rule.unit}'
        limits = ''
        if rule.HasField('min') or rule.HasField('max'):
            limits = f'{rule.min:g} to {rule.max:g} {rule.unit}'.strip()
        rows.append(f'| `{field.name}` | {default} | {limits} | {rule.help} |')
    return '\n'.join(rows) + '\n'


def reference_page() -> str:
    """Return the library reference."""
    parts = ['# Library reference\n\nMade from the docstrings.\n']
    for name in LIBRARY:
        tree = ast.parse((SOURCE / f'{name}.py').read_text())
        module = name.replace('/', '.')
        parts.append(f'## peridotmast.{module}\n')
        parts.append(f'{ast.get_docstring(tree)}\n')
        for node in tree.body:
            parts += _entry(node, '###')
    return '\n'.join(parts)


def _entry(node: ast.AST, level: str) -> list[str]:
    kinds = (ast.ClassDef, ast.FunctionDef)
    if not isinstance(node, kinds) or node.name.startswith('_'):
        return []
    text = ast.get_docstring(node)
    if not text:
        return []
    title = node.name
    if isinstance(node, ast.FunctionDef):
        title += f'({ast.unparse(node.args)})'
    parts = [f'{level} `{title}`\n', f'```text\n{text}\n```\n']
    if isinstance(node, ast.ClassDef):
        for item in node.body:
            parts += _entry(item, level + '#')
    return parts


def main() -> int:
    """Write the pages, or compare them."""
    pages = {SETTINGS: settings_page(), REFERENCE: reference_page()}
    stale = [
        path
        for path, text in pages.items()
        if not path.exists() or path.read_text() != text
    ]
    if '--check' in sys.argv:
        for path in stale:
            print(f'{path.relative_to(ROOT)} is out of date: tools/pages.py')
        return 1 if stale else 0
    for path in stale:
        path.write_text(pages[path])
    return 0


if __name__ == '__main__':
    sys.exit(main())
