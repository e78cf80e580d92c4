"""Crashes that this node and the other nodes saw, merged."""

import logging
from collections.abc import Iterable, Iterator, Set

from attrs import evolve

from fireflyspread.clock import Clock
from fireflyspread.routing._crashes import Crash, CrashReport, MergedCrash

__all__ = ["CrashEvidence"]

_LOG = logging.getLogger(__name__)

# Crashes in the report of one node, and fingerprints in one of them.
_MAX_CRASHES = 64
_MAX_FINGERPRINTS = 256
# Seconds after a crash within which a further broken connection to the replica belongs
# to the same crash, as the process cannot be back yet.
_MIN_RESTART_SECONDS = 0.5


class CrashEvidence:
    """The union of the reports of all nodes, without what has been answered since.

    Parameters
    ----------
    incarnation : str
        Unique to one run of this process.
    ttl : float
        Seconds for which a crash is kept.

    Attributes
    ----------
    number : int
        Number of the report of this node.
    merged : dict of str to MergedCrash
        Crashes by id.
    learned_at : dict of str to float
        Monotonic seconds at which this node learned of each crash, by id.
    crashes_of : dict of str to set of str
        Ids of the crashes with a fingerprint in flight, by fingerprint.
    """

    def __init__(self, clock: Clock, *, incarnation: str, ttl: float) -> None:
        self._clock = clock
        self._incarnation = incarnation
        self._ttl = ttl
        self.number = 0
        self._presumed_count = 0
        self._own: dict[str, Crash] = {}
        self._own_answered: set[tuple[str, str]] = set()
        # By node and incarnation: a restarted node may not know what it saw before.
        self._reports: dict[tuple[str, str], CrashReport] = {}
        self.learned_at: dict[str, float] = {}
        self.merged: dict[str, MergedCrash] = {}
        self.crashes_of: dict[str, set[str]] = {}

    def add(
        self,
        process: str,
        ranks: dict[str, int],
        started_at: float,
        *,
        fingerprint: str,
        alone: bool,
        shared: bool,
        begun: Iterable[str] = (),
    ) -> Crash | None:
        """Add a crash that cut off a request of this node.

        Parameters
        ----------
        ranks : dict of str to int
            Requests in flight.
        started_at : float
            When the request was sent, in monotonic seconds.
        fingerprint : str
            Of the request; it is kept if there are too many.
        begun : iterable of str
            Fingerprints whose requests had all begun to be answered.

        Returns
        -------
        Crash or None
            None if the request is known to have been in flight at this crash.
        """
        crash_id = self._find_id(process, started_at)
        known = self._own.get(crash_id)
        if known is not None and fingerprint in known.ranks:
            return None
        if known is not None:
            ranks = {fingerprint: ranks[fingerprint], **known.ranks}
            begun = {*known.begun, *({fingerprint} & set(begun))}
        kept = _limit(ranks, fingerprint)
        crash = Crash(
            id=crash_id,
            process=process,
            at=self._clock.read_wall() if known is None else known.at,
            ranks=kept,
            is_alone=alone and len(ranks) == 1,
            is_shared=shared,
            begun=tuple(sorted(kept.keys() & set(begun))),
        )
        self._own[crash_id] = crash
        if len(self._own) > _MAX_CRASHES:
            self._drop_weakest(keep=crash_id)
        self.number += 1
        self._merge()
        return crash

    def add_presumed(self, process: str, fingerprint: str, rank: int) -> str:
        """Add a crash that is presumed until its request is answered; return its id."""
        self._presumed_count += 1
        crash_id = f"{process}?{self._incarnation}.{self._presumed_count}"
        self._own[crash_id] = Crash(
            id=crash_id,
            process=process,
            at=self._clock.read_wall(),
            ranks={fingerprint: rank},
            is_presumed=True,
            is_running=True,
        )
        if len(self._own) > _MAX_CRASHES:
            self._drop_weakest(keep=crash_id)
        self.number += 1
        self._merge()
        return crash_id

    def confirm_presumed(self, crash_id: str) -> None:
        """Record that the request of a presumed crash has ended without an answer."""
        crash = self._own.get(crash_id)
        if crash is not None:
            self._own[crash_id] = evolve(crash, is_running=False)
            self.number += 1
            self._merge()

    def withdraw_presumed(self, crash_id: str) -> None:
        """Drop a presumed crash that did not happen."""
        if self._own.pop(crash_id, None) is not None:
            self.number += 1
            self._merge()

    def _drop_weakest(self, *, keep: str) -> None:
        """Drop the oldest of the crashes that belong to the shortest series.

        Presumed crashes go first; there may be one for each request on trial.
        """

        def rate(crash: Crash) -> tuple[bool, int]:
            known = (len(self.crashes_of.get(name, ())) for name in crash.ranks)
            return not crash.is_presumed, max(known, default=0)

        others = (crash for crash in self._own.values() if crash.id != keep)
        weakest = min(others, key=rate)
        del self._own[weakest.id]
        if weakest.ranks:
            _LOG.warning(
                "evidence of a crash dropped, too many crashes",
                extra={"replica": weakest.process, "count": len(weakest.ranks)},
            )

    def _find_id(self, process: str, started_at: float) -> str:
        """Return the id of the known crash that cut off a request, or of a new one."""
        number = 0
        while True:
            crash_id = f"{process}#{number}"
            learned_at = self.learned_at.get(crash_id)
            if learned_at is None or started_at <= learned_at + _MIN_RESTART_SECONDS:
                return crash_id
            number += 1

    def clear(self, fingerprint: str) -> int:
        """Drop a fingerprint from all known crashes and return the number of these."""
        crash_ids = self.crashes_of.pop(fingerprint, set())
        for crash_id in crash_ids:
            del self.merged[crash_id].ranks[fingerprint]
            self._own_answered.add((crash_id, fingerprint))
            self._drop_own(crash_id, {fingerprint})
        self.number += bool(crash_ids)
        return len(crash_ids)

    def _drop_own(self, crash_id: str, fingerprints: Set[str]) -> None:
        crash = self._own.get(crash_id)
        if crash is not None and fingerprints & crash.ranks.keys():
            ranks = {f: r for f, r in crash.ranks.items() if f not in fingerprints}
            self._own[crash_id] = evolve(crash, ranks=ranks)

    def apply(self, node: str, report: CrashReport) -> bool:
        """Replace the report of another node; return False if it is not newer."""
        source = (node, report.incarnation)
        known = self._reports.get(source)
        if known is not None and known.number >= report.number:
            return False
        before = self.make_report()
        self._reports[source] = report
        self._merge()
        after = self.make_report()
        if (before.crashes, before.answered) != (after.crashes, after.answered):
            self.number += 1
        return True

    def restore(self, report: CrashReport) -> None:
        """Take over the report that the previous process of this node has left."""
        for crash in report.crashes:
            self._own.setdefault(crash.id, evolve(crash, is_running=False))
        self._own_answered.update(report.answered)
        self.number += 1
        self._merge()

    def make_report(self) -> CrashReport:
        """Return the report of this node."""
        listed = _index(crash for r in self._reports.values() for crash in r.crashes)
        return CrashReport(
            incarnation=self._incarnation,
            number=self.number,
            crashes=tuple(crash for crash in self._own.values() if crash.ranks),
            answered=tuple(
                (crash_id, fingerprint)
                for crash_id, fingerprint in sorted(self._own_answered)
                if fingerprint in listed.get(crash_id, ())
            ),
        )

    def list_reporters(self) -> set[str]:
        """Return the other nodes whose reports have evidence."""
        return {node for (node, _), report in self._reports.items() if report.crashes}

    def read_rank(self, fingerprint: str) -> int:
        """Return the highest rank of a fingerprint, or 0."""
        return max(
            (
                self.merged[crash_id].ranks[fingerprint]
                for crash_id in self.crashes_of.get(fingerprint, ())
            ),
            default=0,
        )

    def may_crash_at_start(self, fingerprint: str) -> bool:
        """Return whether the fingerprint waited for an answer at one of its crashes."""
        return any(
            fingerprint in self.merged[crash_id].waiting
            for crash_id in self.crashes_of.get(fingerprint, ())
        )

    def expire(self) -> None:
        """Drop crashes after their time."""
        oldest = self._clock.read_wall() - self._ttl
        if all(crash.at > oldest for crash in self.merged.values()):
            return
        self._own = {i: crash for i, crash in self._own.items() if crash.at > oldest}
        for source, report in tuple(self._reports.items()):
            crashes = tuple(c for c in report.crashes if c.at > oldest)
            self._reports[source] = evolve(report, crashes=crashes)
            if not crashes and not report.answered:
                del self._reports[source]
        self.number += 1
        self._merge()

    def _merge(self) -> None:
        answered: dict[str, set[str]] = {}
        for crash_id, fingerprint in self._iterate_answered():
            answered.setdefault(crash_id, set()).add(fingerprint)
        for crash_id in tuple(self._own):
            self._drop_own(crash_id, answered.get(crash_id, set()))
        merged: dict[str, MergedCrash] = {}
        for crash in self._iterate_crashes():
            merged.setdefault(crash.id, MergedCrash(crash.process, crash.at)).add(crash)
        for crash_id, merged_crash in merged.items():
            for fingerprint in answered.get(crash_id, ()):
                merged_crash.ranks.pop(fingerprint, None)
        now = self._clock.read_monotonic()
        self.learned_at = {i: self.learned_at.get(i, now) for i in merged}
        self._own_answered = {pair for pair in self._own_answered if pair[0] in merged}
        self.merged = merged
        self.crashes_of = {}
        for crash_id, merged_crash in merged.items():
            for fingerprint in merged_crash.ranks:
                self.crashes_of.setdefault(fingerprint, set()).add(crash_id)

    def _iterate_crashes(self) -> Iterator[Crash]:
        yield from self._own.values()
        for report in self._reports.values():
            yield from report.crashes

    def _iterate_answered(self) -> Iterator[tuple[str, str]]:
        yield from self._own_answered
        for report in self._reports.values():
            yield from report.answered


def _index(crashes: Iterable[Crash]) -> dict[str, set[str]]:
    """Return the fingerprints by crash id."""
    found: dict[str, set[str]] = {}
    for crash in crashes:
        found.setdefault(crash.id, set()).update(crash.ranks)
    return found


def _limit(ranks: dict[str, int], fingerprint: str) -> dict[str, int]:
    """Return at most ``_MAX_FINGERPRINTS`` ranks, with ``fingerprint`` and the highest.

    A request that was in flight at crashes before is the most likely cause.
    """
    if len(ranks) <= _MAX_FINGERPRINTS:
        return ranks
    kept = sorted(ranks, key=lambda f: (f != fingerprint, -ranks[f]))
    return {name: ranks[name] for name in kept[:_MAX_FINGERPRINTS]}
