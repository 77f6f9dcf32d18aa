"""A settings file that may change while the program runs."""

from __future__ import annotations

import typing as ty

from google.protobuf import message

from peridotmast import findings as findings_
from peridotmast import logs

M = ty.TypeVar('M', bound=message.Message)


class SettingsWatch(ty.Generic[M]):
    """Looks at the file, with or without a signal, and hands changes on.

    Settings that are found wrong change nothing: the program goes on with
    those it has, and the log says what is wrong where.

    Parameters
    ----------
    path : str
        The settings file.
    current : M
        Settings in force.
    load : callable
        Returns the settings in a file and the findings on them.
    apply : callable
        Called with settings that differ from those in force.
    """

    def __init__(
        self,
        path: str,
        current: M,
        load: ty.Callable[[str], tuple[M, findings_.Findings]],
        apply: ty.Callable[[M], None],
    ) -> None:
        self._path = path
        self._current = current
        self._load = load
        self._apply = apply
        self._seen = self._read()
        self._log = logs.get('settings')

    def reload_if_changed(self) -> None:
        """Take in the file if its text has changed."""
        text = self._read()
        if text is None or text == self._seen:
            return
        self._seen = text
        settings, found = self._load(self._path)
        if found:
            self._log.error('settings_refused', findings=str(found)[:500])
            return
        if settings == self._current:
            return
        self._current = settings
        self._log.info('settings_reloaded')
        self._apply(settings)

    def _read(self) -> ty.Optional[str]:
        try:
            with open(self._path, encoding='utf-8') as file:
                return file.read()
        except (OSError, UnicodeDecodeError) as exc:
            # It may be on the point of being replaced.
            logs.get('settings').warning('settings_unread', error=str(exc))
            return None
