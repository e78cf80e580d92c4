"""Metrics by statsd."""

from statsd import StatsClient
from statsd.client.base import StatsClientBase

from fireflyspread.settings import Address

__all__ = ["Metrics"]


class Metrics:
    """Counters, gauges and timings of this process.

    Parameters
    ----------
    client : StatsClientBase or None
        None discards all metrics.
    """

    def __init__(self, client: StatsClientBase | None = None) -> None:
        self._client = client

    @classmethod
    def from_config(cls, address: Address | None, node: str) -> "Metrics":
        """Send to a statsd server under the prefix ``fireflyspread.<node>``."""
        if address is None:
            return cls()
        client = StatsClient(
            host=address.host, port=address.port, prefix=f"fireflyspread.{node}"
        )
        return cls(client)

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def record_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def record_seconds(self, name: str, seconds: float) -> None:
        """Record a duration; statsd receives milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)
