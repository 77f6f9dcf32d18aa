"""Checks that only the platform adapter uses names of the platform's API.

Usage: python tools/wire_names.py

The exit code is 1 if a source file outside the adapter contains such a name.
The names are taken from the string constants of the adapter.
"""

from __future__ import annotations

import ast
import pathlib
import re
import sys
import typing as ty

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / 'src' / 'peridotmast'
ADAPTER = SOURCE / 'platform'

GENERAL_NAMES = frozenset((
    'after', 'at', 'config', 'created', 'deleted', 'events', 'handle',
    'items', 'last', 'main', 'metadata', 'object', 'ready', 'revision',
    'runs', 'service', 'spec', 'status', 'target', 'watch', 'zone',
    'idempotent', 'streaming', 'Authorization', 'Bearer ', 'Retry-After',
    'Last-Event-Id', 'X-Request-Id', 'idempotent', 'non_idempotent',
    '/resolve', '/health', '/report', 'addresses', 'keep-alive',
))  # fmt: skip
"""Names that are general terms or that peridotmast uses itself as well."""


def read_platform_names() -> list[str]:
    """Return the names that only the adapter may use."""
    constants: set[str] = set()
    for path in ADAPTER.glob('*.py'):
        tree = ast.parse(path.read_text())
        for node in ast.walk(tree):
            if isinstance(node, ast.Constant) and isinstance(node.value, str):
                if re.fullmatch(r'[A-Za-z/][A-Za-z_/-]{2,40}', node.value):
                    constants.add(node.value)
    specific_name = re.compile(
        r'[a-z]+(-[a-z]+)+|X-[A-Za-z-]+|Kv-\\w+|/[a-z-]+'
    )
    return sorted(
        name
        for name in constants - GENERAL_NAMES
        if specific_name.fullmatch(name) and not name.startswith('x-')
    )


def files_outside_adapter() -> ty.Iterator[pathlib.Path]:
    """Yield the source files outside the adapter."""
    for path in sorted(SOURCE.rglob('*.py')):
        if ADAPTER not in path.parents:
            yield path


def main() -> int:
    """Print each use of a platform name outside the adapter."""
    platform_names = read_platform_names()
    pattern = re.compile(
        r'(?<![\w/-])('
        + '|'.join(map(re.escape, platform_names))
        + r')(?![\w-])'
    )
    uses = [
        f'{path.relative_to(ROOT)}:{number}: {found[1]}'
        for path in files_outside_adapter()
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if (found := pattern.search(line))
    ]
    for use in uses:
        print(use)
    print(f'{len(platform_names)} platform names, {len(uses)} uses elsewhere')
    return 1 if uses else 0


if __name__ == '__main__':
    sys.exit(main())
