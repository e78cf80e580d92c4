"""Replicas that have started recently and tolerate only few requests per second."""

import logging
from collections.abc import Callable, Mapping

from attrs import define, frozen

from fireflyspread.bundle import Team
from fireflyspread.clock import Clock
from fireflyspread.limits._permit_rules import PermitRules

__all__ = ["COLD_PREFIX", "ColdReplicas", "ColdRule", "make_cold_rules"]

_LOG = logging.getLogger(__name__)

COLD_PREFIX = "cold-"
# Seconds added to what a replica states. Its registration is read up to some hundred
# milliseconds after it was written, and requests that were sent before the end may
# arrive late on other links.
_MARGIN = 0.5
# Seconds by which a report of another node must exceed what is known. Otherwise the
# latency of each message would extend the time, and nodes would tell it in circles.
_MIN_EXTENSION = 0.5
# Longest time (seconds) that counts, so that a wrong figure does not slow a replica
# down for hours.
_MAX_COLD_SECONDS = 600.0
# Processes that are remembered.
_MAX_REMEMBERED = 4096
# Seconds for which permits of one second may arrive at the replica: the second itself,
# the time for which a grant may be used, and the time to connect.
_WINDOW = 1.25
# Requests beyond the rate that may be sent at once, and seconds of the rate that may in
# addition. Permits that accrue between two attempts would be lost with less.
_BASE_BURST = 3.0
_BURST_SECONDS = 0.25
_MIN_BURST = 1.0
_MIN_RATE = 0.25
# With three home nodes, the loss of one leaves two thirds of the permits.
_MAX_HOMES = 3
# Attempts of all nodes together for each permit; each asks up to three homes.
_ATTEMPTS_FOR_EACH_REQUEST = 4.0
_BURST_FOR_EACH_HOME = 2.0
# Seconds between the news of a cold replica and its first permits. The ledger needs a
# positive time; the buckets are empty then, because the replica got requests without
# permits until now.
_START_DELAY = 0.05


@frozen(kw_only=True)
class ColdRule:
    """What a service allows to its cold replicas.

    Attributes
    ----------
    start : float
        Seconds for which a replica is cold after its start.
    rate : float
        Requests per second that a cold replica tolerates.
    """

    start: float
    rate: float


@define
class _Cold:
    """A cold process.

    Attributes
    ----------
    until : float
        Monotonic seconds.
    """

    service: str
    until: float


@frozen
class _Sighting:
    """The registration of a process that was seen last."""

    service: str
    revision: int


class ColdReplicas:
    """Remembers which replica processes are cold, and until when.

    A time only ever gets longer: a replica that becomes cold again states it anew, and
    an early end is not worth the risk of an older statement that arrives late.
    Listeners are called after a process became cold or warm, or stays cold for longer.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rules: dict[str, ColdRule] = {}
        self._cold: dict[str, _Cold] = {}
        # The latest registrations, oldest first.
        self._sightings: dict[str, _Sighting] = {}
        self._listeners: list[Callable[[], None]] = []

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def set_rules(self, rules: Mapping[str, ColdRule]) -> None:
        """Set the rules of the services that bound the requests to cold replicas."""
        if rules != self._rules:
            self._rules = dict(rules)
            self._notify()

    def record_registration(
        self,
        process: str,
        service: str,
        *,
        remaining: float | None,
        age: float | None,
        revision: int,
    ) -> None:
        """Record what a registration says.

        Parameters
        ----------
        remaining : float or None
            Seconds for which the replica stays cold; None if it does not say.
        age : float or None
            Seconds since the start of the process; None if that is unknown.
        revision : int
            Revision of the store of this registration, which may be read repeatedly.
        """
        known = self._sightings.pop(process, None)
        self._sightings[process] = _Sighting(service, revision)
        if len(self._sightings) > _MAX_REMEMBERED:
            del self._sightings[next(iter(self._sightings))]
        if known is not None and revision <= known.revision:
            return
        if remaining is None:
            rule = self._rules.get(service)
            if known is not None or rule is None or age is None:
                return
            remaining = rule.start - max(0.0, age)
        self.record(process, service, remaining, source="registration")

    def record_response(self, process: str, remaining: float) -> None:
        """Record what a response of a registered process says."""
        known = self._sightings.get(process)
        if known is not None:
            self.record(process, known.service, remaining, source="response")

    def record(
        self, process: str, service: str, remaining: float, *, source: str
    ) -> None:
        """Record that a process stays cold for ``remaining`` seconds."""
        if remaining > 0 and self._extend(process, service, remaining, source, _MARGIN):
            self._notify()

    def merge(self, node: str, processes: Mapping[str, tuple[str, float]]) -> None:
        """Take over what another node knows: service and seconds by process."""
        has_changed = False
        for process, (service, remaining) in processes.items():
            if remaining > 0:
                has_changed |= self._extend(process, service, remaining, node, 0.0)
        if has_changed:
            self._notify()

    def _extend(
        self,
        process: str,
        service: str,
        remaining: float,
        source: str,
        margin: float,
    ) -> bool:
        now = self._clock.read_monotonic()
        until = now + min(remaining, _MAX_COLD_SECONDS) + margin
        known = self._cold.get(process)
        if known is not None and until <= known.until + _MIN_EXTENSION:
            # A replica states shorter and shorter times with each response.
            known.until = max(known.until, until if margin else known.until)
            return False
        if known is None and len(self._cold) >= _MAX_REMEMBERED:
            del self._cold[next(iter(self._cold))]
        self._cold[process] = _Cold(service, until)
        _LOG.info(
            "replica is cold",
            extra={
                "replica": process,
                "target": service,
                "seconds": round(remaining, 3),
                "limit": self.find(process),
                "source": source,
            },
        )
        return True

    def find(self, process: str) -> float | None:
        """Return the requests per second of a cold process; None if it is unbounded."""
        cold = self._cold.get(process)
        if cold is None or cold.until <= self._clock.read_monotonic():
            return None
        rule = self._rules.get(cold.service)
        return None if rule is None else rule.rate

    def list_rates(self) -> dict[str, float]:
        """Return the requests per second of all processes that are bounded."""
        return {
            process: rate
            for process in self._cold
            if (rate := self.find(process)) is not None
        }

    def list_known(self) -> dict[str, tuple[str, float]]:
        """Return what other nodes should know: service and seconds by process."""
        now = self._clock.read_monotonic()
        return {
            process: (cold.service, cold.until - now)
            for process, cold in self._cold.items()
            if cold.until > now and cold.service in self._rules
        }

    def expire(self) -> None:
        """Forget the processes that are warm now."""
        now = self._clock.read_monotonic()
        warm = [p for p, cold in self._cold.items() if cold.until <= now]
        for process in warm:
            _LOG.info(
                "replica is no longer cold",
                extra={"replica": process, "target": self._cold.pop(process).service},
            )
        if warm:
            self._notify()


def make_cold_rules(*, overshoot: float, slack: float) -> PermitRules:
    """Return the rules of permits for cold replicas.

    In any one second a cold replica gets at most its rate times ``overshoot`` plus
    ``slack`` requests. The rate is used in full and the rest for bursts, as far as they
    help.
    """

    def make_share(name: str, rate: float) -> Team:
        allowed = max(_MIN_BURST, rate * overshoot + slack)
        rate = max(_MIN_RATE, min(rate, (allowed - _MIN_BURST) / _WINDOW))
        burst = min(allowed - _WINDOW * rate, _BASE_BURST + _BURST_SECONDS * rate)
        return Team(name=name, rate=rate, burst=max(_MIN_BURST, burst))

    return PermitRules(
        prefix=COLD_PREFIX,
        make_share=make_share,
        limits_delay=_START_DELAY,
        starts_full=False,
        attempts=_ATTEMPTS_FOR_EACH_REQUEST,
        burst_for_each_home=_BURST_FOR_EACH_HOME,
        max_homes=_MAX_HOMES,
    )
