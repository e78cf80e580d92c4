"""The sessions of whole programs and streams."""

import hashlib

from tests.golden.session import Session, open_session

__all__ = ["run_asociacion_program", "run_key_withdrawn", "run_program", "run_stalled"]


def make_turn(
    number: int, model: str, text: str, **options: object
) -> dict[str, object]:
    messages = [{"role": "user", "content": text}]
    body = {"turn": number, "model": model, "messages": messages}
    return {**body, "max_tokens": 16, "stream": True, **options}


async def open_program(session: Session, team: str, budget: int = 4_000) -> str:
    opened = await session.call(team, "POST", "/v1/programs", {"budget": budget})
    return f"/v1/programs/{opened['id']}"


async def run_program(lines: list[str]) -> None:
    """A sourcing program with a tool call and a sub-agent, Poklopac."""
    async with open_session("poklopac") as session:
        await _run_program(session, "sourcing", "lid-matching", "quotes")
        lines += session.lines


async def run_asociacion_program(lines: list[str]) -> None:
    """A case review with a status call and a sub-agent, Asociación."""
    async with open_session("asociacion") as session:
        await _run_program(session, "pathology", "case-review", "urgent-status")
        lines += session.lines


async def _run_program(session: Session, team: str, model: str, tool: str) -> None:
    session.start_section("A program is opened and runs its first turn")
    program = await open_program(session, team)
    turns = f"{program}/turns"
    await session.call(team, "POST", turns, make_turn(1, model, "first question"))
    session.start_section("It calls a tool as its second turn")
    body = {"item": "A-1"}
    await session.call(team, "POST", f"{program}/calls/{tool}", body, X_Turn="2")
    session.start_section("A sub-agent draws on its budget, runs one turn and ends")
    child = await session.call(team, "POST", f"{program}/children", {"budget": 1_000})
    path = f"/v1/programs/{child['id']}"
    turn = make_turn(1, model, "part of the question", stream=False)
    await session.call(team, "POST", f"{path}/turns", turn)
    await session.call(team, "DELETE", path)
    session.start_section("The third turn continues the history, and the program ends")
    await session.call(team, "POST", turns, make_turn(3, model, "last question"))
    await session.call(team, "GET", f"{program}/history")
    await session.call(team, "DELETE", program)
    await session.record_end()


async def run_stalled(lines: list[str]) -> None:
    """A long sourcing session whose engine stalls in mid-stream, Poklopac."""
    async with open_session("poklopac", replicas={"lid-matching": 2}) as session:
        team, model = "sourcing", "lid-matching"
        session.start_section("The first turn; its replica keeps the session")
        program = await open_program(session, team)
        turns = f"{program}/turns"
        await session.call(team, "POST", turns, make_turn(1, model, "first question"))
        session.start_section("In the second turn that replica stalls after 5 events")
        engines = session.deployment.engines.values()
        (used,) = [engine for engine in engines if engine.runs]
        used.faults.stall_after, used.faults.stall_next = 5, 1
        await session.call(team, "POST", turns, make_turn(2, model, "second question"))
        session.start_section("The third turn runs where the second one ended")
        await session.call(team, "POST", turns, make_turn(3, model, "third question"))
        await session.call(team, "DELETE", program)
        await session.record_end()
        lines += session.lines


async def run_key_withdrawn(lines: list[str]) -> None:
    """A key withdrawn while its caller reads a stream, Asociación."""
    async with open_session("asociacion") as session:
        team = "clerks"
        session.start_section("A clerk reads a draft; the engine has sent 5 events")
        program = await open_program(session, team)
        (engine,) = session.deployment.engines.values()
        engine.faults.stall_after, engine.faults.stall_next = 5, 1
        path = f"{program}/turns"
        answer = await session.send(team, "POST", path, make_turn(1, "drafts", "hello"))
        start = b""
        while start.count(b"\n\n") < 5:
            start += await answer.content.readuntil(b"\n\n")
        session.record_targets()
        session.start_section("An operator withdraws the key of the team")
        digest = hashlib.sha256(session.deployment.keys[team].encode()).hexdigest()
        path = f"/keys/{digest}/withdraw"
        status, withdrawn = await session.send_operator_request("olga", "POST", path)
        session.add_note(f"operator > POST {path}")
        session.add_note(
            f"operator < {status}, version {withdrawn['version']} in force"
        )
        await session.read_answer(answer, start=start)
        session.start_section("The next request with that key")
        await session.call(team, "POST", "/v1/programs", {"budget": 100})
        session.start_section("Another team is not affected")
        other = await open_program(session, "scanning", 100)
        await session.call("scanning", "DELETE", other)
        session.start_section("An operator ends the program that nobody can continue")
        path = program.replace("/v1/programs", "/programs")
        status, _ = await session.send_operator_request("olga", "DELETE", path)
        session.add_note(f"operator > DELETE {path}")
        session.add_note(f"operator < {status}")
        await session.record_end()
        lines += session.lines
