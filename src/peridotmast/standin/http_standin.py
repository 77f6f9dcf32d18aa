"""Base class of the stand-ins: a web application with its own server."""

from __future__ import annotations

import typing as ty

from peridotmast import ids
from peridotmast import web
from peridotmast.wire import server as server_

A = ty.TypeVar('A', bound=web.WebApp)


class HttpStandin(ty.Generic[A]):
    """Stand-in that listens from its construction until `stop`.

    Parameters
    ----------
    app : web.WebApp
        Web application that it serves.
    address : str
        ``IP:port`` to listen on; port 0 selects a free one.
    """

    def __init__(self, app: A, address: str) -> None:
        self.app = app
        """The web application, which can inject faults."""
        self.server = server_.HttpServer(address, app)
        """HTTP server of the application."""
        self.server.start()

    @property
    def address(self) -> ids.Address:
        """Address on which it listens."""
        return self.server.address

    def stop(self) -> None:
        """Stop the server at once."""
        self.server.stop()
