"""Checks of the promises from what targets and callers received."""

import asyncio
import hashlib
import time
from collections import Counter, defaultdict
from typing import Any

from tests.matrix.callers import Attempt, Ledger
from tools.cluster import LocalCluster

__all__ = ["judge"]

RELEASE_SECONDS = 40.0
# Clocks of attempts and stand-ins are those of one process.
ROUNDING_SECONDS = 0.001


async def judge(
    cluster: LocalCluster, ledger: Ledger, flood: str, cut_after: dict[str, float]
) -> list[str]:
    """Return what is wrong after a cell; every entry begins with a promise's id.

    Parameters
    ----------
    flood : str
        Team that sent more than its rate.
    cut_after : dict of str to float
        Time since the epoch from which a withdrawn key must not be served.
    """
    problems = sorted(set(ledger.problems))[:20]
    problems += await find_held_sessions(cluster)
    problems += find_mixed_runs(cluster, ledger)
    problems += find_cut_answers(cluster, ledger)
    problems += find_budget_excess(cluster, ledger)
    problems += find_repeats(cluster, ledger)
    problems += find_false_refusals(cluster, ledger)
    problems += find_keys(cluster, ledger)
    problems += find_rate_excess(cluster, ledger, flood)
    problems += find_late_service(ledger, cut_after)
    problems += find_reverts(ledger)
    return problems


async def find_held_sessions(cluster: LocalCluster) -> list[str]:
    """P4: wait until no engine holds a session; all programs have ended."""
    until = time.monotonic() + RELEASE_SECONDS
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


def list_runs(cluster: LocalCluster, ledger: Ledger) -> list[Any]:
    """Return the engines' runs of this cell in the order of their start."""
    engines = cluster.deployment.engines.values()
    runs = [run for e in engines for run in e.runs if run.time >= ledger.begun]
    return sorted(runs, key=lambda run: run.time)


def find_mixed_runs(cluster: LocalCluster, ledger: Ledger) -> list[str]:
    """P1 and P2: each run carries a history of its program, in the order of turns."""
    problems = []
    programs = {program.id: program for program in ledger.programs}
    longest: Counter[str] = Counter()
    for run in list_runs(cluster, ledger):
        program = programs.get(run.session)
        if program is None:
            problems.append(f"P2 a run of the unknown program {run.session}")
            continue
        if run.digest not in program.digests:
            problems.append(f"P2 {program.id}: a run with another history")
        if len(run.contents) < longest[program.id]:
            problems.append(f"P1 {program.id}: a turn ran after a later one")
        longest[program.id] = max(longest[program.id], len(run.contents))
    return problems


def find_cut_answers(cluster: LocalCluster, ledger: Ledger) -> list[str]:
    """P9: each answer is as long as one that an engine completed."""
    whole = {
        (run.digest, run.offset + run.completion)
        for run in list_runs(cluster, ledger)
        if run.state == "done"
    }
    return [
        f"P9 an answer of {count} tokens that no engine completed"
        for digest, count in ledger.answers
        if (digest, count) not in whole
    ]


def find_budget_excess(cluster: LocalCluster, ledger: Ledger) -> list[str]:
    """P3: the tokens that engines generated and new messages stay in the budget."""
    generated: Counter[str] = Counter()
    for run in list_runs(cluster, ledger):
        generated[run.session or ""] += run.completion
    problems = []
    for program in ledger.programs:
        questions = sum(len(text.split()) for text in program.contents[::2])
        used = generated[program.id] + questions
        if used > program.budget:
            text = f"used {used} of {program.budget} tokens"
            problems.append(f"P3 {program.id}: {text}")
    return problems


def list_effects(cluster: LocalCluster, ledger: Ledger) -> list[Any]:
    """Return the services' effects of this cell."""
    services = cluster.deployment.services.values()
    return [e for s in services for e in s.effects if e.time >= ledger.begun]


def find_repeats(cluster: LocalCluster, ledger: Ledger) -> list[str]:
    """P11: each order took effect at most once, and as its answers say."""
    effects = [e for e in list_effects(cluster, ledger) if e.path == "/orders"]
    keys = Counter(effect.idempotency_key for effect in effects)
    bodies = Counter(effect.digest for effect in effects)
    problems = [f"P11 {key} ran {n} times" for key, n in keys.items() if n > 1]
    known = {order.key for order in ledger.orders}
    problems += [f"P11 {key} was never ordered" for key in keys if key not in known]
    for order in ledger.orders:
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


def find_false_refusals(cluster: LocalCluster, ledger: Ledger) -> list[str]:
    """P10: what took effect was sent by an attempt that was not refused as not run."""
    attempts: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in ledger.attempts:
        attempts[attempt.label].append(attempt)
    found = [(r.digest, r.time) for r in list_runs(cluster, ledger)]
    effects = list_effects(cluster, ledger)
    found += [(e.idempotency_key, e.time) for e in effects if e.path == "/orders"]
    problems = []
    for label, when in found:
        sent = [a for a in attempts[label] if a.sent <= when + ROUNDING_SECONDS]
        if sent and all(a.outcome == "not_run" for a in sent):
            codes = [a.code for a in sent]
            problems.append(f"P10 {label[:24]} ran although refused with {codes}")
    return problems


def find_keys(cluster: LocalCluster, ledger: Ledger) -> list[str]:
    """P6: no key is in anything that a target received or the store holds."""
    keys = {*cluster.deployment.keys.values(), *(a.key for a in ledger.attempts)}
    encoded = [key.encode() for key in keys]
    problems = []
    for name, target in cluster.deployment.replicas.items():
        for entry in target.received:
            if entry.time < ledger.begun:
                continue
            text = f"{entry.path} {entry.query} {entry.headers}".encode() + entry.body
            if any(key in text for key in encoded):
                problems.append(f"P6 {name} received a key at {entry.path}")
    for path, row in cluster.store.keyspace.rows.items():
        if any(key in row.value for key in encoded):
            problems.append(f"P6 the store holds a key under {path.decode()}")
    return problems[:5]


def find_rate_excess(cluster: LocalCluster, ledger: Ledger, flood: str) -> list[str]:
    """P8: a team that sends too much gets its rate and burst and no more."""
    teams = cluster.deployment.bundle["teams"]
    team = next(team for team in teams if team["name"] == flood)
    mark = f'"{flood}-flood-'
    seen: dict[str, float] = {}
    for effect in list_effects(cluster, ledger):
        if mark in effect.body:
            seen.setdefault(effect.body, effect.time)
    if not seen:
        return []
    times = sorted(seen.values())
    problems = []
    for index, time_at in enumerate(times):
        allowed = team["burst"] + team["rate"] * (time_at - times[0]) + 1
        if index + 1 > allowed:
            text = f"{index + 1} requests of {flood} ran, {allowed:.1f} allowed"
            problems.append(f"P8 {text}")
            break
    return problems


def find_late_service(ledger: Ledger, cut_after: dict[str, float]) -> list[str]:
    """P7: nothing is answered for a withdrawn key after the bound."""
    problems = []
    for attempt in ledger.attempts:
        limit = cut_after.get(attempt.key)
        served = attempt.ended if attempt.outcome == "ran" else attempt.last_token
        if limit is None or served <= limit:
            continue
        late = served - limit
        problems.append(f"P7 an answer {late:.1f} s after the bound of a withdrawal")
    return problems


def find_reverts(ledger: Ledger) -> list[str]:
    """P14: no process goes to a lower bundle version."""
    highest: dict[tuple[str, int], int] = {}
    problems = []
    for node, pid, version in ledger.versions:
        if version < highest.get((node, pid), 0):
            problems.append(f"P14 {node} went back to version {version}")
        highest[node, pid] = max(version, highest.get((node, pid), 0))
    return problems
