"""Quarantine of requests that crash replicas."""

from collections import Counter

from attrs import define, field

from fireflyspread.clock import Clock

__all__ = ["Quarantine"]


@define
class _Crash:
    """One crash of one replica.

    Attributes
    ----------
    at : float
        Monotonic seconds.
    fingerprints : frozenset of str
        In flight on the replica at the crash.
    """

    at: float
    replica: str
    fingerprints: frozenset[str]


@define
class _Suspect:
    """A fingerprint that was in flight at crashes.

    Attributes
    ----------
    expires_at : float
        Monotonic seconds when the suspicion ends.
    replicas : set of str
        Replicas that crashed with it in flight.
    alone_crashes : int
        Crashes while this node sent nothing else to the replica.
    has_exclusive_crash : bool
        Whether one of these was of a replica that reported no requests of other nodes.
    """

    expires_at: float
    replicas: set[str] = field(factory=set)
    alone_crashes: int = 0
    has_exclusive_crash: bool = False

    def is_proven(self) -> bool:
        """Return whether no other request can be the cause."""
        if self.has_exclusive_crash:
            return len(self.replicas) >= 2
        return self.alone_crashes >= 2 and len(self.replicas) >= 3


class Quarantine:
    """Finds the requests that crash replicas.

    Every fingerprint in flight at a crash becomes a suspect. Suspects run in
    isolation. A suspect that is answered in isolation is cleared. One that was in
    flight at crashes of two different replicas, at least once alone, is quarantined:
    only a crash while alone distinguishes it from other requests in flight.

    Alone means that this node sent nothing else to the replica. If the replica
    reported requests of other nodes, one of these may be the cause. Then it takes two
    crashes while alone and three different replicas in all.

    When several replicas crash together, the cause is a rack or a zone. Then only
    fingerprints in flight on more than one of them are suspected, because isolating
    all requests of a lost zone would use up the remaining capacity.

    Parameters
    ----------
    ttl : float
        Seconds until a suspicion or a quarantine ends.
    outage_window : float
        Seconds within which crashes of ``min_outage_replicas`` count as one outage.
    min_outage_replicas : int
        Different replicas that crash in an outage.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        ttl: float = 600.0,
        outage_window: float = 2.0,
        min_outage_replicas: int = 3,
    ) -> None:
        self._clock = clock
        self._ttl = ttl
        self._outage_window = outage_window
        self._min_outage_replicas = min_outage_replicas
        self._in_flight: dict[str, Counter[str]] = {}
        self._crashes: list[_Crash] = []
        self._suspects: dict[str, _Suspect] = {}
        self._quarantined: dict[str, float] = {}
        self._cleared: dict[str, float] = {}
        self._peer_reports: dict[str, tuple[float, frozenset[str]]] = {}
        self._peer_suspects: frozenset[str] = frozenset()
        self._peer_quarantined: dict[str, float] = {}

    def start(self, fingerprint: str, replica: str) -> None:
        """Record that a request was sent to a replica."""
        self._in_flight.setdefault(replica, Counter())[fingerprint] += 1

    def finish(self, fingerprint: str, replica: str) -> None:
        """Record that a request ended, with any result."""
        counter = self._in_flight.get(replica)
        if counter is None:
            return
        counter[fingerprint] -= 1
        if counter[fingerprint] <= 0:
            del counter[fingerprint]
        if not counter:
            del self._in_flight[replica]

    def record_crash(
        self,
        fingerprint: str,
        replica: str,
        started_at: float,
        *,
        alone: bool,
        shared: bool = False,
    ) -> None:
        """Suspect what was in flight when a replica closed a connection.

        Call this before ``finish``. Further requests cut off by the same crash are
        ignored.

        Parameters
        ----------
        started_at : float
            When the request was sent, in monotonic seconds.
        alone : bool
            Whether this node sent nothing else to the replica.
        shared : bool
            Whether the replica reported requests of other nodes.
        """
        now = self._clock.read_monotonic()
        self._crashes = [c for c in self._crashes if c.at > now - self._ttl][-256:]
        for crash in self._crashes:
            if crash.replica == replica and started_at <= crash.at:
                return
        fingerprints = frozenset(self._in_flight.get(replica, ())) | {fingerprint}
        alone = alone and len(fingerprints) == 1
        self._crashes.append(_Crash(now, replica, fingerprints))
        for each in fingerprints:
            suspect = self._add_suspect(each, replica, now)
            suspect.alone_crashes += alone
            suspect.has_exclusive_crash |= alone and not shared
            if suspect.is_proven():
                self._quarantined[each] = now + self._ttl
                del self._suspects[each]
                self._clear_explained()
        self._clear_outage(now)

    def _add_suspect(self, fingerprint: str, replica: str, now: float) -> _Suspect:
        self._cleared.pop(fingerprint, None)
        suspect = self._suspects.setdefault(fingerprint, _Suspect(now + self._ttl))
        suspect.expires_at = now + self._ttl
        suspect.replicas.add(replica)
        return suspect

    def _clear_explained(self) -> None:
        """Clear suspects of a single shared crash, now that a cause is known.

        If that crash had another cause, the next one makes them suspects again.
        """
        self._suspects = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects.items()
            if suspect.alone_crashes or len(suspect.replicas) > 1
        }

    def _clear_outage(self, now: float) -> None:
        recent = [c for c in self._crashes if c.at >= now - self._outage_window]
        if len({crash.replica for crash in recent}) < self._min_outage_replicas:
            return
        counts = Counter(f for crash in recent for f in crash.fingerprints)
        for fingerprint, count in counts.items():
            suspect = self._suspects.get(fingerprint)
            if count == 1 and suspect is not None and not suspect.alone_crashes:
                del self._suspects[fingerprint]

    def record_answer(self, fingerprint: str, *, isolated: bool) -> None:
        """Clear a suspect that was answered in isolation.

        Other answers are to requests sent before the suspicion, or by a node that did
        not know of it.
        """
        if isolated and self.is_suspect(fingerprint):
            self._suspects.pop(fingerprint, None)
            self._cleared[fingerprint] = self._clock.read_monotonic() + self._ttl

    def merge(
        self, node: str, suspects: tuple[str, ...], quarantined: tuple[str, ...]
    ) -> None:
        """Merge the suspects and quarantined fingerprints that another node found.

        The suspects of a node replace those that it reported before. A quarantine
        lasts from the first report, so nodes do not prolong it by repeating it.
        """
        now = self._clock.read_monotonic()
        before = self._peer_reports.get(node)
        self._peer_reports[node] = (now + self._ttl, frozenset(suspects))
        if before is None or before[1] != self._peer_reports[node][1]:
            self._merge_peer_suspects()
        for fingerprint in quarantined:
            if not (
                fingerprint in self._quarantined
                or fingerprint in self._peer_quarantined
            ):
                self._peer_quarantined[fingerprint] = now + self._ttl
                self._clear_explained()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint must run in isolation."""
        now = self._clock.read_monotonic()
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.expires_at > now:
            return True
        if fingerprint not in self._peer_suspects:
            return False
        return self._cleared.get(fingerprint, 0.0) <= now

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the fingerprint must not run."""
        now = self._clock.read_monotonic()
        return (
            self._quarantined.get(fingerprint, 0.0) > now
            or self._peer_quarantined.get(fingerprint, 0.0) > now
        )

    def has_entries(self) -> bool:
        """Return whether any request may be suspected or quarantined."""
        return bool(
            self._suspects
            or self._quarantined
            or self._peer_quarantined
            or self._peer_suspects
        )

    def get_crashed_replicas(self, fingerprint: str) -> frozenset[str]:
        """Return the replicas that crashed with the fingerprint in flight."""
        suspect = self._suspects.get(fingerprint)
        return frozenset() if suspect is None else frozenset(suspect.replicas)

    def list_suspects(self) -> tuple[str, ...]:
        """Return the suspects that this node found, to report to other nodes."""
        self._expire()
        return tuple(sorted(self._suspects))

    def list_quarantined(self) -> tuple[str, ...]:
        """Return what this node has quarantined, to report to other nodes."""
        self._expire()
        return tuple(sorted(self._quarantined))

    def _merge_peer_suspects(self) -> None:
        self._peer_suspects = frozenset[str]().union(
            *(suspects for _, suspects in self._peer_reports.values())
        )

    def _expire(self) -> None:
        now = self._clock.read_monotonic()
        self._suspects = {f: s for f, s in self._suspects.items() if s.expires_at > now}
        self._quarantined = {f: t for f, t in self._quarantined.items() if t > now}
        self._cleared = {f: t for f, t in self._cleared.items() if t > now}
        if any(until <= now for until, _ in self._peer_reports.values()):
            self._peer_reports = {
                node: report
                for node, report in self._peer_reports.items()
                if report[0] > now
            }
            self._merge_peer_suspects()
        self._peer_quarantined = {
            f: t for f, t in self._peer_quarantined.items() if t > now
        }
