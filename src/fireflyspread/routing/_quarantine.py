"""Quarantine of requests that crash replicas."""

import logging
import secrets
from collections.abc import Callable
from itertools import islice
from typing import Any

from attrs import evolve, frozen

from fireflyspread.clock import Clock
from fireflyspread.routing._crash_evidence import CrashEvidence
from fireflyspread.routing._crashes import CrashReport
from fireflyspread.routing._quarantine_policy import IsolationPolicy, QuarantinePolicy
from fireflyspread.routing._refusals import make_quarantined
from fireflyspread.routing._verdicts import Judge, Verdicts

__all__ = ["Quarantine"]

_LOG = logging.getLogger(__name__)

# Evidence is kept for this multiple of the length of a quarantine, so that a request
# that crashes replicas still is isolated afterwards instead of crashing as many again.
_EVIDENCE_FACTOR = 6
# Fingerprints of requests without an answer that are kept, and such requests of one.
_MAX_UNANSWERED = 1024
_MAX_UNANSWERED_RUNS = 16
# Seconds from the return of a replica until its new registration is known. A younger
# request may run on the new process.
_MAX_REGISTRATION_SECONDS = 0.5
# Seconds after which the evidence is checked for crashes that are too old.
_MAX_VERDICT_AGE = 10.0


@frozen(kw_only=True)
class _Run:
    """A request that was sent to a replica.

    Attributes
    ----------
    started_at : float
        Monotonic seconds.
    ended_at : float
        Monotonic seconds; infinite in flight.
    has_begun : bool
        Whether a part of the answer has arrived.
    """

    process: str
    rank: int
    started_at: float
    ended_at: float = float("inf")
    has_begun: bool = False


class Quarantine:
    """Finds the requests that crash replicas.

    Each request in flight at a crash is evidence against its fingerprint. Nodes
    exchange reports of what they saw, and each one judges the union of all reports, so
    that a crash counts wherever the request was sent.

    Once a fingerprint is proven to crash replicas, the crashes with it in flight are
    explained and do not count against others.

    Parameters
    ----------
    policy : QuarantinePolicy or None
        How much evidence is needed; ``IsolationPolicy`` by default.
    incarnation : str or None
        Unique to one run of this process; random by default.
    ttl : float
        Seconds from the last crash until a suspicion or a quarantine ends.
    settle_seconds : float
        Seconds after the last crash before a quarantine begins. In this time other
        nodes report their requests that were in flight, one of which may be the cause.
    turn_seconds : float
        Seconds after a crash for which only one of the suspects that explain it equally
        well may run, so that the next crash tells them apart.
    loss_window : float
        Seconds from the moment when a replica falls silent until it is known to be
        gone.
    outage_window : float
        Seconds within which crashes of ``min_outage_replicas`` count as one outage.
    min_outage_replicas : int
        Different replicas that crash in an outage.

    Attributes
    ----------
    on_change : callable
        Called after each change of this node's report, with whether it concerns a
        suspect or a request that has become one.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        policy: QuarantinePolicy | None = None,
        incarnation: str | None = None,
        ttl: float = 600.0,
        settle_seconds: float = 0.0,
        turn_seconds: float = 0.0,
        loss_window: float = 6.0,
        outage_window: float = 2.0,
        min_outage_replicas: int = 3,
    ) -> None:
        self._clock = clock
        self._policy = policy or IsolationPolicy()
        self._evidence = CrashEvidence(
            clock,
            incarnation=incarnation or secrets.token_hex(6),
            ttl=_EVIDENCE_FACTOR * ttl,
        )
        self._judgement = Judge(
            evidence=self._evidence,
            policy=self._policy,
            ttl=ttl,
            settle_seconds=settle_seconds,
            turn_seconds=turn_seconds,
            outage_window=outage_window,
            min_outage_replicas=min_outage_replicas,
        )
        self.on_change: Callable[[bool], None] = lambda is_urgent: None
        # Requests in flight, by process and fingerprint.
        self._in_flight: dict[str, dict[str, list[_Run]]] = {}
        # Requests that ended without an answer, by fingerprint.
        self._unanswered: dict[str, list[_Run]] = {}
        # When a process was last found gone, in monotonic seconds.
        self._lost_at: dict[str, float] = {}
        self._loss_window = loss_window
        self._verdicts = Verdicts()
        # Number of the report of which ``on_change`` was told last.
        self._announced = 0
        self._judged_at = -float("inf")

    def start(self, fingerprint: str, process: str) -> None:
        """Record that a request was sent to a replica."""
        runs = self._in_flight.setdefault(process, {}).setdefault(fingerprint, [])
        runs.append(
            _Run(
                process=process,
                rank=1 + self._evidence.read_rank(fingerprint),
                started_at=self._clock.read_monotonic(),
            )
        )

    def record_begin(self, fingerprint: str, process: str) -> None:
        """Record that a part of an answer has arrived; ``finish`` ends these first."""
        runs = self._in_flight.get(process, {}).get(fingerprint, [])
        for number, run in enumerate(runs):
            if not run.has_begun:
                del runs[number]
                runs.insert(0, evolve(run, has_begun=True))
                return

    def finish(
        self, fingerprint: str, process: str, *, unanswered: bool = False
    ) -> None:
        """Record that a request ended.

        Parameters
        ----------
        unanswered : bool
            Whether the replica may have stopped without closing the connection.
        """
        in_flight = self._in_flight.get(process)
        if in_flight is None or fingerprint not in in_flight:
            return
        run = in_flight[fingerprint].pop(0)
        if unanswered:
            run = evolve(run, ended_at=self._clock.read_monotonic())
            # At the end of the dictionary, from whose start the oldest are dropped.
            runs = self._unanswered.pop(fingerprint, [])
            self._unanswered[fingerprint] = [*runs, run][-_MAX_UNANSWERED_RUNS:]
            self._drop_unanswered()
        if not in_flight[fingerprint]:
            del in_flight[fingerprint]
        if not in_flight:
            del self._in_flight[process]

    def _drop_unanswered(self) -> None:
        """Drop the requests that are too old to be blamed, or too many."""
        oldest = self._clock.read_monotonic() - self._loss_window
        for fingerprint, runs in tuple(islice(self._unanswered.items(), 2)):
            is_old = runs[-1].ended_at <= oldest
            if is_old or len(self._unanswered) > _MAX_UNANSWERED:
                del self._unanswered[fingerprint]

    def record_crash(
        self,
        fingerprint: str,
        process: str,
        started_at: float,
        *,
        alone: bool,
        shared: bool = False,
        ranks: dict[str, int] | None = None,
    ) -> None:
        """Record what was in flight when a replica crashed.

        Call this before ``finish``. Further requests cut off by the same crash are
        part of it already.

        Parameters
        ----------
        started_at : float
            When the request was sent, in monotonic seconds.
        alone : bool
            Whether this node sent nothing else to the replica.
        shared : bool
            Whether the replica reported requests of other nodes.
        ranks : dict of str to int or None
            Ranks of the requests that count; the lowest of those in flight by default.
        """
        self._refresh()
        in_flight = self._in_flight.get(process, {})
        begun = [n for n, runs in in_flight.items() if all(r.has_begun for r in runs)]
        if ranks is None:
            # A request sent before any crash may be the cause, whatever came later.
            ranks = {n: min(run.rank for run in runs) for n, runs in in_flight.items()}
        ranks.setdefault(fingerprint, 1 + self._evidence.read_rank(fingerprint))
        crash = self._evidence.add(
            process,
            ranks,
            started_at,
            fingerprint=fingerprint,
            alone=alone,
            shared=shared,
            begun=begun,
        )
        if crash is None:
            return
        _LOG.warning(
            "replica crashed with requests in flight",
            extra={
                "fingerprint": fingerprint,
                "replica": process,
                "rank": crash.ranks[fingerprint],
                "count": len(crash.ranks),
            },
        )
        self._judge(is_urgent=max(crash.ranks.values()) > 1)

    def presume_crash(self, fingerprint: str, process: str) -> str | None:
        """Count a request on trial as one that crashes its replica until it ends.

        Nothing may ever tell that it does: its caller may leave before, its node may be
        killed, or the replica falls silent.

        Returns
        -------
        str or None
            Id of the presumed crash.
        """
        runs = self._in_flight.get(process, {}).get(fingerprint)
        if not self._policy.presumes_crashes or not runs:
            return None
        rank = runs[-1].rank
        if rank == 1 or not self.needs_trial(fingerprint):
            return None
        crash_id = self._evidence.add_presumed(process, fingerprint, rank)
        self._judge()
        return crash_id

    def withdraw_presumed(self, crash_id: str) -> None:
        """Drop a presumed crash, because its request has ended otherwise."""
        self._evidence.withdraw_presumed(crash_id)
        self._judge()

    def confirm_presumed(self, crash_id: str, fingerprint: str, process: str) -> None:
        """Keep a presumed crash, because its request has ended without an answer."""
        self._evidence.confirm_presumed(crash_id)
        _LOG.info(
            "request suspected of crashing replicas got no answer",
            extra={"fingerprint": fingerprint, "replica": process},
        )
        self._judge(is_urgent=True)

    def needs_trial(self, fingerprint: str) -> bool:
        """Return whether the fingerprint may crash replicas that begin to run it.

        It was in flight at a crash, before an answer to it had begun, and has not been
        answered since.
        """
        return self._evidence.may_crash_at_start(fingerprint)

    def record_loss(self, process: str) -> None:
        """Record that a replica is gone without having announced it.

        A replica that falls silent leaves its requests waiting until their callers
        leave. This counts those that still wait, and those that ended without an answer
        shortly before.
        """
        now = self._clock.read_monotonic()
        oldest = now - self._loss_window
        self._lost_at = {p: at for p, at in self._lost_at.items() if at > oldest}
        self._lost_at[process] = now
        blamed = {
            fingerprint: run
            for fingerprint, runs in self._unanswered.items()
            for run in runs
            if run.process == process and run.ended_at > oldest
        }
        if self._policy.presumes_crashes:
            for fingerprint, runs in self._in_flight.get(process, {}).items():
                if runs[0].started_at + _MAX_REGISTRATION_SECONDS < now:
                    blamed[fingerprint] = runs[0]
        _LOG.info(
            "replica gone without notice",
            extra={
                "replica": process,
                "unanswered": len(blamed),
                "in_flight": len(self._in_flight.get(process, {})),
            },
        )
        for fingerprint, run in blamed.items():
            self.record_crash(
                fingerprint,
                process,
                run.started_at,
                alone=False,
                ranks={fingerprint: run.rank},
            )

    def was_lost_after(self, process: str, at: float) -> bool:
        """Return whether a replica was found gone later than ``at``."""
        return self._lost_at.get(process, -float("inf")) > at

    def record_answer(self, fingerprint: str, *, isolated: bool) -> None:
        """Drop the evidence against a request that was answered, if the policy does."""
        self._unanswered.pop(fingerprint, None)
        if not self._policy.is_cleared(isolated=isolated):
            return
        was_suspect = fingerprint in self._verdicts.suspects
        crashes = self._evidence.clear(fingerprint)
        if not crashes:
            return
        _LOG.info(
            "request in flight at crashes was answered since",
            extra={"fingerprint": fingerprint, "count": crashes},
        )
        # Requests that were in flight beside this one may be the only suspects now.
        self._judge(is_urgent=was_suspect)

    def make_report(self) -> CrashReport:
        """Return what this node knows, for the other nodes."""
        self._refresh()
        return self._evidence.make_report()

    def list_reporters(self) -> set[str]:
        """Return the other nodes whose reports still count."""
        return self._evidence.list_reporters()

    def merge(self, node: str, report: CrashReport) -> None:
        """Replace what another node has reported."""
        if self._evidence.apply(node, report):
            self._judge()

    def restore(self, report: CrashReport) -> None:
        """Take over the report that the previous process of this node has left."""
        self._evidence.restore(report)
        self._judge()

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the fingerprint must run in isolation."""
        self._refresh()
        return fingerprint in self._verdicts.suspects

    def is_pending(self, fingerprint: str) -> bool:
        """Return whether a suspect must not start yet."""
        self._refresh()
        return fingerprint in self._verdicts.pending

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the fingerprint must not run."""
        return self.read_remaining(fingerprint) > 0

    def read_remaining(self, fingerprint: str) -> float:
        """Return the seconds until the quarantine of a fingerprint ends, or 0."""
        self._refresh()
        until = self._verdicts.quarantined.get(fingerprint)
        return 0.0 if until is None else max(0.0, until - self._clock.read_wall())

    def check(self, fingerprint: str, *, may_wait: bool = False) -> None:
        """Check that requests with a fingerprint may run.

        Parameters
        ----------
        may_wait : bool
            Whether one that runs on trial need not be refused, because the request will
            wait for the end of the trial.

        Raises
        ------
        QuarantinedError
            They are known to crash replicas.
        """
        remaining = self.read_remaining(fingerprint)
        if remaining and not (may_wait and fingerprint in self._verdicts.on_trial):
            raise make_quarantined(fingerprint, remaining)

    def has_entries(self) -> bool:
        """Return whether any request may be suspected or quarantined."""
        return bool(self._verdicts.suspects or self._verdicts.quarantined)

    def get_crashed_replicas(self, fingerprint: str) -> frozenset[str]:
        """Return the processes that crashed with the fingerprint in flight."""
        return frozenset(
            self._evidence.merged[crash_id].process
            for crash_id in self._evidence.crashes_of.get(fingerprint, ())
        )

    def list_suspects(self) -> tuple[str, ...]:
        """Return the fingerprints that must run in isolation."""
        self._refresh()
        return tuple(sorted(self._verdicts.suspects))

    def list_quarantined(self) -> tuple[str, ...]:
        """Return the fingerprints that must not run."""
        self._refresh()
        return tuple(sorted(self._verdicts.quarantined))

    def _refresh(self) -> None:
        """Judge again if time alone may have changed a verdict."""
        now = self._clock.read_wall()
        verdicts = self._verdicts
        if (
            now - self._judged_at >= _MAX_VERDICT_AGE
            or any(until <= now for until in verdicts.quarantined.values())
            or (
                verdicts.pending
                and min(verdicts.pending.values()) <= self._clock.read_monotonic()
            )
        ):
            self._judge()

    def _judge(self, *, is_urgent: bool = False) -> None:
        """Derive the verdicts from the evidence, and announce changes of the report."""
        self._evidence.expire()
        self._judged_at = self._clock.read_wall()
        before = self._verdicts
        self._verdicts = self._judgement.judge(
            wall=self._judged_at, monotonic=self._clock.read_monotonic()
        )
        self._log_changes(before)
        if self._evidence.number != self._announced:
            self._announced = self._evidence.number
            self.on_change(is_urgent)

    def _log_changes(self, before: Verdicts) -> None:
        quarantined = self._verdicts.quarantined.keys() - self._verdicts.on_trial
        quarantined_before = before.quarantined.keys() - before.on_trial
        for fingerprint in quarantined - quarantined_before:
            _LOG.warning(
                "request quarantined because replicas crashed with it",
                extra=self._describe(fingerprint),
            )
        for fingerprint in quarantined_before - quarantined:
            _LOG.info("quarantine ended", extra=self._describe(fingerprint))
        for fingerprint in self._verdicts.suspects - before.suspects:
            _LOG.info(
                "request suspected of crashing replicas",
                extra=self._describe(fingerprint),
            )

    def _describe(self, fingerprint: str) -> dict[str, Any]:
        replicas = sorted(self.get_crashed_replicas(fingerprint))
        return {"fingerprint": fingerprint, "replica": replicas}
