"""Frame of a case: routers as separate processes, clients and the record."""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import typing as ty

import platform_standin as platform

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, UNABLE = 0, 1, 2
KEY = 'key-of-team-a'
HOST = 'front.example'
_TIME_LIMIT_S = 112


class Unable(Exception):
    """Raised if the case couldn't run."""


class Case:
    """One play of a case.

    Parameters
    ----------
    folder : str
        Folder of the case, in which the record is written.
    """

    def __init__(self, folder: str) -> None:
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        """Whether the disruption is brought about."""
        self._record = open(
            pathlib.Path(folder, 'record.txt'), 'w', encoding='utf-8'
        )
        self._began = time.monotonic()
        self._lock = threading.Lock()
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix='peridotmast-'))
        self.routers: list[Router] = []
        # Plays beside each other don't take each other's ports.
        numbers = random.SystemRandom()
        self.network = (
            f'127.{numbers.randrange(1, 255)}.{numbers.randrange(255)}'
        )
        """First three numbers of the routers' loopback addresses."""
        self.store = platform.Store()
        self.cloud = platform.Cloud()

    def note(self, event: str, **values: ty.Any) -> None:
        """Add a line to the record."""
        text = ' '.join(f'{k}={v}' for k, v in values.items())
        with self._lock:
            if not self._record.closed:
                at = time.monotonic() - self._began
                self._record.write(f'{at:8.3f} {event} {text}\n')
                self._record.flush()

    def router(self, number: int, **bounds: ty.Any) -> Router:
        """Start a router."""
        router = Router(self, number, bounds)
        self.routers.append(router)
        router.start()
        return router

    def seconds(self) -> float:
        """Return the time since the beginning, in s."""
        return time.monotonic() - self._began

    def close(self) -> None:
        """End all processes that were started."""
        for router in self.routers:
            router.kill()
        self._record.close()
        shutil.rmtree(self.temp, ignore_errors=True)


def play(folder: str, body: ty.Callable[[Case], int]) -> ty.NoReturn:
    """Play a case and exit with its result."""
    case = Case(folder)
    status = UNABLE

    def end_late(*args: ty.Any) -> None:
        raise Unable('out of time')

    signal.signal(signal.SIGALRM, end_late)
    signal.signal(signal.SIGTERM, end_late)
    signal.alarm(_TIME_LIMIT_S)
    try:
        status = body(case)
    except Exception as exc:
        case.note('unable', error=repr(exc))
        traceback.print_exc()
    finally:
        signal.alarm(0)
        names = {HELD: 'held', BROKEN: 'broken', UNABLE: 'unable'}
        case.note('result', rule=names[status], trouble=case.has_trouble)
        print(names[status])
        case.close()
    sys.stdout.flush()
    os._exit(status)


class Router:
    """A router process, started with the command of the deploy file."""

    def __init__(
        self, case: Case, number: int, bounds: dict[str, ty.Any]
    ) -> None:
        self._case, self.number = case, number
        self.name = f'edge-{number}'
        self.ip = f'{case.network}.{10 + number}'
        self._bounds = bounds
        names = ('front', 'ready', 'directory', 'control', 'metrics')
        self.ports = dict(zip(names, _free_ports(self.ip, len(names))))
        self._range = _free_range(self.ip)
        self.process: ty.Any = None
        self.file_limit = 0
        """Limit of descriptors of the process; 0 for none of its own."""

    def address(self, name: str) -> str:
        """Return one of the addresses listened on."""
        return f'{self.ip}:{self.ports[name]}'

    def start(self) -> None:
        """Start the process."""
        settings = self._case.temp / f'{self.name}.ini'
        settings.write_text(self._settings(), encoding='utf-8')
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        env = {
            k: v
            for k, v in os.environ.items()
            if k in ('PATH', 'HOME', 'LANG')
        }
        env['PERIDOTMAST_NODE_FILE'] = str(settings)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        command = deploy['roles']['router']['run'].split()
        if self.file_limit:
            env['CASE_FILES'] = str(self.file_limit)
            limiter = pathlib.Path(__file__).with_name('limited.py')
            command = [sys.executable, str(limiter), *command]
        log = self._case.temp / f'{self.name}.log'
        self.log = log
        with open(log, 'ab') as file:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=file,
            )
        self._case.note('router_started', router=self.name)

    def is_ready(self) -> bool:
        """Return whether the platform's check finds the router ready."""
        try:
            conn = http.client.HTTPConnection(
                self.ip, self.ports['ready'], timeout=2
            )
            conn.request('GET', '/readiness')
            status = conn.getresponse().status
            conn.close()
        except (OSError, http.client.HTTPException):
            return False
        return status == 200

    def wait_until_ready(self, timeout_s: float = 30) -> None:
        """Wait until the router is ready."""
        end = time.monotonic() + timeout_s
        while not self.is_ready():
            if self.process.poll() is not None:
                raise Unable(f'{self.name} ended: {self.log.read_text()}')
            if time.monotonic() > end:
                raise Unable(f'{self.name} not ready')
            time.sleep(0.1)
        self._case.note('router_ready', router=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self._case.note('signal', router=self.name, number=number)
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def logged(self, text: str) -> list[str]:
        """Return the lines of the log that contain a text."""
        lines = self.log.read_text(encoding='utf-8', errors='replace')
        return [line for line in lines.splitlines() if text in line]

    def _settings(self) -> str:
        case = self._case
        seeds = ','.join(r.address('control') for r in case.routers)
        bounds = {
            'drain_ms': 2000, 'grace_s': 8, 'budget_ratio': 0.2,
            'budget_window_s': 10, 'budget_slack': 54, 'lease_ms': 3000,
            'usage_window_s': 5, 'resolve_ttl_s': 5, 'limit_window_s': 8,
            'limit_over': 0.1, 'limit_slack': 110000, **self._bounds,
        }  # fmt: skip
        lines = [
            '[router]',
            f'name = {self.name}',
            f'listen = {self.address("front")}',
            f'ready_listen = {self.address("ready")}',
            f'directory_listen = {self.address("directory")}',
            f'peer_listen = {self.address("control")}',
            'failure_domain = zone-a',
            'region = region-a',
            f'seeds = {seeds}',
            f'ports = {self._range},{self._range + 15}',
            '[platform]',
            f'objects = {case.store.address}',
            f'cloud = {case.cloud.address}',
            '[bounds]',
            *(f'{k} = {v}' for k, v in bounds.items()),
            '[telemetry]',
            f'metrics_listen = {self.address("metrics")}',
        ]
        return '\n'.join(lines) + '\n'


def config(
    version: int,
    routes: list[dict[str, ty.Any]],
    services: list[dict[str, ty.Any]],
) -> dict[str, ty.Any]:
    """Return a config with one tenant without a usage cap."""
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'limits': {
            'max-header-bytes': 16384, 'max-body-bytes': 4194304,
            'header-timeout-ms': 3000, 'idle-timeout-ms': 15000,
        },
        'tenants': [{'name': 'team-a', 'api-keys': [KEY]}],
    }  # fmt: skip


def route(
    name: str, kind: str, service: str, **values: ty.Any
) -> dict[str, ty.Any]:
    """Return a route of a config."""
    return {
        'name': name, 'host': HOST, 'prefix': f'/{name}/', 'kind': kind,
        'timeout-ms': 3000, 'target-latency-ms': 400, 'priority': 1,
        'service': service, 'attempts': 1, 'public': False, **values,
    }  # fmt: skip


def service(name: str, **values: ty.Any) -> dict[str, ty.Any]:
    """Return a plain service of a config."""
    return {
        'name': name, 'health-path': '/health', 'max-conns': 100,
        'protocol': 'h1', 'tls': False, **values,
    }  # fmt: skip


ENGINE = {
    'capacity-slots': 64, 'kv-tokens': 354266, 'kv-bytes': 163840,
    'link-mbps': 1100000.0, 'moves': True, 'backups': True, 'stride': 4,
    'most': 12, 'pin-ms': 4000.0, 'hold-ms': 2000.0, 'handle-s': 5.0,
    'models': [{'name': 'm'}],
}  # fmt: skip
"""What a config says of an engine service, as on the small sites."""


class Answer(ty.NamedTuple):
    """What a requester received."""

    status: int
    """Status; 0 if the channel ended before."""
    body: bytes
    is_complete: bool
    headers: dict[str, str]


def send(
    case: Case,
    address: str,
    request_id: str,
    path: str,
    method: str = 'POST',
    body: bytes = b'x',
    deadline_ms: int = 3000,
    headers: ty.Optional[dict[str, str]] = None,
    on_bytes: ty.Callable[[bytes], None] = lambda data: None,
) -> Answer:
    """Send one request on a new channel and return what came back."""
    host, _, port = address.rpartition(':')
    conn = http.client.HTTPConnection(host, int(port), timeout=1)
    case.note('sent', id=request_id, to=address, path=path, extra=headers)
    received = b''
    status, answer_headers = 0, {}
    is_complete = False
    try:
        conn.connect()
        conn.sock.settimeout(deadline_ms / 1000)
        conn.putrequest(method, path, skip_host=True)
        for name, value in {
            'Host': HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
            'Authorization': f'Bearer {KEY}',
            'Content-Length': str(len(body)),
            **(headers or {}),
        }.items():
            conn.putheader(name, value)
        conn.endheaders(body)
        resp = conn.getresponse()
        status = resp.status
        answer_headers = {k.lower(): v for k, v in resp.getheaders()}
        while data := resp.read1(65536):
            received += data
            on_bytes(data)
        is_complete = not resp.length
        if answer_headers.get('transfer-encoding') == 'chunked':
            is_complete = resp.isclosed()
    except (OSError, http.client.HTTPException) as exc:
        case.note('channel_ended', id=request_id, error=repr(exc))
    finally:
        conn.close()
    case.note(
        'answered', id=request_id, status=status, complete=is_complete,
        body=json.dumps(received[:200].decode('latin-1')),
    )  # fmt: skip
    return Answer(status, received, is_complete, answer_headers)


def _free_ports(ip: str, count: int) -> list[int]:
    socks = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        socks.append(sock)
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def _free_range(ip: str) -> int:
    """Return a port that is free for TCP and UDP."""
    for _ in range(50):
        port = _free_ports(ip, 1)[0]
        if port > 65000:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            try:
                sock.bind((ip, port))
            except OSError:
                continue
            return port
    raise Unable('no free port')
