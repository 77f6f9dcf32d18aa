"""Writes the table of fault kinds that occurred on the same simulated day.

Usage: python tools/played.py

The table is made from the entries in journal/ and replaces the text below the
marker in docs/PROVED.md.
"""

from __future__ import annotations

import collections
import itertools
import json
import pathlib
import typing as ty

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'PROVED.md'
MARKER = '<!-- made by tools/played.py -->\n'
MAX_COUNT = 99


def read_days() -> ty.Iterator[list[str]]:
    """Yield the kinds of faults of each simulated day in the journal."""
    for path in sorted((ROOT / 'journal').glob('*.json')):
        entry = json.loads(path.read_text())
        for day in entry['days']:
            yield sorted(set(day.get('troubles') or ()))


def make_table(days: ty.Sequence[ty.Sequence[str]]) -> list[str]:
    """Return the lines of a table with a row and a column for each kind."""
    counts = collections.Counter(itertools.chain.from_iterable(days))
    pair_counts = collections.Counter(
        itertools.chain.from_iterable(
            itertools.combinations(kinds, 2) for kinds in days
        )
    )
    names = sorted(counts)
    missing = sum(
        pair_counts[pair] == 0 for pair in itertools.combinations(names, 2)
    )
    lines = [
        f'{len(days)} days with {len(names)} kinds; of '
        f'{len(names) * (len(names) - 1) // 2} pairs {missing} did not '
        f'occur on the same day. Counts above {MAX_COUNT} are shown as '
        f'{MAX_COUNT}.',
        '',
        '```',
        ' ' * 21 + ''.join(f'{n:3}' for n in range(1, len(names) + 1)),
    ]
    for row, name in enumerate(names):
        cells = [
            min(
                MAX_COUNT,
                counts[name]
                if row == column
                else pair_counts[_pair(name, to)],
            )
            for column, to in enumerate(names[: row + 1])
        ]
        text = ''.join(f'{cell or ".":>3}' for cell in cells)
        lines.append(f'{row + 1:2} {name:<18}{text}')
    return [*lines, '```']


def _pair(first: str, second: str) -> tuple[str, str]:
    return (first, second) if first < second else (second, first)


def main() -> None:
    """Replace the table in the page."""
    head, marker, _ = PAGE.read_text().partition(MARKER)
    lines = make_table([kinds for kinds in read_days() if kinds])
    PAGE.write_text(head + MARKER + '\n'.join(lines) + '\n')


if __name__ == '__main__':
    main()
