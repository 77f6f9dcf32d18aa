"""Checks that no package imports a package of the same or a higher layer.

Usage: python tools/layers.py

The exit code is 1 if there is such an import.
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
    ('duties', 'platform', 'rollout'),
    ('router', 'standin'),
    ('embedded',),
    ('load',),
    ('cli',),
)
"""Packages by layer, from the lowest to the highest. Modules outside the
packages count as the lowest layer, but may import the packages of that layer,
for example for a codec or a connection."""

LEVELS = {
    package: level
    for level, packages in enumerate(LAYERS)
    for package in packages
}


def find_imports(path: pathlib.Path) -> ty.Iterator[tuple[int, str]]:
    """Yield line number and package of each import from the project."""
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


def find_violations(path: pathlib.Path) -> ty.Iterator[str]:
    """Yield a message for each import that violates the order of layers."""
    parts = path.relative_to(SOURCE).parts
    package = parts[0] if len(parts) > 1 else ''
    level = LEVELS.get(package, 0)
    for number, name in find_imports(path):
        is_violation = name != package and LEVELS[name] >= max(level, 1)
        if is_violation:
            yield f'{path.relative_to(ROOT)}:{number}: imports {name}'


def main() -> int:
    """Print each import that violates the order of layers."""
    violations = [
        line
        for path in sorted(SOURCE.rglob('*.py'))
        if 'schema' not in path.parts
        for line in find_violations(path)
    ]
    print(
        '\n'.join(
            [*violations, f'{len(violations)} imports violate the layers']
        )
    )
    return 1 if violations else 0


if __name__ == '__main__':
    sys.exit(main())
