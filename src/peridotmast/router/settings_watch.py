"""Reloads a settings file that changes while the program runs."""

from __future__ import annotations

import typing as ty

from google.protobuf import message

from peridotmast import findings as findings_
from peridotmast import logs

M = ty.TypeVar('M', bound=message.Message)


class SettingsWatch(ty.Generic[M]):
    """Reloads a file, periodically or on a signal, and applies its changes.

    Invalid settings change nothing: the program keeps the current ones, and
    the findings are logged.

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
        self._last_text = self._read()
        self._log = logs.get('settings')

    def reload_if_changed(self) -> None:
        """Apply the settings if the text of the file has changed."""
        text = self._read()
        if text is None or text == self._last_text:
            return
        self._last_text = text
        settings, findings = self._load(self._path)
        if findings:
            self._log.error('settings_invalid', findings=str(findings)[:500])
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
            # The file may be in the middle of being replaced.
            logs.get('settings').warning('settings_unreadable', error=str(exc))
            return None
