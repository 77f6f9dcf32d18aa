"""Differences between two reports."""

from __future__ import annotations

import json
import os
import typing as ty


def lines(first: str, second: str) -> list[str]:
    """Return a table of the values that differ between two reports.

    Raises
    ------
    OSError, ValueError
        If a folder contains no readable report.
    """
    old, new = _flatten(_load(first)), _flatten(_load(second))
    table = [f'{"figure":<44}{"first":>14}{"second":>14}{"change":>10}']
    for name in sorted(old.keys() | new.keys()):
        before, after = old.get(name), new.get(name)
        if before != after:
            table.append(
                f'{name:<44}{_format(before):>14}{_format(after):>14}'
                f'{_relative_change(before, after):>10}'
            )
    return table


def _load(folder: str) -> ty.Any:
    path = os.path.join(folder, 'report.json')
    with open(path, encoding='utf-8') as file:
        return json.load(file)


def _flatten(value: ty.Any, prefix: str = '') -> dict[str, ty.Any]:
    if not isinstance(value, dict):
        return {prefix: value}
    result: dict[str, ty.Any] = {}
    for name, part in value.items():
        result |= _flatten(part, f'{prefix}.{name}' if prefix else name)
    return result


def _relative_change(before: ty.Any, after: ty.Any) -> str:
    numbers = (int, float)
    if isinstance(before, numbers) and isinstance(after, numbers) and before:
        return f'{(after - before) / before:+.1%}'
    return ''


def _format(value: ty.Any) -> str:
    if isinstance(value, float):
        return f'{value:.6g}'
    return '-' if value is None else str(value)[:13]
