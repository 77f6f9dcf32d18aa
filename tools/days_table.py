"""Prints a table of the days in entries of the journal.

Usage: python tools/days_table.py ID...

Each row is a day: its worth, what was served in time, the worst windows and
the worst kind, each price over 0.005 and the rules that were broken, as the
entry has them.
"""

from __future__ import annotations

import json
import pathlib
import sys
import typing as ty

ROOT = pathlib.Path(__file__).resolve().parent.parent
LEAST = 0.005
"""Smallest price that is named, as a part of what was owed."""

HEAD = (
    '| day | worth | served | worst windows | worst kind | prices | rules |\n'
    '|---|---|---|---|---|---|---|'
)


def entry(name: str) -> dict[str, ty.Any]:
    """Return the entry of the journal whose name ends in `name`."""
    (path,) = (ROOT / 'journal').glob(f'*-{name}.json')
    return json.loads(path.read_text())


def row(day: dict[str, ty.Any]) -> str:
    """Return the table's row of one day."""
    parts = {name: share for name, _, share in day['parts']}
    prices = ', '.join(
        f'{name} {price:.3f}'
        for name, _, price in sorted(day['prices'], key=lambda p: -p[2])
        if price > LEAST
    )
    broken = ', '.join(day['rules']) or 'none'
    return (
        f'| {day["name"]} | {day["G"]:.3f} | {day["served"]:.3f}'
        f' | {parts["worst windows"]:.2f} | {parts["worst class"]:.2f}'
        f' | {prices} | {broken} |'
    )


def main() -> None:
    """Print a table for each entry that is named."""
    for name in sys.argv[1:]:
        found = entry(name)
        score = found['score']
        line = f'{found["site"]}, `{name}`'
        if score is not None:
            line += f': score {score:.3f}'
        print(f'\n{line}.\n\n{HEAD}')
        print('\n'.join(row(day) for day in found['days']))


if __name__ == '__main__':
    main()
