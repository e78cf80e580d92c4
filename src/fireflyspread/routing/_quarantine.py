"""Requests that crash replicas."""

from collections import Counter

from attrs import define, field

from fireflyspread.clock import Clock

__all__ = ["Quarantine"]


@define
class _Crash:
    """One crash of one replica."""

    at: float
    replica: str
    fingerprints: frozenset[str]


@define
class _Suspect:
    """A fingerprint that was in flight at crashes."""

    until: float
    replicas: set[str] = field(factory=set)
    alone: int = 0
    confirmed: bool = False

    def is_proven(self) -> bool:
        """Return whether no other request can be the cause."""
        if self.confirmed:
            return len(self.replicas) >= 2
        return self.alone >= 2 and len(self.replicas) >= 3


class Quarantine:
    """Finds the requests that crash replicas.

    Every fingerprint in flight at a crash becomes a suspect. Suspects are run alone.
    One that is answered while alone is cleared. One that was in flight at crashes of
    two different replicas, at least once alone, is convicted: only a crash while
    alone distinguishes it from the requests that merely were there too.

    Alone means that this node sent nothing else to the replica. If the replica
    reported requests of other nodes, one of these may be the cause, and a conviction
    takes two crashes while alone and three different replicas in all.

    When several replicas crash together, the cause is a rack or a zone. Then only
    fingerprints in flight on more than one of them are suspected, because running all
    requests of a lost zone alone would take away the capacity that is left.

    Parameters
    ----------
    ttl : float
        Seconds that suspicion and conviction last.
    window : float
        Seconds in which crashes of ``mass`` replicas count as one outage.
    mass : int
        Replicas.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        ttl: float = 600.0,
        window: float = 2.0,
        mass: int = 3,
    ) -> None:
        self._clock = clock
        self._ttl = ttl
        self._window = window
        self._mass = mass
        self._in_flight: dict[str, Counter[str]] = {}
        self._crashes: list[_Crash] = []
        self._suspects: dict[str, _Suspect] = {}
        self._convicted: dict[str, float] = {}
        self._cleared: dict[str, float] = {}
        self._heard: dict[str, tuple[float, frozenset[str]]] = {}
        self._heard_suspects: frozenset[str] = frozenset()
        self._heard_convicted: dict[str, float] = {}

    def start(self, fingerprint: str, replica: str) -> None:
        """Take note that a request was sent to a replica."""
        self._in_flight.setdefault(replica, Counter())[fingerprint] += 1

    def finish(self, fingerprint: str, replica: str) -> None:
        """Take note that a request ended, however it ended."""
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

        Call this before ``finish``. Requests that the same crash cut off add nothing.

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
            suspect = self._suspect(each, replica, now)
            suspect.alone += alone
            suspect.confirmed |= alone and not shared
            if suspect.is_proven():
                self._convicted[each] = now + self._ttl
                del self._suspects[each]
                self._forgive_explained()
        self._forgive_outage(now)

    def _suspect(self, fingerprint: str, replica: str, now: float) -> _Suspect:
        self._cleared.pop(fingerprint, None)
        suspect = self._suspects.setdefault(fingerprint, _Suspect(now + self._ttl))
        suspect.until = now + self._ttl
        suspect.replicas.add(replica)
        return suspect

    def _forgive_explained(self) -> None:
        """Clear what was there at one crash, now that the cause is known.

        Their crash may have had another cause. They are suspected again at the next.
        """
        self._suspects = {
            fingerprint: suspect
            for fingerprint, suspect in self._suspects.items()
            if suspect.alone or len(suspect.replicas) > 1
        }

    def _forgive_outage(self, now: float) -> None:
        recent = [c for c in self._crashes if c.at >= now - self._window]
        if len({crash.replica for crash in recent}) < self._mass:
            return
        counts = Counter(f for crash in recent for f in crash.fingerprints)
        for fingerprint, count in counts.items():
            suspect = self._suspects.get(fingerprint)
            if count == 1 and suspect is not None and not suspect.alone:
                del self._suspects[fingerprint]

    def record_answer(self, fingerprint: str, *, isolated: bool) -> None:
        """Clear a suspect that was answered in isolation.

        Other answers come from before it was suspected or from a node that does not
        know of the suspicion.
        """
        if isolated and self.is_suspect(fingerprint):
            self._suspects.pop(fingerprint, None)
            self._cleared[fingerprint] = self._clock.read_monotonic() + self._ttl

    def merge(
        self, node: str, suspects: tuple[str, ...], convicted: tuple[str, ...]
    ) -> None:
        """Take over what another node found itself.

        The suspects of a node replace those it named before. A conviction lasts from
        the first time it is heard, so nodes do not keep it alive by repeating it.
        """
        now = self._clock.read_monotonic()
        before = self._heard.get(node)
        self._heard[node] = (now + self._ttl, frozenset(suspects))
        if before is None or before[1] != self._heard[node][1]:
            self._join_heard()
        for fingerprint in convicted:
            if not (
                fingerprint in self._convicted or fingerprint in self._heard_convicted
            ):
                self._heard_convicted[fingerprint] = now + self._ttl
                self._forgive_explained()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint must run alone."""
        now = self._clock.read_monotonic()
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.until > now:
            return True
        if fingerprint not in self._heard_suspects:
            return False
        return self._cleared.get(fingerprint, 0.0) <= now

    def is_convicted(self, fingerprint: str) -> bool:
        """Return whether the fingerprint must not run."""
        now = self._clock.read_monotonic()
        return (
            self._convicted.get(fingerprint, 0.0) > now
            or self._heard_convicted.get(fingerprint, 0.0) > now
        )

    def has_entries(self) -> bool:
        """Return whether any request may be suspected or convicted."""
        return bool(
            self._suspects
            or self._convicted
            or self._heard_convicted
            or self._heard_suspects
        )

    def get_crashed(self, fingerprint: str) -> frozenset[str]:
        """Return the replicas that crashed with the fingerprint in flight."""
        suspect = self._suspects.get(fingerprint)
        return frozenset() if suspect is None else frozenset(suspect.replicas)

    def suspects(self) -> tuple[str, ...]:
        """Return the suspects that this node found, for other nodes."""
        self._expire()
        return tuple(sorted(self._suspects))

    def convicted(self) -> tuple[str, ...]:
        """Return the convictions that this node found, for other nodes."""
        self._expire()
        return tuple(sorted(self._convicted))

    def _join_heard(self) -> None:
        self._heard_suspects = frozenset[str]().union(
            *(suspects for _, suspects in self._heard.values())
        )

    def _expire(self) -> None:
        now = self._clock.read_monotonic()
        self._suspects = {f: s for f, s in self._suspects.items() if s.until > now}
        self._convicted = {f: t for f, t in self._convicted.items() if t > now}
        self._cleared = {f: t for f, t in self._cleared.items() if t > now}
        if any(until <= now for until, _ in self._heard.values()):
            self._heard = {n: h for n, h in self._heard.items() if h[0] > now}
            self._join_heard()
        self._heard_convicted = {
            f: t for f, t in self._heard_convicted.items() if t > now
        }
