"""Validating reader for JSON objects written by other programs."""

from __future__ import annotations

import reprlib
import typing as ty

from peridotmast import addresses
from peridotmast import findings as findings_

Json = ty.Any

_MAX_SAFE_INTEGER = 1 << 53
"""Bound up to which every JSON parser represents integers exactly."""

_MAX_SHOWN_CHARS = 40
"""Maximum number of characters of an invalid value in a finding."""

T = ty.TypeVar('T')


class MalformedDocumentError(ValueError):
    """Raised for a document that fails validation.

    Parameters
    ----------
    findings : findings.Findings
        All validation errors, each with its place in the document.
    """

    def __init__(self, findings: findings_.Findings) -> None:
        super().__init__('; '.join(map(str, findings)))
        self.findings = findings


class Fields:
    """Reads the fields of one object and validates their types.

    An invalid field adds a finding and is read as a harmless default, so that
    one pass reports all errors. A field with the value `None` counts as
    missing.

    Parameters
    ----------
    value : Json
        The object.
    place : str
        Place of the object in the document, for findings.
    findings : findings.Findings, optional
        Collects the findings; a new collection by default.
    """

    def __init__(
        self,
        value: Json,
        place: str,
        findings: ty.Optional[findings_.Findings] = None,
    ) -> None:
        self._place = place
        self.findings = findings_.Findings() if findings is None else findings
        """Validation errors so far."""
        self._values: dict[str, Json] = {}
        if isinstance(value, dict):
            self._values = value
        else:
            self.findings.add(
                place, f'must be an object, not {_format_value(value)}'
            )

    def raise_if_malformed(self) -> None:
        """Raise an exception if the fields read so far have findings.

        Raises
        ------
        MalformedDocumentError
            If there are findings.
        """
        if self.findings:
            raise MalformedDocumentError(self.findings)

    def has(self, name: str) -> bool:
        """Return whether the object has the field."""
        return self._values.get(name) is not None

    def string(self, name: str, default: ty.Optional[str] = None) -> str:
        """Return a non-empty string."""
        value = self._get(name, default)
        if value is None or not self.has(name):
            return value or ''
        if not isinstance(value, str) or not _is_encodable(value):
            return self._add_finding(name, 'a non-empty string', value, '')
        return value or self._add_finding(
            name, 'a non-empty string', value, ''
        )

    def string_or_integer(self, name: str) -> str:
        """Return a string or an integer, as a string."""
        if type(self._values.get(name)) is int:
            return str(self._values[name])
        return self.string(name)

    def address(self, name: str) -> str:
        """Return an ``IP:port`` that is usable as a destination."""
        value = self.string(name)
        if value and not addresses.is_usable(value):
            return self._add_finding(name, 'IP:port', value, '')
        return value

    def integer(
        self,
        name: str,
        default: ty.Optional[int] = None,
        minimum: int = 0,
        maximum: int = _MAX_SAFE_INTEGER,
    ) -> int:
        """Return an integer from `minimum` to `maximum`."""
        value = self.number(name, default, minimum, maximum)
        if value != int(value):
            return self._add_finding(name, 'an integer', value, minimum)
        return int(value)

    def number(
        self,
        name: str,
        default: ty.Optional[float] = None,
        minimum: float = 0,
        maximum: float = _MAX_SAFE_INTEGER,
    ) -> float:
        """Return a number from `minimum` to `maximum`."""
        value = self._get(name, default)
        if value is None or not self.has(name):
            return value or 0
        is_number = isinstance(value, (int, float))
        if isinstance(value, bool) or not is_number:
            return self._add_finding(name, 'a number', value, minimum)
        # An integer is compared as it is: one of 400 digits can't be
        # converted to a float. No comparison with NaN is true.
        if not minimum <= value <= maximum:
            expected = f'from {minimum:g} to {maximum:g}'
            return self._add_finding(name, expected, value, minimum)
        return value

    def boolean(self, name: str) -> bool:
        """Return a boolean; False if the field is missing."""
        value = self._values.get(name)
        if value is None or isinstance(value, bool):
            return bool(value)
        return self._add_finding(name, 'true or false', value, False)

    def choice(self, name: str, known: ty.Mapping[str, T]) -> ty.Any:
        """Return the value that `known` has for the name in the field."""
        value = self.string(name)
        if value not in known:
            if value:
                self._add_finding(
                    name, f'one of {", ".join(known)}', value, ''
                )
            return next(iter(known.values()))
        return known[value]

    def child(self, name: str) -> ty.Optional[Fields]:
        """Return a nested object; None if the field is missing."""
        if not self.has(name):
            return None
        return Fields(self._values[name], self._place_of(name), self.findings)

    def children(self, name: str) -> list[Fields]:
        """Return a list of objects; empty if the field is missing."""
        return [
            Fields(value, place, self.findings)
            for place, value in self._items(name)
        ]

    def strings(self, name: str) -> list[str]:
        """Return a list of strings; empty if the field is missing."""
        strings = []
        for place, value in self._items(name):
            if isinstance(value, str) and _is_encodable(value):
                strings.append(value)
            else:
                self.findings.add(
                    place, f'must be a string, not {_format_value(value)}'
                )
        return strings

    def numbers(self, name: str) -> dict[str, float]:
        """Return a nested object of numbers, in the order of the document."""
        child = self.child(name)
        if child is None:
            return {}
        return {key: child.number(key) for key in child._values}

    def _items(self, name: str) -> list[tuple[str, Json]]:
        values = self._values.get(name)
        if values is None:
            return []
        if not isinstance(values, list):
            return self._add_finding(name, 'a list', values, [])
        return [
            (f'{self._place_of(name)}[{number}]', value)
            for number, value in enumerate(values)
        ]

    def _get(self, name: str, default: T) -> ty.Any:
        value = self._values.get(name)
        if value is not None:
            return value
        if default is None:
            self.findings.add(self._place_of(name), 'is missing')
        return default

    def _add_finding(
        self, name: str, expected: str, value: Json, default: T
    ) -> T:
        text = f'must be {expected}, not {_format_value(value)}'
        self.findings.add(self._place_of(name), text)
        return default

    def _place_of(self, name: str) -> str:
        return f'{self._place} {name}'


def _is_encodable(value: str) -> bool:
    """Return whether a string has no unpaired surrogates."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def _format_value(value: Json) -> str:
    text = _shortener.repr(value)
    return text.encode('ascii', 'backslashreplace').decode()[:_MAX_SHOWN_CHARS]


_shortener = reprlib.Repr()
"""Converts values to text without visiting all levels of deep ones."""
_shortener.maxlevel = 2
