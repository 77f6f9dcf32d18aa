"""Strict reading of values that others have written to the platform."""

from __future__ import annotations

import math
import typing as ty

from peridotmast import addresses
from peridotmast import findings as findings_

Json = ty.Any

_LARGEST = 1 << 53
"""Largest number that every writer of JSON tells from its neighbours."""

_SHOWN = 40
"""Characters of a wrong value that a finding shows."""

T = ty.TypeVar('T')


class MalformedDocumentError(ValueError):
    """A document that can't be read, with all that is wrong with it.

    Parameters
    ----------
    found : findings.Findings
        What is wrong, each with its place.
    """

    def __init__(self, found: findings_.Findings) -> None:
        super().__init__('; '.join(map(str, found)))
        self.findings = found


class Fields:
    """The fields of one object, each read as the type that it must have.

    What is wrong is noted, and a harmless value returned, so that one pass
    tells all that is wrong. `None` counts as a field that is not there.

    Parameters
    ----------
    value : Json
        The object.
    place : str
        Where it stands.
    found : findings.Findings, optional
        Where findings are noted; new ones by default.
    """

    def __init__(
        self,
        value: Json,
        place: str,
        found: ty.Optional[findings_.Findings] = None,
    ) -> None:
        self._place = place
        self.findings = findings_.Findings() if found is None else found
        """What is wrong so far."""
        self._values: dict[str, Json] = {}
        if isinstance(value, dict):
            self._values = value
        else:
            self.findings.add(place, f'must be an object, not {_shown(value)}')

    def raise_if_malformed(self) -> None:
        """Say that all was read.

        Raises
        ------
        MalformedDocumentError
            If anything was wrong.
        """
        if self.findings:
            raise MalformedDocumentError(self.findings)

    def has(self, name: str) -> bool:
        """Return whether the field is there."""
        return self._values.get(name) is not None

    def string(self, name: str, default: ty.Optional[str] = None) -> str:
        """Return a text that is not empty."""
        value = self._given(name, default)
        if value is None or not self.has(name):
            return value or ''
        if not isinstance(value, str) or not _is_text(value):
            return self._wrong(name, 'a text', value, '')
        return value or self._wrong(name, 'a text', value, '')

    def string_or_integer(self, name: str) -> str:
        """Return a text or a whole number, as a text."""
        if type(self._values.get(name)) is int:
            return str(self._values[name])
        return self.string(name)

    def address(self, name: str) -> str:
        """Return an ``IP:port`` that something can be sent to."""
        value = self.string(name)
        if value and not addresses.is_usable(value):
            return self._wrong(name, 'IP:port', value, '')
        return value

    def integer(
        self,
        name: str,
        default: ty.Optional[int] = None,
        minimum: int = 0,
        maximum: int = _LARGEST,
    ) -> int:
        """Return a whole number from `minimum` to `maximum`."""
        value = self.number(name, default, minimum, maximum)
        if value != int(value):
            return self._wrong(name, 'a whole number', value, minimum)
        return int(value)

    def number(
        self,
        name: str,
        default: ty.Optional[float] = None,
        minimum: float = 0,
        maximum: float = _LARGEST,
    ) -> float:
        """Return a number from `minimum` to `maximum`."""
        value = self._given(name, default)
        if value is None or not self.has(name):
            return value or 0
        is_number = isinstance(value, (int, float))
        if isinstance(value, bool) or not is_number or math.isnan(value):
            return self._wrong(name, 'a number', value, minimum)
        if not minimum <= value <= maximum:
            wanted = f'from {minimum:g} to {maximum:g}'
            return self._wrong(name, wanted, value, minimum)
        return value

    def boolean(self, name: str) -> bool:
        """Return whether it is true; not being there is false."""
        value = self._values.get(name)
        if value is None or isinstance(value, bool):
            return bool(value)
        return self._wrong(name, 'true or false', value, False)

    def choice(self, name: str, known: ty.Mapping[str, T]) -> ty.Any:
        """Return what the name in the field stands for."""
        value = self.string(name)
        if value not in known:
            if value:
                self._wrong(name, f'one of {", ".join(known)}', value, '')
            return next(iter(known.values()))
        return known[value]

    def child(self, name: str) -> ty.Optional[Fields]:
        """Return an object in a field, or None where there is none."""
        if not self.has(name):
            return None
        return Fields(self._values[name], self._at(name), self.findings)

    def children(self, name: str) -> list[Fields]:
        """Return the objects in a list; not being there is none."""
        return [
            Fields(value, place, self.findings)
            for place, value in self._items(name)
        ]

    def strings(self, name: str) -> list[str]:
        """Return the texts in a list; not being there is none."""
        found = []
        for place, value in self._items(name):
            if isinstance(value, str) and _is_text(value):
                found.append(value)
            else:
                self.findings.add(
                    place, f'must be a text, not {_shown(value)}'
                )
        return found

    def numbers(self, name: str) -> dict[str, float]:
        """Return the numbers in an object by name, in their order."""
        part = self.child(name)
        if part is None:
            return {}
        return {key: part.number(key) for key in part._values}

    def _items(self, name: str) -> list[tuple[str, Json]]:
        values = self._values.get(name)
        if values is None:
            return []
        if not isinstance(values, list):
            return self._wrong(name, 'a list', values, [])
        return [
            (f'{self._at(name)}[{number}]', value)
            for number, value in enumerate(values)
        ]

    def _given(self, name: str, default: T) -> ty.Any:
        value = self._values.get(name)
        if value is not None:
            return value
        if default is None:
            self.findings.add(self._at(name), 'is missing')
        return default

    def _wrong(self, name: str, wanted: str, value: Json, instead: T) -> T:
        text = f'must be {wanted}, not {_shown(value)}'
        self.findings.add(self._at(name), text)
        return instead

    def _at(self, name: str) -> str:
        return f'{self._place} {name}'


def _is_text(value: str) -> bool:
    """Return whether it can be written down: no half of a character is in."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _shown(value: Json) -> str:
    return ascii(value)[:_SHOWN]
