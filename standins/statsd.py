"""Stand-in of a statsd server, which counts the metrics that arrive by UDP."""

import asyncio
from collections import Counter
from typing import Any

from aiohttp import web

from standins._base import StandIn, answer_json, main

__all__ = ["StatsdStandIn"]


class _DatagramHandler(asyncio.DatagramProtocol):
    def __init__(self, owner: "StatsdStandIn") -> None:
        self._owner = owner

    def datagram_received(self, data: bytes, addr: Any) -> None:
        self._owner.receive(data)


class StatsdStandIn(StandIn):
    """UDP server; the same TCP port serves the counts (``GET /metrics``).

    Attributes
    ----------
    names : Counter of str
        Number of metrics received, by name.
    sums : Counter of str
        Sum of each counter, by name.
    malformed : int
        Number of lines that are not statsd metrics.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.names: Counter[str] = Counter()
        self.sums: Counter[str] = Counter()
        self.malformed = 0
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def address(self) -> str:
        """Address and port of the UDP server."""
        return self._listen

    def add_routes(self, app: web.Application) -> None:
        """Add none; only control paths are served."""

    def add_control_routes(self, app: web.Application) -> None:
        """Add the route of the counts."""
        app.router.add_get("/metrics", self._get_metrics)

    async def start(self) -> None:
        """Listen on TCP and UDP."""
        await super().start()
        host, _, port = self._listen.rpartition(":")
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramHandler(self), local_addr=(host, int(port))
        )

    async def stop(self) -> None:
        """Stop listening on TCP and UDP."""
        if self._transport is not None:
            self._transport.close()
        await super().stop()

    def receive(self, data: bytes) -> None:
        """Count the metrics of one datagram."""
        for line in data.decode(errors="replace").split("\n"):
            name, colon, rest = line.partition(":")
            value, bar, kind = rest.partition("|")
            if not (colon and bar):
                self.malformed += bool(line)
                continue
            self.names[name] += 1
            if kind.startswith("c"):
                self.sums[name] += int(float(value))

    async def _get_metrics(self, request: web.Request) -> web.Response:
        return answer_json(
            {"names": self.names, "sums": self.sums, "malformed": self.malformed}
        )


if __name__ == "__main__":
    main(StatsdStandIn)
