"""Callers of one cell; they note every attempt and every answer."""

import asyncio
import hashlib
import itertools
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp
import msgspec
from attrs import define, field

from standins._answers import digest_contents, verify_answer
from tools.client import CallerClient, CallError, _Retry, _Stream

__all__ = ["Attempt", "Ledger", "Order", "Program", "RecordingClient", "Runner"]

MODEL = "lid-matching"
MAX_TOKENS = 40


@define(kw_only=True)
class Attempt:
    """One request as its caller saw it; times in seconds since the epoch.

    Attributes
    ----------
    label : str
        Digest of the history of a turn, or idempotency key of an order.
    outcome : str
        Outcome of the error, ``ran`` after an answer, ``open`` while it runs.
    last_token : float
        When the last text of a stream arrived; 0 without one.
    """

    label: str
    key: str
    sent: float
    outcome: str = "open"
    code: str = ""
    ended: float = 0.0
    last_token: float = 0.0


@define(kw_only=True)
class Program:
    """A program with the history its caller knows."""

    id: str
    team: str
    budget: int
    contents: list[str] = field(factory=list)
    digests: set[str] = field(factory=set)
    is_ended: bool = False


@define(kw_only=True)
class Order:
    """A non-idempotent call and its results."""

    key: str
    body: bytes
    answers: list[bytes] = field(factory=list)
    errors: list[tuple[str, str]] = field(factory=list)


@define
class Ledger:
    """What the callers of one cell sent and received."""

    begun: float = field(factory=time.time)
    programs: list[Program] = field(factory=list)
    orders: list[Order] = field(factory=list)
    attempts: list[Attempt] = field(factory=list)
    problems: list[str] = field(factory=list)
    answers: list[tuple[str, int]] = field(factory=list)
    versions: list[tuple[str, int, int]] = field(factory=list)


class RecordingClient(CallerClient):
    """A client that notes its attempts under the label in force."""

    def __init__(self, ledger: Ledger, nodes: list[str], key: str, **kw: Any) -> None:
        super().__init__(nodes, key, **kw)
        self.label = ""
        self._ledger = ledger
        self._key = key
        self._last_token = 0.0

    async def _send_with_retries(
        self, path: str, attempt: Any, *, is_rate_limited: bool = False
    ) -> Any:
        async def note(node: str) -> Any:
            entry = Attempt(label=self.label, key=self._key, sent=time.time())
            self._ledger.attempts.append(entry)
            entry.outcome = "cut"
            self._last_token = 0.0
            try:
                result = await attempt(node)
                entry.outcome = "ran"
                return result
            except aiohttp.ClientConnectorError:
                entry.outcome, entry.code = "not_run", "no_connection"
                raise
            except CallError as exc:
                entry.outcome, entry.code = exc.outcome, exc.code
                raise
            except _Retry as exc:
                entry.outcome, entry.code = exc.error.outcome, exc.code
                raise
            finally:
                entry.ended = time.time()
                entry.last_token = self._last_token

        return await super()._send_with_retries(
            path, note, is_rate_limited=is_rate_limited
        )

    async def _read_stream(
        self, path: str, body: dict[str, Any], stream: _Stream
    ) -> None:
        try:
            await super()._read_stream(path, body, stream)
        finally:
            if stream.times:
                age = time.monotonic() - stream.times[-1]
                self._last_token = time.time() - age


class Runner:
    """Runs programs of one team and checks each answer.

    Parameters
    ----------
    keys : list of str
        Keys of the team; the next one is used when one is withdrawn.
    nodes : list of str
        Base URLs; the first is tried first.
    """

    def __init__(
        self,
        ledger: Ledger,
        team: str,
        keys: list[str],
        nodes: list[str],
        *,
        name: str,
        seed: int,
    ) -> None:
        self.ledger = ledger
        self.team = team
        self.name = name
        self.keys = list(keys)
        self._nodes = nodes
        self._rng = random.Random(f"{seed}/{name}")
        self._numbers = itertools.count(1)

    def count(self) -> int:
        """Return 1, 2, 3 and so on."""
        return next(self._numbers)

    def open_client(self, nodes: list[str] | None = None) -> RecordingClient:
        """Return a client with the newest key."""
        rng = random.Random(self._rng.random())
        return RecordingClient(
            self.ledger, nodes or self._nodes, self.keys[0], timeout=60.0, rng=rng
        )

    async def act(
        self,
        label: str,
        work: Callable[[RecordingClient], Awaitable[Any]],
        nodes: list[str] | None = None,
    ) -> Any:
        """Run one request; a withdrawn key is replaced by the next one."""
        while True:
            async with self.open_client(nodes) as client:
                client.label = label
                try:
                    return await work(client)
                except CallError as exc:
                    if exc.code not in ("key_withdrawn", "key_unknown"):
                        raise
                    if len(self.keys) == 1:
                        raise
            self.keys.pop(0)

    async def open(self, budget: int, nodes: list[str] | None = None) -> Program:
        """Open a program."""
        name = await self.act("", lambda c: c.open_program(budget), nodes)
        program = Program(id=name, team=self.team, budget=budget)
        self.ledger.programs.append(program)
        return program

    async def turn(
        self, program: Program, number: int, *, max_tokens: int = MAX_TOKENS
    ) -> str:
        """Run a turn and add it to the history."""
        contents = [*program.contents, f"[{self.name} {program.id}/{number}] question"]
        label = digest_contents(contents)
        program.digests.add(label)
        message = {"role": "user", "content": contents[-1]}
        answer = await self.act(
            label,
            lambda c: c.run_turn(
                program.id, number, [message], model=MODEL, max_tokens=max_tokens
            ),
        )
        wrong = verify_answer(contents, answer.text)
        self.ledger.answers.append((label, len(answer.text.split())))
        if wrong is not None:
            self.ledger.problems.append(f"P9 {program.id} turn {number}: {wrong}")
        program.contents = [*contents, answer.text]
        return answer.text

    async def order(self, program: Program | None, number: int) -> Order:
        """Place an order; an unknown outcome is kept and not an error here."""
        key = f"{self.name}-{number}"
        order = Order(key=key, body=msgspec.json.encode({"order": key}))
        self.ledger.orders.append(order)
        await self.repeat_order(order, program, number)
        return order

    async def read_next(self, program: Program) -> int:
        """Return the number of the next turn; a call that failed has not taken one."""
        state = await self.act("", lambda c: c.read_program(program.id))
        return int(state["next_turn"])

    async def repeat_order(
        self, order: Order, program: Program | None = None, number: int = 0
    ) -> None:
        """Send an order, first or again, in a program or outside of one."""

        async def send(client: RecordingClient) -> bytes:
            return await client.call(
                "orders",
                order.body,
                program=None if program is None else program.id,
                turn=number,
                idempotency_key=order.key,
            )

        try:
            answer = await self.act(order.key, send)
        except CallError as exc:
            order.errors.append((exc.code, exc.outcome))
            return
        order.answers.append(answer)
        found = msgspec.json.decode(answer).get("digest")
        if found != hashlib.sha256(order.body).hexdigest():
            self.ledger.problems.append(f"P9 {order.key}: answer to another body")

    async def check_history(self, program: Program) -> None:
        """Compare the history that the system kept with the caller's."""
        found = await self.act("", lambda c: c.read_history(program.id))
        contents = [m["content"] for m in found if m["role"] in ("user", "assistant")]
        if contents[: len(program.contents)] != program.contents:
            self.ledger.problems.append(f"P2 {program.id}: the history differs")

    async def end(self, program: Program) -> None:
        """End a program."""

        async def send(client: RecordingClient) -> None:
            try:
                await client.end_program(program.id)
            except CallError as exc:
                # A lost answer to the first attempt leaves an ended program.
                if exc.code not in ("program_ended", "not_found"):
                    raise

        await self.act("", send)
        program.is_ended = True

    async def run_program(self, turns: int) -> None:
        """Run a whole program with an order in the middle."""
        program = await self.open(2000)
        await self.turn(program, 1)
        order = await self.order(program, 2)
        for _ in range(turns - 2):
            await self.turn(program, await self.read_next(program))
        await self.repeat_order(order)
        await self.check_history(program)
        await self.end(program)

    async def run_to_budget(self, budget: int) -> None:
        """Run turns until the budget is used up."""
        program = await self.open(budget)
        for number in range(1, 100):
            try:
                await self.turn(program, number)
            except CallError as exc:
                if exc.code != "budget_exceeded":
                    raise
                await self.end(program)
                return
            await asyncio.sleep(0)
        self.ledger.problems.append(f"P3 {program.id}: never reached its budget")
