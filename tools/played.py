"""Writes the table of which kinds of trouble were played together.

Usage: python tools/played.py

Reads the entries in journal/ and puts the table into docs/PROVED.md, below
its marker.
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
MOST = 99


def days() -> ty.Iterator[list[str]]:
    """Yield the kinds of trouble of each day that was played whole."""
    for path in sorted((ROOT / 'journal').glob('*.json')):
        entry = json.loads(path.read_text())
        for day in entry['days']:
            yield sorted(set(day.get('troubles') or ()))


def table(played: ty.Sequence[ty.Sequence[str]]) -> list[str]:
    """Return the lines of the table: a row and a column for each kind."""
    alone = collections.Counter(itertools.chain.from_iterable(played))
    pairs = collections.Counter(
        itertools.chain.from_iterable(
            itertools.combinations(kinds, 2) for kinds in played
        )
    )
    names = sorted(alone)
    never = sum(pairs[pair] == 0 for pair in itertools.combinations(names, 2))
    lines = [
        f'{len(played)} days with {len(names)} kinds; of '
        f'{len(names) * (len(names) - 1) // 2} pairs {never} were not '
        f'played on one day. More than {MOST} days stand as {MOST}.',
        '',
        '```',
        ' ' * 21 + ''.join(f'{n:3}' for n in range(1, len(names) + 1)),
    ]
    for row, name in enumerate(names):
        cells = [
            min(MOST, alone[name] if row == column else pairs[_pair(name, to)])
            for column, to in enumerate(names[: row + 1])
        ]
        text = ''.join(f'{cell or ".":>3}' for cell in cells)
        lines.append(f'{row + 1:2} {name:<18}{text}')
    return [*lines, '```']


def _pair(one: str, other: str) -> tuple[str, str]:
    return (one, other) if one < other else (other, one)


def main() -> None:
    """Put the table into the page."""
    head, marker, _ = PAGE.read_text().partition(MARKER)
    lines = table([kinds for kinds in days() if kinds])
    PAGE.write_text(head + MARKER + '\n'.join(lines) + '\n')


if __name__ == '__main__':
    main()
