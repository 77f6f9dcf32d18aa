"""Two reports side by side."""

from __future__ import annotations

import json
import os
import typing as ty


def lines(first: str, second: str) -> list[str]:
    """Return a line for each figure that differs between two folders.

    Raises
    ------
    OSError, ValueError
        If a folder holds no report that can be read.
    """
    old, new = _flat(_read(first)), _flat(_read(second))
    found = [f'{"figure":<44}{"first":>14}{"second":>14}{"change":>10}']
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before != after:
            found.append(
                f'{name:<44}{_text(before):>14}{_text(after):>14}'
                f'{_change(before, after):>10}'
            )
    return found


def _read(folder: str) -> ty.Any:
    path = os.path.join(folder, 'report.json')
    with open(path, encoding='utf-8') as file:
        return json.load(file)


def _flat(value: ty.Any, prefix: str = '') -> dict[str, ty.Any]:
    if not isinstance(value, dict):
        return {prefix: value}
    result: dict[str, ty.Any] = {}
    for name, part in value.items():
        result |= _flat(part, f'{prefix}.{name}' if prefix else name)
    return result


def _change(before: ty.Any, after: ty.Any) -> str:
    numbers = (int, float)
    if isinstance(before, numbers) and isinstance(after, numbers) and before:
        return f'{(after - before) / before:+.1%}'
    return ''


def _text(value: ty.Any) -> str:
    if isinstance(value, float):
        return f'{value:.6g}'
    return '-' if value is None else str(value)[:13]
