"""Generates documentation pages from the schema and from docstrings.

Usage: python tools/pages.py [--check]

With --check nothing is written, and the exit code is 1 if a page is outdated.
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

Python 3.11 or newer is required; `pip install .` in a checkout installs the
programs. Each entry VM runs `peridotmast-router --config router.ini`. On the
users' platform, `deploy/system.toml` describes how to start it, and the
platform fills in the values that it knows in `deploy/router.ini`. The only
file that is written to disk is the trace file, if one is set. `--check` only
checks the settings: all findings are reported at once with file, line and key,
and the exit code is then 2. The file may be changed while the program runs,
with or without SIGHUP: valid settings are applied, malformed ones are logged
and ignored. Listen addresses change only at the next start.

The sections and keys below are generated from the schema.
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
    """Return the page on installation and settings."""
    parts = [INSTALL]
    documented: set[str] = set()
    for title, message_class in FILES:
        parts.append(f'## {title}\n')
        for field in message_class.DESCRIPTOR.fields:
            rule = field.GetOptions().Extensions[pb.rule]
            name = f'{rule.section} NAME' if field.is_repeated else field.name
            parts.append(f'### `[{name}]`\n')
            message = field.message_type.name
            if message in documented:
                parts.append('As above.\n')
                continue
            documented.add(message)
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
    """Return the reference of the library modules."""
    parts = ['# Library reference\n\nGenerated from the docstrings.\n']
    for name in LIBRARY:
        tree = ast.parse((SOURCE / f'{name}.py').read_text())
        module = name.replace('/', '.')
        parts.append(f'## peridotmast.{module}\n')
        parts.append(f'{ast.get_docstring(tree)}\n')
        for node in tree.body:
            parts += _document(node, '###')
    return '\n'.join(parts)


def _document(node: ast.AST, level: str) -> list[str]:
    node_types = (ast.ClassDef, ast.FunctionDef)
    if not isinstance(node, node_types) or node.name.startswith('_'):
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
            parts += _document(item, level + '#')
    return parts


def main() -> int:
    """Write the pages, or check that they are up to date."""
    pages = {SETTINGS: settings_page(), REFERENCE: reference_page()}
    outdated = [
        path
        for path, text in pages.items()
        if not path.exists() or path.read_text() != text
    ]
    if '--check' in sys.argv:
        for path in outdated:
            print(f'{path.relative_to(ROOT)} is out of date: tools/pages.py')
        return 1 if outdated else 0
    for path in outdated:
        path.write_text(pages[path])
    return 0


if __name__ == '__main__':
    sys.exit(main())
