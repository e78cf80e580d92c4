"""Checks of the guarantees, from what targets and callers received."""

import asyncio
import hashlib
import time
from collections import Counter, defaultdict
from typing import Any

from tests.matrix.callers import Attempt, CallLog
from tools.cluster import LocalCluster

__all__ = ["check_guarantees"]

RELEASE_TIMEOUT_SECONDS = 40.0
# Attempts and stand-ins use the clock of the same process.
ROUNDING_SECONDS = 0.001


async def check_guarantees(
    cluster: LocalCluster,
    call_log: CallLog,
    flooding_team: str,
    deadlines: dict[str, float],
) -> list[str]:
    """Return the violations of a cell; each starts with the id of its guarantee.

    Parameters
    ----------
    flooding_team : str
        Team that exceeded its rate.
    deadlines : dict of str to float
        Seconds since the epoch after which a withdrawn key must not be served.
    """
    problems = sorted(set(call_log.problems))[:20]
    problems += await find_unreleased_sessions(cluster)
    problems += find_wrong_histories(cluster, call_log)
    problems += find_truncated_answers(cluster, call_log)
    problems += find_budget_excess(cluster, call_log)
    problems += find_repeated_orders(cluster, call_log)
    problems += find_false_refusals(cluster, call_log)
    problems += find_leaked_keys(cluster, call_log)
    problems += find_rate_excess(cluster, call_log, flooding_team)
    problems += find_late_answers(call_log, deadlines)
    problems += find_version_reverts(call_log)
    return problems


async def find_unreleased_sessions(cluster: LocalCluster) -> list[str]:
    """P4: no engine holds a session some time after all programs have ended."""
    until = time.monotonic() + RELEASE_TIMEOUT_SECONDS
    while True:
        held = {
            name: list(engine.cache.sessions)
            for name, engine in cluster.deployment.engines.items()
            if engine.cache.sessions
        }
        if not held:
            return []
        if time.monotonic() > until:
            return [f"P4 sessions held at the end: {held}"]
        await asyncio.sleep(0.1)


def list_runs(cluster: LocalCluster, call_log: CallLog) -> list[Any]:
    """Return the engines' runs of this cell in the order of their start."""
    engines = cluster.deployment.engines.values()
    runs = [run for e in engines for run in e.runs if run.time >= call_log.started_at]
    return sorted(runs, key=lambda run: run.time)


def find_wrong_histories(cluster: LocalCluster, call_log: CallLog) -> list[str]:
    """P1 and P2: each run carries a history of its program, in the order of turns."""
    problems = []
    programs = {program.id: program for program in call_log.programs}
    max_messages: Counter[str] = Counter()
    for run in list_runs(cluster, call_log):
        program = programs.get(run.session)
        if program is None:
            problems.append(f"P2 a run of the unknown program {run.session}")
            continue
        if run.digest not in program.digests:
            problems.append(f"P2 {program.id}: a run with another history")
        if len(run.contents) < max_messages[program.id]:
            problems.append(f"P1 {program.id}: a turn ran after a later one")
        max_messages[program.id] = max(max_messages[program.id], len(run.contents))
    return problems


def find_truncated_answers(cluster: LocalCluster, call_log: CallLog) -> list[str]:
    """P9: each answer has as many tokens as one that an engine completed."""
    complete = {
        (run.digest, run.offset + run.completion)
        for run in list_runs(cluster, call_log)
        if run.state == "done"
    }
    return [
        f"P9 an answer of {count} tokens that no engine completed"
        for digest, count in call_log.answers
        if (digest, count) not in complete
    ]


def find_budget_excess(cluster: LocalCluster, call_log: CallLog) -> list[str]:
    """P3: generated tokens and new messages do not exceed the budget."""
    generated: Counter[str] = Counter()
    for run in list_runs(cluster, call_log):
        generated[run.session or ""] += run.completion
    problems = []
    for program in call_log.programs:
        questions = sum(len(text.split()) for text in program.contents[::2])
        used = generated[program.id] + questions
        if used > program.budget:
            text = f"used {used} of {program.budget} tokens"
            problems.append(f"P3 {program.id}: {text}")
    return problems


def list_effects(cluster: LocalCluster, call_log: CallLog) -> list[Any]:
    """Return the effects at the services in this cell."""
    services = cluster.deployment.services.values()
    return [e for s in services for e in s.effects if e.time >= call_log.started_at]


def find_repeated_orders(cluster: LocalCluster, call_log: CallLog) -> list[str]:
    """P11: each order took effect at most once, in accordance with its answers."""
    effects = [e for e in list_effects(cluster, call_log) if e.path == "/orders"]
    keys = Counter(effect.idempotency_key for effect in effects)
    bodies = Counter(effect.digest for effect in effects)
    problems = [f"P11 {key} ran {n} times" for key, n in keys.items() if n > 1]
    known = {order.key for order in call_log.orders}
    problems += [f"P11 {key} was never ordered" for key in keys if key not in known]
    for order in call_log.orders:
        digest = hashlib.sha256(order.body).hexdigest()
        if bodies[digest] > 1:
            problems.append(f"P11 the body of {order.key} ran {bodies[digest]} times")
        if order.answers and keys[order.key] != 1:
            problems.append(f"P11 {order.key} was answered and did not run")
        if len(set(order.answers)) > 1:
            problems.append(f"P11 {order.key} got different answers")
        last = order.errors[-1:]
        if not order.answers and last and last[0][1] != "may_have_run":
            problems.append(f"liveness: {order.key} ended with {last[0]}")
    return problems


def find_false_refusals(cluster: LocalCluster, call_log: CallLog) -> list[str]:
    """P10: no run or effect belongs to attempts that were all refused as not run."""
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in call_log.attempts:
        attempts[attempt.label].append(attempt)
    found = [(r.digest, r.time) for r in list_runs(cluster, call_log)]
    effects = list_effects(cluster, call_log)
    found += [(e.idempotency_key, e.time) for e in effects if e.path == "/orders"]
    problems = []
    for label, when in found:
        sent = [a for a in attempts[label] if a.sent_at <= when + ROUNDING_SECONDS]
        if sent and all(a.outcome == "not_run" for a in sent):
            codes = [a.code for a in sent]
            problems.append(f"P10 {label[:24]} ran although refused with {codes}")
    return problems


def find_leaked_keys(cluster: LocalCluster, call_log: CallLog) -> list[str]:
    """P6: no key is in any request to a target or in the store."""
    keys = {*cluster.deployment.keys.values(), *(a.key for a in call_log.attempts)}
    encoded = [key.encode() for key in keys]
    problems = []
    for name, target in cluster.deployment.replicas.items():
        for entry in target.received:
            if entry.time < call_log.started_at:
                continue
            text = f"{entry.path} {entry.query} {entry.headers}".encode() + entry.body
            if any(key in text for key in encoded):
                problems.append(f"P6 {name} received a key at {entry.path}")
    for path, row in cluster.store.keyspace.rows.items():
        if any(key in row.value for key in encoded):
            problems.append(f"P6 the store holds a key under {path.decode()}")
    return problems[:5]


def find_rate_excess(
    cluster: LocalCluster, call_log: CallLog, flooding_team: str
) -> list[str]:
    """P8: a flooding team does not exceed its rate and burst."""
    teams = cluster.deployment.bundle["teams"]
    team = next(team for team in teams if team["name"] == flooding_team)
    marker = f'"{flooding_team}-flood-'
    first_effects: dict[str, float] = {}
    for effect in list_effects(cluster, call_log):
        if marker in effect.body:
            first_effects.setdefault(effect.body, effect.time)
    if not first_effects:
        return []
    times = sorted(first_effects.values())
    problems = []
    for index, time_at in enumerate(times):
        allowed = team["burst"] + team["rate"] * (time_at - times[0]) + 1
        if index + 1 > allowed:
            text = f"{index + 1} requests of {flooding_team} ran, {allowed:.1f} allowed"
            problems.append(f"P8 {text}")
            break
    return problems


def find_late_answers(call_log: CallLog, deadlines: dict[str, float]) -> list[str]:
    """P7: no request with a withdrawn key is answered after the bound."""
    problems = []
    for attempt in call_log.attempts:
        deadline = deadlines.get(attempt.key)
        served_at = (
            attempt.ended_at if attempt.outcome == "ran" else attempt.last_token_at
        )
        if deadline is None or served_at <= deadline:
            continue
        late = served_at - deadline
        problems.append(f"P7 an answer {late:.1f} s after the bound of a withdrawal")
    return problems


def find_version_reverts(call_log: CallLog) -> list[str]:
    """P14: no process activates a lower bundle version."""
    highest: dict[tuple[str, int], int] = {}
    problems = []
    for node, pid, version in call_log.versions:
        if version < highest.get((node, pid), 0):
            problems.append(f"P14 {node} reverted to version {version}")
        highest[node, pid] = max(version, highest.get((node, pid), 0))
    return problems
