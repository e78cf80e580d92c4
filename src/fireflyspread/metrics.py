"""Metrics sent to statsd or rendered in the text format of Prometheus."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest
from statsd import StatsClient
from statsd.client.base import StatsClientBase

from fireflyspread.settings import Address

__all__ = ["Metrics"]

# First tokens are due within 0.2 s and programs within seconds.
_BUCKETS_SECONDS = (
    0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5,
    2.0, 3.0, 4.0, 8.0,
)  # fmt: skip
# Leading parts of a dotted name that form the metric name; the other parts form the
# label ``kind``.
_METRIC_NAME_PARTS = 2


class Metrics:
    """Counters, gauges and timings of this process.

    Parameters
    ----------
    client : StatsClientBase or None
        Client of the statsd server; None sends nothing.
    registry : CollectorRegistry or None
        Registry that ``render`` reads; None keeps no metrics.
    """

    def __init__(
        self,
        client: StatsClientBase | None = None,
        *,
        registry: CollectorRegistry | None = None,
    ) -> None:
        self._client = client
        self._registry = registry
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    @classmethod
    def from_config(cls, address: Address | None, node: str) -> "Metrics":
        """Send to a statsd server with the prefix ``fireflyspread.<node>``."""
        if address is None:
            return cls()
        client = StatsClient(
            host=address.host, port=address.port, prefix=f"fireflyspread.{node}"
        )
        return cls(client)

    @classmethod
    def with_registry(cls) -> "Metrics":
        """Keep the metrics in a registry for ``render``."""
        return cls(registry=CollectorRegistry())

    def render(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return b"" if self._registry is None else generate_latest(self._registry)

    def count(self, name: str, value: int = 1) -> None:
        """Add ``value`` to a counter."""
        if self._client is not None:
            self._client.incr(name, value)
        if self._registry is not None:
            metric, kind = _split_name(name)
            counter = self._counters.get(metric)
            if counter is None:
                counter = self._counters[metric] = Counter(
                    metric, f"Count of {name}.", ["kind"], registry=self._registry
                )
            counter.labels(kind).inc(value)

    def record_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)
        if self._registry is not None:
            metric, kind = _split_name(name)
            gauge = self._gauges.get(metric)
            if gauge is None:
                gauge = self._gauges[metric] = Gauge(
                    metric, f"Value of {name}.", ["kind"], registry=self._registry
                )
            gauge.labels(kind).set(value)

    def record_seconds(self, name: str, seconds: float) -> None:
        """Record a duration; statsd receives milliseconds."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)
        if self._registry is not None:
            metric, kind = _split_name(name)
            histogram = self._histograms.get(metric)
            if histogram is None:
                histogram = self._histograms[metric] = Histogram(
                    metric,
                    f"Seconds of {name}.",
                    ["kind"],
                    buckets=_BUCKETS_SECONDS,
                    registry=self._registry,
                )
            histogram.labels(kind).observe(seconds)


def _split_name(name: str) -> tuple[str, str]:
    """Return the metric name and the label ``kind`` of a dotted name."""
    parts = name.split(".")
    metric = "fireflyspread_" + "_".join(parts[:_METRIC_NAME_PARTS])
    return metric, "_".join(parts[_METRIC_NAME_PARTS:])
