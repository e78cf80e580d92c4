"""Verdicts on the requests that were in flight when replicas crashed."""

from collections.abc import Sequence, Set

from attrs import Factory, frozen

from fireflyspread.routing._crash_evidence import CrashEvidence
from fireflyspread.routing._crashes import Sighting
from fireflyspread.routing._quarantine_policy import QuarantinePolicy, count_series

__all__ = ["Judge", "Verdicts"]

# Seconds for which a request is held back after a series without a proof, and the
# length of the shortest one. Each further crash doubles the time.
_MIN_HOLD_SECONDS = 20.0
_FIRST_HOLD = 3


@frozen(kw_only=True)
class Verdicts:
    """What the evidence shows.

    Attributes
    ----------
    suspects : frozenset of str
        Fingerprints whose requests must run in isolation.
    pending : dict of str to float
        Suspects that must not start, and the monotonic seconds until then: reports of
        other nodes may still arrive, or another suspect has to run first.
    quarantined : dict of str to float
        Fingerprints whose requests must not run, and the Unix seconds at which the
        quarantine ends.
    on_trial : frozenset of str
        Quarantined fingerprints that run on trial: an answer ends the quarantine.
    """

    suspects: frozenset[str] = frozenset()
    pending: dict[str, float] = Factory(dict)
    quarantined: dict[str, float] = Factory(dict)
    on_trial: frozenset[str] = frozenset()


@frozen(kw_only=True)
class Judge:
    """Derives verdicts from the evidence, the same on all nodes with equal evidence.

    ``Quarantine`` describes the attributes.
    """

    evidence: CrashEvidence
    policy: QuarantinePolicy
    ttl: float
    settle_seconds: float
    turn_seconds: float
    outage_window: float
    min_outage_replicas: int

    def judge(self, *, wall: float, monotonic: float) -> Verdicts:
        """Return the verdicts at a time, given on both clocks."""
        crashes_of = self.evidence.crashes_of
        # The order decides which of two fingerprints explains the crashes that both
        # have in common.
        candidates = sorted(
            (f for f, ids in crashes_of.items() if len(ids) >= self.policy.min_crashes),
            key=lambda f: (-len(crashes_of[f]), f),
        )
        if not candidates:
            return Verdicts()
        outages = self._find_outages()
        proven, pending = self._find_proven(candidates, outages, monotonic)
        quarantined = {f: until for f, until in proven.items() if until > wall}
        suspects = (proven.keys() | pending.keys()) - quarantined.keys()
        on_trial = set()
        for fingerprint in candidates:
            sightings = self._list_sightings(fingerprint, proven, outages)
            held_until = self._find_end_of_hold(sightings)
            if fingerprint not in proven and held_until > wall:
                quarantined[fingerprint] = held_until
                ended = [s for s in sightings if not s.is_running]
                if not self.policy.is_held(ended):
                    on_trial.add(fingerprint)
            recent = [s for s in sightings if s.at > wall - self.ttl]
            if fingerprint not in quarantined and self.policy.is_suspect(recent):
                suspects.add(fingerprint)
        for fingerprint in suspects - pending.keys():
            until = self._find_turn(fingerprint, suspects)
            if until > monotonic:
                pending[fingerprint] = until
        return Verdicts(
            suspects=frozenset(suspects),
            pending=pending,
            quarantined=quarantined,
            on_trial=frozenset(on_trial),
        )

    def _find_end_of_hold(self, sightings: Sequence[Sighting]) -> float:
        """Return until when a fingerprint is held back, in Unix seconds; 0 if not."""
        if not self.policy.is_held(sightings):
            return 0.0
        doublings = count_series(sightings) - _FIRST_HOLD
        seconds = min(self.ttl, _MIN_HOLD_SECONDS * 2.0**doublings)
        return max(sighting.at for sighting in sightings) + seconds

    def _find_proven(
        self, candidates: Sequence[str], outages: frozenset[str], monotonic: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Return the proven fingerprints, and those that other nodes may explain yet.

        The values are when the quarantine ends, in Unix seconds, and until when reports
        may arrive, in monotonic seconds.
        """
        conclusive = {
            fingerprint
            for fingerprint in candidates
            if self.policy.is_conclusive(
                [
                    sighting
                    for sighting in self._list_sightings(fingerprint, {}, outages)
                    if not sighting.is_presumed
                ]
            )
        }
        proven: dict[str, float] = {}
        pending: dict[str, float] = {}
        # Those whose proof depends on no other fingerprint first.
        for fingerprint in sorted(candidates, key=lambda f: f not in conclusive):
            explained = {} if fingerprint in conclusive else proven
            sightings = self._list_sightings(fingerprint, explained, outages)
            seen = [s for s in sightings if not s.is_presumed]
            if fingerprint not in conclusive and not self.policy.is_proven(seen):
                continue
            settled_at = self._find_last_report(fingerprint) + self.settle_seconds
            if settled_at > monotonic:
                pending[fingerprint] = settled_at
            else:
                proven[fingerprint] = self.ttl + max(s.at for s in sightings)
        return proven, pending

    def _find_turn(self, fingerprint: str, suspects: Set[str]) -> float:
        """Return until when a suspect waits for another one, in monotonic seconds.

        Suspects that were in flight at the same crashes run one after the other, in an
        order that all nodes derive alike. Otherwise each crash would count for all of
        them, and none would be proven.
        """
        crashes_of = self.evidence.crashes_of
        crash_id = max(
            crashes_of[fingerprint], key=lambda i: self.evidence.learned_at[i]
        )
        is_first = all(
            len(crashes_of[other]) != len(crashes_of[fingerprint])
            or other >= fingerprint
            for other in self.evidence.merged[crash_id].ranks.keys() & suspects
        )
        return (
            0.0 if is_first else self.evidence.learned_at[crash_id] + self.turn_seconds
        )

    def _find_last_report(self, fingerprint: str) -> float:
        """Return when this node learned of the last crash, in monotonic seconds."""
        ids = self.evidence.crashes_of[fingerprint]
        return max(self.evidence.learned_at[crash_id] for crash_id in ids)

    def _list_sightings(
        self, fingerprint: str, proven: dict[str, float], outages: frozenset[str]
    ) -> list[Sighting]:
        """Return the crashes that no other, proven fingerprint explains."""
        sightings = []
        for crash_id in self.evidence.crashes_of[fingerprint]:
            crash = self.evidence.merged[crash_id]
            others = crash.ranks.keys() - {fingerprint}
            if others & proven.keys():
                continue
            sightings.append(
                Sighting(
                    process=crash.process,
                    at=crash.at,
                    rank=crash.ranks[fingerprint],
                    is_alone=fingerprint in crash.alone,
                    is_shared=crash.is_shared,
                    max_other_crashes=max(
                        (self._count_crashes(other, proven) for other in others),
                        default=0,
                    ),
                    is_outage=crash_id in outages,
                    is_presumed=crash.is_presumed,
                    is_running=crash.is_running,
                )
            )
        return sightings

    def _count_crashes(self, fingerprint: str, proven: dict[str, float]) -> int:
        """Return the number of crashes that count against a fingerprint."""
        merged = self.evidence.merged
        return sum(
            not (merged[crash_id].ranks.keys() - {fingerprint}) & proven.keys()
            for crash_id in self.evidence.crashes_of[fingerprint]
        )

    def _find_outages(self) -> frozenset[str]:
        """Return the crashes that happened together with crashes of other replicas."""
        crashes = sorted(self.evidence.merged.items(), key=lambda item: item[1].at)
        found: set[str] = set()
        first = 0
        for last, (_, crash) in enumerate(crashes):
            while crashes[first][1].at < crash.at - self.outage_window:
                first += 1
            together = crashes[first : last + 1]
            processes = {each.process for _, each in together}
            if len(processes) >= self.min_outage_replicas:
                found.update(crash_id for crash_id, _ in together)
        return frozenset(found)
