"""Looks for imports that run against the order of the packages.

Usage: python tools/layers.py

Ends with 1 where a package imports one that stands above it. What stands on
one line below does not import its neighbours either.
"""

from __future__ import annotations

import ast
import pathlib
import sys
import typing as ty

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / 'src' / 'peridotmast'

LAYERS = (
    ('schema', 'wire'),
    ('client', 'serving'),
    ('coordination',),
    ('duties', 'platform'),
    ('router', 'standin'),
    ('embedded',),
    ('load',),
    ('cli',),
)
"""From the lowest to the highest; modules beside the packages are the
lowest, and may use a codec or a connection."""

LEVELS = {
    package: level
    for level, packages in enumerate(LAYERS)
    for package in packages
}


def imported(path: pathlib.Path) -> ty.Iterator[tuple[int, str]]:
    """Yield line and package of each import of a package of ours."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.ImportFrom) or node.module is None:
            continue
        parts = node.module.split('.')
        if parts[0] != 'peridotmast':
            continue
        names = parts[1:2] or [alias.name for alias in node.names]
        for name in names:
            if (SOURCE / name).is_dir():
                yield node.lineno, name


def wrong_way(path: pathlib.Path) -> ty.Iterator[str]:
    """Yield a line for each import that runs against the order."""
    parts = path.relative_to(SOURCE).parts
    package = parts[0] if len(parts) > 1 else ''
    level = LEVELS.get(package, 0)
    for number, name in imported(path):
        above = name != package and LEVELS[name] >= max(level, 1)
        if above:
            yield f'{path.relative_to(ROOT)}:{number}: imports {name}'


def main() -> int:
    """Print each import that runs against the order."""
    places = [
        line
        for path in sorted(SOURCE.rglob('*.py'))
        if 'schema' not in path.parts
        for line in wrong_way(path)
    ]
    print('\n'.join([*places, f'{len(places)} imports against the layers']))
    return 1 if places else 0


if __name__ == '__main__':
    sys.exit(main())
