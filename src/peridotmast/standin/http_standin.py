"""What all stand-ins have: an interface, and an address of its own."""

from __future__ import annotations

import typing as ty

from peridotmast import ids
from peridotmast import web
from peridotmast.wire import server as server_

A = ty.TypeVar('A', bound=web.WebApp)


class HttpStandin(ty.Generic[A]):
    """A stand-in that listens from its start to its end.

    Parameters
    ----------
    app : web.WebApp
        Its interface.
    address : str
        ``IP:port`` to listen on; port 0 takes a free one.
    """

    def __init__(self, app: A, address: str) -> None:
        self.app = app
        """Its interface, whose faults may be set."""
        self.server = server_.HttpServer(address, app)
        """The listening server."""
        self.server.start()

    @property
    def address(self) -> ids.Address:
        """Address that it listens on."""
        return self.server.address

    def stop(self) -> None:
        """End at once."""
        self.server.stop()
