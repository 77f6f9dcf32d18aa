"""A router that runs as a separate process, for load and tests."""

from __future__ import annotations

import itertools
import os
import re
import signal
import subprocess
import sys
import typing as ty

from google.protobuf import descriptor

from peridotmast import green
from peridotmast.schema import peridotmast_pb2 as pb

_START_MS = 15_000
"""Limit on the start: imports take seconds on a busy machine."""

_POLL_INTERVAL_MS = 20
_EXIT_SLACK_MS = 5000

_run_numbers = itertools.count(1)


class ProcessRouter:
    """Runs `peridotmast-router` and controls it with signals.

    Parameters
    ----------
    file : pb.RouterFile
        Settings of the router.
    folder : str
        Folder for its settings file and its log.

    Raises
    ------
    TimeoutError
        If it does not log its start in time.
    """

    def __init__(self, file: pb.RouterFile, folder: str) -> None:
        self.cfg = file.router
        """The router's own section of the settings."""
        self._grace_ms = int(file.bounds.grace_s * 1000)
        path = os.path.join(folder, f'{file.router.name}-{next(_run_numbers)}')
        self.log_path = f'{path}.log'
        """Path of its log file."""
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
            self.addresses = self._logged_addresses()
            """Addresses that it listens on, by their names in its log."""
        except TimeoutError:
            self.stop()
            raise
        self.address = self.addresses['address']
        """Address for the platform's callers."""
        self.chat_address = self.addresses['chat_address']
        """Address of the chat API."""
        self.peer_address = self.addresses['peer_address']
        """Address of the gRPC services for peers and operators."""

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    @property
    def exit_code(self) -> ty.Optional[int]:
        """Exit code of the process; None while it runs."""
        return self._process.poll()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._process.poll() is None

    def log(self) -> str:
        """Return the content of its log so far."""
        with open(self.log_path, encoding='utf-8') as file:
            return file.read()

    def stop(self) -> None:
        """Kill the process."""
        self._process.kill()
        self._process.wait()

    def drain(self) -> None:
        """Send SIGTERM, and wait until the process has exited."""
        self._process.send_signal(signal.SIGTERM)
        self._wait_for(
            lambda: not self.is_running, self._grace_ms + _EXIT_SLACK_MS
        )

    def freeze(self) -> None:
        """Suspend the process until `thaw`."""
        self._process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume the suspended process."""
        self._process.send_signal(signal.SIGCONT)

    def _logged_addresses(self) -> dict[str, str]:
        """Return the listening addresses from its log."""
        line = self._wait_for(
            lambda: re.search('event=started .*', self.log()), _START_MS
        )
        values = dict(re.findall(r'(\w+)=(\S+)', line[0]))
        return {
            name: value
            for name, value in values.items()
            if name.endswith('address')
        }

    def _wait_for(self, poll: ty.Callable[[], ty.Any], ms: int) -> ty.Any:
        for _ in range(ms // _POLL_INTERVAL_MS):
            result = poll()
            if result:
                return result
            green.sleep_ms(_POLL_INTERVAL_MS)
        raise TimeoutError(f'{self.cfg.name}: {self.log()[-2000:]}')


def settings_text(file: pb.RouterFile) -> str:
    """Return settings in the format of an INI file."""
    lines = []
    for section, values in file.ListFields():
        lines.append(f'[{section.name}]')
        lines += [
            f'{field.name} = {_text(field, value)}'
            for field, value in values.ListFields()
        ]
    return '\n'.join(lines) + '\n'


def _text(field: descriptor.FieldDescriptor, value: ty.Any) -> str:
    if field.enum_type is not None:
        name: str = field.enum_type.values_by_number[value].name
        return name.lower()
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, (str, int, float)):
        return str(value)
    return ', '.join(map(str, value))
