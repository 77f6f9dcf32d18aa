"""gRPC servers and clients on the hub's loop, for use in green tasks."""

from __future__ import annotations

import asyncio
import typing as ty

import grpc
import grpc.aio

from peridotmast import failures
from peridotmast import green
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

_CHANNEL_OPTIONS = (
    ('grpc.keepalive_time_ms', 10_000),
    ('grpc.keepalive_timeout_ms', 5_000),
    ('grpc.keepalive_permit_without_calls', 0),
    ('grpc.so_reuseport', 0),
    ('grpc.max_receive_message_length', 64 << 20),
)


_MAX_CONNECTIONS = 20_000

_HANDSHAKE_MS = 5000
"""Time in which a client must begin to speak HTTP/2, in ms."""


class RpcServer:
    """Serves gRPC at one address; handlers run as green tasks.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 selects a free port.
    tls : pb.TlsSettings, optional
        Certificate, key and trusted authorities; unencrypted by default.
    max_connections : int, optional
        Maximum number of connections; a further one is closed at once.
    """

    def __init__(
        self,
        address: str,
        tls: ty.Optional[pb.TlsSettings] = None,
        max_connections: int = _MAX_CONNECTIONS,
    ) -> None:
        self._listen_address = address
        self._tls = tls
        self.max_connections = max_connections
        """Maximum number of connections."""
        self._server: ty.Any = None
        self._log = logs.get('rpc')
        self.address = address
        """Address of the listening socket, once started."""

    def start(self, *services: tuple[ty.Callable[..., None], ty.Any]) -> None:
        """Serve `services`, pairs of a registration function and an object.

        The object's methods take the request and the caller, and return the
        reply. They run as green tasks.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server = green.wait_for(self._start(services))

    def stop(self, grace_ms: int = 0) -> None:
        """Stop the server; calls in progress get `grace_ms` to finish."""
        if self._server is not None:
            green.wait_for(self._server.stop(grace_ms / 1000))

    def _options(self) -> ty.Sequence[tuple[str, int]]:
        return (
            *_CHANNEL_OPTIONS,
            ('grpc.max_allowed_incoming_connections', self.max_connections),
            ('grpc.server_handshake_timeout_ms', _HANDSHAKE_MS),
        )

    async def _start(
        self, services: ty.Iterable[tuple[ty.Callable[..., None], ty.Any]]
    ) -> ty.Any:
        server = grpc.aio.server(options=self._options())
        for register, service in services:
            register(_GreenServicer(service, self._log), server)
        host = self._listen_address.rpartition(':')[0]
        try:
            if self._tls is not None and self._tls.cert_file:
                creds = server_credentials(self._tls)
                port = server.add_secure_port(self._listen_address, creds)
            else:
                port = server.add_insecure_port(self._listen_address)
        except RuntimeError as exc:
            raise OSError(
                f'cannot listen on {self._listen_address}: {exc}'
            ) from exc
        self.address = f'{host}:{port}'
        await server.start()
        return server


class RpcClient:
    """Calls other processes, over one channel for each address.

    Parameters
    ----------
    stub : type
        Generated stub class.
    tls : pb.TlsSettings, optional
        Certificate, key and trusted authorities; unencrypted by default.
    """

    def __init__(
        self, stub: ty.Any, tls: ty.Optional[pb.TlsSettings] = None
    ) -> None:
        self._stub = stub
        self._tls = tls
        self._channels: dict[str, tuple[ty.Any, ty.Any]] = {}

    def call(
        self, address: str, method: str, request: ty.Any, timeout_ms: int
    ) -> ty.Any:
        """Return the reply, or a `failures.Failure` if there is none."""
        try:
            return green.wait_for(
                self._call(address, method, request, timeout_ms)
            )
        except asyncio.CancelledError:
            return failures.unavailable('cancelled', 'the channel was closed')
        except grpc.aio.AioRpcError as exc:
            if exc.code() in (
                grpc.StatusCode.UNAVAILABLE,
                grpc.StatusCode.DEADLINE_EXCEEDED,
            ):
                # The peer may be gone without having closed the connection,
                # so the channel must not be reused.
                self.drop_channel(address)
            return failures.unavailable(
                exc.code().name.lower(), exc.details() or ''
            )

    def drop_channel(self, address: str) -> None:
        """Close the channel to `address`; the next call opens another."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            green.spawn(green.wait_for, channel[0].close(None))

    def close(self) -> None:
        """Close all channels."""
        for address in list(self._channels):
            self.drop_channel(address)

    async def _call(
        self, address: str, method: str, request: ty.Any, timeout_ms: int
    ) -> ty.Any:
        if address not in self._channels:
            channel = self._open(address)
            self._channels[address] = channel, self._stub(channel)
        stub = self._channels[address][1]
        return await getattr(stub, method)(request, timeout=timeout_ms / 1000)

    def _open(self, address: str) -> ty.Any:
        if self._tls is None or not self._tls.cert_file:
            return grpc.aio.insecure_channel(address, options=_CHANNEL_OPTIONS)
        creds = channel_credentials(self._tls)
        return grpc.aio.secure_channel(
            address, creds, options=_CHANNEL_OPTIONS
        )


class Caller(ty.NamedTuple):
    """Identity in the certificate of the process that calls."""

    name: str = ''
    """Common name; empty if the caller has sent no certificate."""
    alt_names: frozenset[str] = frozenset()
    """Alternative names, which determine the role of the caller."""


class PermissionDenied(Exception):
    """Raised by a handler if the caller lacks the permission to call it."""


class _GreenServicer:
    """Adapts an object whose methods run in green tasks to a gRPC servicer."""

    def __init__(self, service: ty.Any, log: ty.Any) -> None:
        self._service = service
        self._log = log

    def __getattr__(self, name: str) -> ty.Any:
        async def handle(request: ty.Any, context: ty.Any) -> ty.Any:
            method = getattr(self._service, name)
            caller = _caller(context)
            task = green.spawn(self._run, method, request, caller)
            result = await task
            if isinstance(result, PermissionDenied):
                self._log.warning('call_denied', method=name, peer=caller.name)
                await context.abort(
                    grpc.StatusCode.PERMISSION_DENIED, str(result)
                )
            if isinstance(result, BaseException):
                self._log.error('call_failed', method=name, error=repr(result))
                await context.abort(grpc.StatusCode.INTERNAL, repr(result))
            return result

        return handle

    def _run(self, method: ty.Any, request: ty.Any, caller: Caller) -> ty.Any:
        try:
            return method(request, caller)
        except (Exception, green.Timeout) as exc:
            return exc


def _caller(context: ty.Any) -> Caller:
    """Return the identity in the caller's certificate, if it has sent one."""
    auth = context.auth_context()
    common_names = auth.get('x509_common_name', ())
    alt_names = auth.get('x509_subject_alternative_name', ())
    return Caller(
        common_names[0].decode() if common_names else '',
        frozenset(name.decode() for name in alt_names),
    )


def server_credentials(tls: pb.TlsSettings) -> ty.Any:
    """Return server credentials, read again for each connection."""
    config = _server_config(tls)
    return grpc.dynamic_ssl_server_credentials(
        config, lambda: _server_config(tls), require_client_authentication=True
    )


def channel_credentials(tls: pb.TlsSettings) -> ty.Any:
    """Return the credentials for client channels."""
    return grpc.ssl_channel_credentials(
        _read(tls.ca_file), _read(tls.key_file), _read(tls.cert_file)
    )


def _server_config(tls: pb.TlsSettings) -> ty.Any:
    pair = (_read(tls.key_file), _read(tls.cert_file))
    return grpc.ssl_server_certificate_configuration(
        [pair], _read(tls.ca_file)
    )


def _read(path: str) -> bytes:
    with open(path, 'rb') as file:
        return file.read()
