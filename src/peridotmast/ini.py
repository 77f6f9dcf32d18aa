"""Parsing of INI documents into schema messages, with validation."""

from __future__ import annotations

import configparser
import difflib
import re
import typing as ty

from google.protobuf import descriptor
from google.protobuf import descriptor_pb2
from google.protobuf import message

from peridotmast import addresses
from peridotmast import findings as findings_
from peridotmast.schema import peridotmast_pb2 as pb

M = ty.TypeVar('M', bound=message.Message)

_FIELD = descriptor.FieldDescriptor
_Field = ty.Any
"""Descriptor of a field; protobuf has two classes with this interface."""
_TRUE = frozenset(('true', 'yes', 'on', '1'))
_FALSE = frozenset(('false', 'no', 'off', '0'))


def load_file(path: str, kind: type[M]) -> tuple[M, findings_.Findings]:
    """Read and validate the INI file at `path`.

    Returns
    -------
    tuple
        The filled message and the findings; the message is valid only if
        there are no findings.
    """
    try:
        with open(path, encoding='utf-8') as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        found = findings_.Findings()
        found.add(path, f'cannot be read: {exc}')
        return kind(), found
    return load_text(text, kind, path)


def load_text(
    text: str, kind: type[M], place: str = 'document'
) -> tuple[M, findings_.Findings]:
    """Read and validate an INI document; see `load_file`."""
    reader = _Reader(text, place)
    result = kind()
    reader.fill(result)
    return result, reader.found


def defaults(kind: type[M], **values: ty.Any) -> M:
    """Return a message for one section, with schema defaults and `values`.

    Raises
    ------
    ValueError
        If a default value in the schema is invalid.
    """
    section = kind()
    for field in section.DESCRIPTOR.fields:
        rule = _rule(field)
        if rule.default:
            _assign(section, field, _parse(field, rule, rule.default))
    for name, value in values.items():
        field = section.DESCRIPTOR.fields_by_name[name]
        _assign(section, field, value)
    return section


class _Reader:
    """Parses one document; each finding has the file and line."""

    def __init__(self, text: str, place: str) -> None:
        self.found = findings_.Findings()
        self._place = place
        self._lines = _line_numbers(text)
        self._parser = configparser.ConfigParser(
            interpolation=None, default_section='\0none'
        )
        try:
            self._parser.read_string(text, source=place)
        except configparser.Error as exc:
            line = getattr(exc, 'lineno', None) or 1
            errors = getattr(exc, 'errors', None)
            if errors:
                line = errors[0][0]
            self.found.add(f'{place}:{line}', f'not INI: {exc.message}')

    def fill(self, root: message.Message) -> None:
        """Fill the fields of `root` from the sections of the same names."""
        single = {
            field.name: field
            for field in root.DESCRIPTOR.fields
            if not field.is_repeated
        }
        repeated = {
            _rule(field).section: field
            for field in root.DESCRIPTOR.fields
            if field.is_repeated
        }
        for section in self._parser.sections():
            kind, _, name = section.partition(' ')
            if name and kind in repeated:
                target = getattr(root, repeated[kind].name).add()
                target.name = name.strip()
                self._fill_section(section, target)
            elif section in single:
                self._fill_section(section, getattr(root, section))
            else:
                known = [*single, *(f'{kind} NAME' for kind in repeated)]
                self._report_unknown('section', section, section, '', known)
        self._fill_missing(root, single)

    def _fill_missing(
        self,
        root: message.Message,
        single: dict[str, _Field],
    ) -> None:
        missing = [name for name in single if name not in self._parser]
        for name in missing:
            section = getattr(root, name)
            required = [
                field.name
                for field in section.DESCRIPTOR.fields
                if _rule(field).required
            ]
            section.CopyFrom(defaults(type(section)))
            if required and not self.found:
                self.found.add(
                    f'{self._place}:1',
                    f'section [{name}] is missing; it needs '
                    + ', '.join(required),
                )

    def _fill_section(self, section: str, target: message.Message) -> None:
        fields = target.DESCRIPTOR.fields_by_name
        values = self._parser[section]
        removed = _removed_names(target)
        for key in values:
            if key in removed:
                self._report_removed(section, key)
            elif key not in fields or key == 'name' and ' ' in section:
                self._report_unknown('key', key, section, key, list(fields))
        for name, field in fields.items():
            if name == 'name' and ' ' in section:
                continue
            rule = _rule(field)
            text = values.get(name, rule.default)
            if name not in values and rule.required:
                place = self._place_of(section, '')
                self.found.add(place, f'[{section}] needs {name}: {rule.help}')
            if not text:
                continue
            try:
                _assign(target, field, _parse(field, rule, text))
            except ValueError as exc:
                place = self._place_of(section, name)
                self.found.add(place, f'[{section}] {name} = {text}: {exc}')

    def _report_removed(self, section: str, key: str) -> None:
        self.found.add(
            self._place_of(section, key),
            f'[{section}] {key} has no effect any more; remove the line',
        )

    def _report_unknown(
        self, noun: str, name: str, section: str, key: str, known: list[str]
    ) -> None:
        matches = difflib.get_close_matches(name, known, 1)
        hint = f'; did you mean {matches[0]}?' if matches else ''
        prefix = f'[{section}] ' if key else ''
        self.found.add(
            self._place_of(section, key),
            f'{prefix}unknown {noun} {name}{hint}',
        )

    def _place_of(self, section: str, key: str) -> str:
        line = self._lines.get((section, key))
        line = line or self._lines.get((section, ''), 1)
        return f'{self._place}:{line}'


def _line_numbers(text: str) -> dict[tuple[str, str], int]:
    """Return the line of each section and key.

    configparser does not record line numbers.
    """
    lines: dict[tuple[str, str], int] = {}
    section = ''
    for number, line in enumerate(text.splitlines(), 1):
        if match := re.match(r'\[(.+)\]', line):
            section = match[1]
            lines.setdefault((section, ''), number)
        elif match := re.match(r'([^\s#;=:][^=:]*?)\s*[=:]', line):
            lines.setdefault((section, match[1].lower()), number)
    return lines


def _removed_names(section: message.Message) -> ty.Collection[str]:
    """Return the names of fields that earlier versions had."""
    proto = descriptor_pb2.DescriptorProto()
    section.DESCRIPTOR.CopyToProto(proto)
    return proto.reserved_name


def _rule(field: _Field) -> pb.SettingRule:
    return field.GetOptions().Extensions[pb.rule]


def _parse(field: _Field, rule: pb.SettingRule, text: str) -> ty.Any:
    if field.is_repeated:
        items = [item.strip() for item in text.split(',') if item.strip()]
        return [_parse_one(field, rule, item) for item in items]
    return _parse_one(field, rule, text)


def _parse_one(field: _Field, rule: pb.SettingRule, text: str) -> ty.Any:
    if field.type == _FIELD.TYPE_ENUM:
        return _parse_enum(field, text)
    if field.type == _FIELD.TYPE_BOOL:
        if text.lower() not in _TRUE | _FALSE:
            raise ValueError('must be true or false')
        return text.lower() in _TRUE
    if field.type in (_FIELD.TYPE_INT64, _FIELD.TYPE_INT32):
        return _check_range(
            rule, _parse_number(int, text, 'a whole number', rule)
        )
    if field.type == _FIELD.TYPE_DOUBLE:
        return _check_range(rule, _parse_number(float, text, 'a number', rule))
    if rule.address:
        addresses.check(text)
    return text


def _parse_enum(field: _Field, text: str) -> int:
    known = {
        value.name.lower(): value.number
        for value in field.enum_type.values
        if value.number
    }
    if text.lower() not in known:
        raise ValueError(f'must be one of {", ".join(known)}')
    return known[text.lower()]


def _parse_number(
    kind: ty.Callable[[str], ty.Any],
    text: str,
    noun: str,
    rule: pb.SettingRule,
) -> ty.Any:
    try:
        return kind(text)
    except ValueError:
        unit = f' in {rule.unit}' if rule.unit else ''
        raise ValueError(f'must be {noun}{unit}') from None


def _check_range(rule: pb.SettingRule, value: float) -> float:
    unit = f' {rule.unit}' if rule.unit else ''
    if value != value:
        raise ValueError('must be a number')
    if rule.HasField('min') and value < rule.min:
        raise ValueError(f'must be at least {rule.min:g}{unit}')
    if rule.HasField('max') and value > rule.max:
        raise ValueError(f'must be at most {rule.max:g}{unit}')
    return value


def _assign(
    target: message.Message,
    field: _Field,
    value: ty.Any,
) -> None:
    if field.is_repeated:
        getattr(target, field.name).extend(value)
    else:
        setattr(target, field.name, value)
