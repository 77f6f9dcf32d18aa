"""Prints a table of the simulated days in journal entries.

Usage: python tools/days_table.py ID...

Each row is a day with its worth, the part served in time, the parts for the
worst windows and the worst class, each price over 0.005, and the violated
rules; all values are those of the entry.
"""

from __future__ import annotations

import json
import pathlib
import sys
import typing as ty

ROOT = pathlib.Path(__file__).resolve().parent.parent
MIN_PRICE = 0.005
"""Price above which it is listed, as a share of the amount owed."""

HEAD = (
    '| day | worth | served | worst windows | worst kind | prices | rules |\n'
    '|---|---|---|---|---|---|---|'
)


def load_entry(name: str) -> dict[str, ty.Any]:
    """Load the journal entry whose file name ends in `name`."""
    (path,) = (ROOT / 'journal').glob(f'*-{name}.json')
    return json.loads(path.read_text())


def format_row(day: dict[str, ty.Any]) -> str:
    """Return the table row of one day."""
    shares = {name: share for name, _, share in day['parts']}
    prices = ', '.join(
        f'{name} {price:.3f}'
        for name, _, price in sorted(day['prices'], key=lambda p: -p[2])
        if price > MIN_PRICE
    )
    violations = ', '.join(day['rules']) or 'none'
    return (
        f'| {day["name"]} | {day["G"]:.3f} | {day["served"]:.3f}'
        f' | {shares["worst windows"]:.2f} | {shares["worst class"]:.2f}'
        f' | {prices} | {violations} |'
    )


def main() -> None:
    """Print a table for each journal entry on the command line."""
    for name in sys.argv[1:]:
        journal_entry = load_entry(name)
        score = journal_entry['score']
        line = f'{journal_entry["site"]}, `{name}`'
        if score is not None:
            line += f': score {score:.3f}'
        print(f'\n{line}.\n\n{HEAD}')
        print('\n'.join(format_row(day) for day in journal_entry['days']))


if __name__ == '__main__':
    main()
