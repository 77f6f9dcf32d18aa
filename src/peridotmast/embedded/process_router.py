"""A router that runs as a process of its own, for load and tests."""

from __future__ import annotations

import itertools
import os
import re
import signal
import subprocess
import sys
import typing as ty

from peridotmast import green
from peridotmast.schema import peridotmast_pb2 as pb

_START_MS = 15_000
"""Bound on a start: an import on a busy machine takes seconds."""

_LOOK_MS = 20
_END_SLACK_MS = 5000

_numbers = itertools.count(1)


class ProcessRouter:
    """Starts `peridotmast-router` and ends it as an operator would.

    Parameters
    ----------
    file : pb.RouterFile
        Its settings.
    folder : str
        Where its settings file and its log go.

    Raises
    ------
    TimeoutError
        If it does not start.
    """

    def __init__(self, file: pb.RouterFile, folder: str) -> None:
        self.cfg = file.router
        """The router's own section of the settings."""
        self._grace_ms = int(file.bounds.grace_s * 1000)
        path = os.path.join(folder, f'{file.router.name}-{next(_numbers)}')
        self.log_path = f'{path}.log'
        """File that its log goes to."""
        with open(f'{path}.ini', 'w', encoding='utf-8') as settings:
            settings.write(settings_text(file))
        with open(self.log_path, 'w', encoding='utf-8') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-W', 'ignore', '-m']
                + ['peridotmast.cli.router', '--config', f'{path}.ini'],
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        try:
            addresses = self._addresses()
        except TimeoutError:
            self.stop()
            raise
        self.address = addresses['address']
        """Address of the platform's callers."""
        self.chat_address = addresses['chat_address']
        """Address of the chat API."""
        self.peer_address = addresses['peer_address']
        """Address of the peers' and operators' gRPC."""

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def log(self) -> str:
        """Return what it has logged so far."""
        with open(self.log_path, encoding='utf-8') as file:
            return file.read()

    def stop(self) -> None:
        """Kill it."""
        self._process.kill()
        self._process.wait()

    def drain(self) -> None:
        """Stop it as planned, and wait until it has ended."""
        self._process.send_signal(signal.SIGTERM)
        self._wait_for(
            lambda: not self.is_running, self._grace_ms + _END_SLACK_MS
        )

    def freeze(self) -> None:
        """Let it stand still until `thaw`."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self._process.send_signal(signal.SIGCONT)

    def _addresses(self) -> dict[str, str]:
        """Return the addresses that it says it listens on."""
        line = self._wait_for(
            lambda: re.search('event=started .*', self.log()), _START_MS
        )
        return dict(re.findall(r'(\w+)=(\S+)', line[0]))

    def _wait_for(self, condition: ty.Callable[[], ty.Any], ms: int) -> ty.Any:
        for _ in range(ms // _LOOK_MS):
            found = condition()
            if found:
                return found
            green.sleep_ms(_LOOK_MS)
        raise TimeoutError(f'{self.cfg.name}: {self.log()[-2000:]}')


def settings_text(file: pb.RouterFile) -> str:
    """Return settings as the INI file that says the same."""
    lines = []
    for section, values in file.ListFields():
        lines.append(f'[{section.name}]')
        lines += [
            f'{field.name} = {_text(value)}'
            for field, value in values.ListFields()
        ]
    return '\n'.join(lines) + '\n'


def _text(value: ty.Any) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, (str, int, float)):
        return str(value)
    return ', '.join(map(str, value))
