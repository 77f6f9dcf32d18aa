"""Problems in an input, each with its location, reported together."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Finding:
    """One problem in an input."""

    place: str
    """Location: ``file:line`` or a part of a document."""

    text: str
    """Description of the problem and of the expected input."""

    def __str__(self) -> str:
        return f'{self.place}: {self.text}'


class Findings:
    """List of the findings about one input."""

    def __init__(self) -> None:
        self._findings: list[Finding] = []

    def __bool__(self) -> bool:
        return bool(self._findings)

    def __iter__(self):  # type: ignore[no-untyped-def]
        return iter(self._findings)

    def __len__(self) -> int:
        return len(self._findings)

    def __str__(self) -> str:
        return '\n'.join(map(str, self._findings))

    def add(self, place: str, text: str) -> None:
        """Add a finding at the location `place`, described by `text`."""
        self._findings.append(Finding(place, text))
