"""The sessions of calls, orders and bundles."""

import asyncio
import re

from tests.golden.session import Session, open_session, wait_for_calls

__all__ = [
    "run_alert_in_flood",
    "run_bundle_race",
    "run_late_price_check",
    "run_lost_pickup",
    "run_reorder_again",
]

TWO_DAYS_SECONDS = 2 * 24 * 3600.0
MAX_CONCURRENCY = 16
# The routes' timeouts of 5 s are too short on a busy machine.
DEADLINE_MS = "60000"


async def run_reorder_again(lines: list[str]) -> None:
    """A reorder that is sent again two days later, Poklopac."""
    async with open_session("poklopac") as session:
        (service,) = session.deployment.services.values()
        order = {"item": "lid 63 mm", "amount": 500}
        session.start_section("The reorder")
        path, key = "/v1/services/orders", "reorder-2041"
        await session.call("reorders", "POST", path, order, Idempotency_Key=key)
        session.start_section(
            "Two days later, at a new incarnation of the node: the same again"
        )
        await session.stop_node()
        await session.start_node(shift=TWO_DAYS_SECONDS)
        await session.call("reorders", "POST", path, order, Idempotency_Key=key)
        session.add_note(f"effects at the target: {len(service.effects)}")
        session.start_section("Another order under the same key")
        other = {"item": "lid 70 mm", "amount": 10}
        await session.call("reorders", "POST", path, other, Idempotency_Key=key)
        session.add_note(f"effects at the target: {len(service.effects)}")
        await session.record_end()
        lines += session.lines


async def run_lost_pickup(lines: list[str]) -> None:
    """A courier pickup whose answer is lost, Asociación."""
    async with open_session("asociacion") as session:
        (service,) = session.deployment.services.values()
        service.faults.lose_answers = 1
        pickup = {"slides": 12, "from": "lab 3"}
        session.start_section("The pickup takes effect and the connection breaks")
        path, key = "/v1/services/courier-pickup", "pickup-77"
        await session.call("courier", "POST", path, pickup, Idempotency_Key=key)
        session.add_note(f"effects at the target: {len(service.effects)}")
        session.start_section("The courier team asks again with the same key")
        await session.call("courier", "POST", path, pickup, Idempotency_Key=key)
        session.add_note(f"effects at the target: {len(service.effects)}")
        session.start_section("A new pickup under a new key")
        await session.call("courier", "POST", path, pickup, Idempotency_Key="pickup-78")
        session.add_note(f"effects at the target: {len(service.effects)}")
        session.start_section("The first key again after the node was replaced")
        await session.stop_node()
        await session.start_node()
        await session.call("courier", "POST", path, pickup, Idempotency_Key=key)
        session.add_note(f"effects at the target: {len(service.effects)}")
        await session.record_end()
        lines += session.lines


async def run_late_price_check(lines: list[str]) -> None:
    """A price check whose deadline is shorter than the queue, Poklopac."""
    async with open_session("poklopac") as session:
        (service,) = session.deployment.services.values()
        path, check = "/v1/services/price-check", {"item": "lid 63 mm"}
        session.start_section("30 price checks that take 0.2 s each")
        service.faults.effect_delay = 0.2
        await _flood(session, "pricing", path, 30)
        service.faults.effect_delay = 0.0
        session.start_section("The target stops answering while 80 more arrive")
        service.faults.down = "hang"
        flood = asyncio.create_task(_flood(session, "pricing", path, 80))
        await wait_for_calls(session, received=30 + MAX_CONCURRENCY, running=80)
        session.start_section("A price check that can wait for 100 ms")
        answer = await session.call("pricing", "POST", path, check, X_Deadline_Ms="100")
        assert answer["error"]["retry_after"] > 0
        session.add_note(f"calls at the target meanwhile: {len(service.received) - 30}")
        session.start_section("The target answers again, and the check is sent again")
        service.faults.down = ""
        await flood
        await session.call("pricing", "POST", path, check, X_Deadline_Ms=DEADLINE_MS)
        session.add_note(f"effects at the target: {len(service.effects)}")
        await session.record_end()
        lines += session.lines


async def run_alert_in_flood(lines: list[str]) -> None:
    """An urgent status alert while a large team floods, Asociación."""
    async with open_session("asociacion") as session:
        (service,) = session.deployment.services.values()
        path, alert = "/v1/services/urgent-status", {"case": "C-9", "status": "urgent"}
        session.start_section("A large team sends 300 calls to a target that is stuck")
        service.faults.down = "hang"
        flood = asyncio.create_task(_flood(session, "scanning", path, 300))
        await wait_for_calls(session, received=MAX_CONCURRENCY, running=300)
        session.start_section("The alert arrives behind them, and the target recovers")
        sending = asyncio.create_task(
            session.call("alerts", "POST", path, alert, X_Deadline_Ms=DEADLINE_MS)
        )
        await wait_for_calls(session, received=MAX_CONCURRENCY, running=301)
        service.faults.down = ""
        await sending
        await flood
        bodies = [entry.body for entry in service.received]
        position = next(i for i, body in enumerate(bodies) if b"C-9" in body)
        # Calls that are dispatched concurrently reach the target in any order.
        is_early = position < 3 * MAX_CONCURRENCY
        session.add_note(f"the alert was among the first 48 of 301 calls: {is_early}")
        await session.record_end()
        session.lines[:] = [
            re.sub(r'"number": \d+', '"number": <place>', line)
            for line in session.lines
        ]
        lines += session.lines


async def _flood(session: Session, team: str, path: str, count: int) -> None:
    """Send calls concurrently and record only the number of successful answers."""

    async def send(number: int) -> int:
        body = {"flood": number}
        answer = await session.send(
            team, "POST", path, body, is_unrecorded=True, X_Deadline_Ms=DEADLINE_MS
        )
        await answer.read()
        return answer.status

    statuses = await asyncio.gather(*(send(number) for number in range(count)))
    session.add_note(f"{count} calls of {team}: {statuses.count(200)} answered")


async def run_bundle_race(lines: list[str]) -> None:
    """Two operators roll different bundles at the same time, Poklopac."""
    async with open_session("poklopac") as session:
        session.start_section("Two operators draft and approve different bundles")
        drafts: dict[str, list[str]] = {}
        paths = {}
        for operator, burst in (("olga", 401), ("paul", 402)):
            bundle = {**session.deployment.bundle}
            first, *others = bundle["teams"]
            bundle["teams"] = [{**first, "burst": burst}, *others]
            status, draft = await session.send_operator_request(
                "olga", "POST", "/bundles", bundle
            )
            differences = [entry["text"] for entry in draft["differences"]]
            paths[operator] = f"/bundles/{draft['digest']}"
            path = f"{paths[operator]}/approvals"
            approval, answer = await session.send_operator_request(
                operator, "POST", path
            )
            drafts[operator] = [
                f"draft {draft['digest']}: {status} {differences}",
                f"approval: {approval} {answer['approvals']}",
            ]
        roll = {"expected_version": 1}
        results = await asyncio.gather(
            *(
                session.send_operator_request(operator, "POST", f"{path}/roll", roll)
                for operator, path in paths.items()
            )
        )
        answers = dict(zip(paths, results, strict=True))
        # Which of the two wins is random, so the winner is recorded first.
        winner, loser = sorted(answers, key=lambda name: answers[name][0])
        for text in drafts[winner] + drafts[loser]:
            session.add_note(text)
        session.start_section(
            "Both roll on top of version 1; the loser is told who won"
        )
        status, rolled = answers[winner]
        session.add_note(f"<winner>: {status} version {rolled['version']}")
        status, error = answers[loser]
        session.add_note(f"<loser>: {status} {error['code']}: {error['message']}")
        session.start_section("The loser rolls again on top of version 2")
        roll = {"expected_version": 2}
        path = f"{paths[loser]}/roll"
        status, answer = await session.send_operator_request(loser, "POST", path, roll)
        session.add_note(f"{status} version {answer['version']}")
        await session.record_end()
        bursts = {"olga": "401.0", "paul": "402.0"}
        swap = {winner: "<winner>", loser: "<loser>"}
        swap |= {bursts[winner]: "<burst 1>", bursts[loser]: "<burst 2>"}
        for name, label in swap.items():
            session.lines[:] = [line.replace(name, label) for line in session.lines]
        lines += session.lines
