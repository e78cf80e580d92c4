"""Callers of one cell, which record every attempt and answer."""

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

__all__ = ["Attempt", "CallLog", "Caller", "Order", "Program", "RecordingClient"]

MODEL = "lid-matching"
MAX_TOKENS = 40


@define(kw_only=True)
class Attempt:
    """One attempt of a request; times in seconds since the epoch.

    Attributes
    ----------
    label : str
        Digest of the history of a turn, or idempotency key of an order.
    outcome : str
        Outcome of the error, ``ran`` after an answer, ``cut`` if there was neither.
    last_token_at : float
        When the last text of a stream arrived; 0 if none has.
    """

    label: str
    key: str
    sent_at: float
    outcome: str = "open"
    code: str = ""
    ended_at: float = 0.0
    last_token_at: float = 0.0


@define(kw_only=True)
class Program:
    """A program with the history that its caller knows."""

    id: str
    team: str
    budget: int
    contents: list[str] = field(factory=list)
    digests: set[str] = field(factory=set)
    is_ended: bool = False


@define(kw_only=True)
class Order:
    """A non-idempotent call with its answers and errors."""

    key: str
    body: bytes
    answers: list[bytes] = field(factory=list)
    errors: list[tuple[str, str]] = field(factory=list)


@define
class CallLog:
    """Requests and answers of the callers of one cell.

    Attributes
    ----------
    answers : list of tuple
        Digest of the history and number of tokens of each answer.
    versions : list of tuple
        Node, process id and bundle version of each observation.
    """

    started_at: float = field(factory=time.time)
    programs: list[Program] = field(factory=list)
    orders: list[Order] = field(factory=list)
    attempts: list[Attempt] = field(factory=list)
    problems: list[str] = field(factory=list)
    answers: list[tuple[str, int]] = field(factory=list)
    versions: list[tuple[str, int, int]] = field(factory=list)


class RecordingClient(CallerClient):
    """A client that records its attempts under ``label``."""

    def __init__(
        self, call_log: CallLog, nodes: list[str], key: str, **kw: Any
    ) -> None:
        super().__init__(nodes, key, **kw)
        self.label = ""
        self._call_log = call_log
        self._key = key
        self._last_token_at = 0.0

    async def _send_with_retries(
        self, path: str, attempt: Any, *, is_rate_limited: bool = False
    ) -> Any:
        async def record(node: str) -> Any:
            entry = Attempt(label=self.label, key=self._key, sent_at=time.time())
            self._call_log.attempts.append(entry)
            entry.outcome = "cut"
            self._last_token_at = 0.0
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
                entry.ended_at = time.time()
                entry.last_token_at = self._last_token_at

        return await super()._send_with_retries(
            path, record, is_rate_limited=is_rate_limited
        )

    async def _read_stream(
        self, url: str, body: dict[str, Any], stream: _Stream
    ) -> None:
        try:
            await super()._read_stream(url, body, stream)
        finally:
            if stream.times:
                age = time.monotonic() - stream.times[-1]
                self._last_token_at = time.time() - age


class Caller:
    """Caller of one team, which runs programs and checks each answer.

    Parameters
    ----------
    keys : list of str
        Keys of the team; a withdrawn key is replaced by the next one.
    nodes : list of str
        Base URLs, in the order in which they are tried.
    """

    def __init__(
        self,
        call_log: CallLog,
        team: str,
        keys: list[str],
        nodes: list[str],
        *,
        name: str,
        seed: int,
    ) -> None:
        self.call_log = call_log
        self.team = team
        self.name = name
        self.keys = list(keys)
        self._nodes = nodes
        self._rng = random.Random(f"{seed}/{name}")
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Return the next number, from 1."""
        return next(self._numbers)

    def open_client(self, nodes: list[str] | None = None) -> RecordingClient:
        """Return a client with the first key that is not known to be withdrawn."""
        rng = random.Random(self._rng.random())
        return RecordingClient(
            self.call_log, nodes or self._nodes, self.keys[0], timeout=60.0, rng=rng
        )

    async def run_request(
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

    async def open_program(
        self, budget: int, nodes: list[str] | None = None
    ) -> Program:
        """Open a program."""
        name = await self.run_request("", lambda c: c.open_program(budget), nodes)
        program = Program(id=name, team=self.team, budget=budget)
        self.call_log.programs.append(program)
        return program

    async def run_turn(
        self, program: Program, number: int, *, max_tokens: int = MAX_TOKENS
    ) -> str:
        """Run a turn, check its answer and add both to the history."""
        contents = [*program.contents, f"[{self.name} {program.id}/{number}] question"]
        label = digest_contents(contents)
        program.digests.add(label)
        message = {"role": "user", "content": contents[-1]}
        answer = await self.run_request(
            label,
            lambda c: c.run_turn(
                program.id, number, [message], model=MODEL, max_tokens=max_tokens
            ),
        )
        difference = verify_answer(contents, answer.text)
        self.call_log.answers.append((label, len(answer.text.split())))
        if difference is not None:
            self.call_log.problems.append(
                f"P9 {program.id} turn {number}: {difference}"
            )
        program.contents = [*contents, answer.text]
        return answer.text

    async def place_order(self, program: Program | None, number: int) -> Order:
        """Send a new order; its error, if any, is recorded and not raised."""
        key = f"{self.name}-{number}"
        order = Order(key=key, body=msgspec.json.encode({"order": key}))
        self.call_log.orders.append(order)
        await self.send_order(order, program, number)
        return order

    async def read_next_turn(self, program: Program) -> int:
        """Return the number of the next turn; a failed call does not consume one."""
        state = await self.run_request("", lambda c: c.read_program(program.id))
        return int(state["next_turn"])

    async def send_order(
        self, order: Order, program: Program | None = None, number: int = 0
    ) -> None:
        """Send or repeat an order, in a program or outside of one."""

        async def send(client: RecordingClient) -> bytes:
            return await client.call(
                "orders",
                order.body,
                program=None if program is None else program.id,
                turn=number,
                idempotency_key=order.key,
            )

        try:
            answer = await self.run_request(order.key, send)
        except CallError as exc:
            order.errors.append((exc.code, exc.outcome))
            return
        order.answers.append(answer)
        found = msgspec.json.decode(answer).get("digest")
        if found != hashlib.sha256(order.body).hexdigest():
            self.call_log.problems.append(f"P9 {order.key}: answer to another body")

    async def check_history(self, program: Program) -> None:
        """Compare the stored history with that of the caller."""
        found = await self.run_request("", lambda c: c.read_history(program.id))
        contents = [m["content"] for m in found if m["role"] in ("user", "assistant")]
        if contents[: len(program.contents)] != program.contents:
            self.call_log.problems.append(f"P2 {program.id}: the history differs")

    async def end_program(self, program: Program) -> None:
        """End a program."""

        async def send(client: RecordingClient) -> None:
            try:
                await client.end_program(program.id)
            except CallError as exc:
                # If the answer to the first attempt is lost, the program has ended.
                if exc.code not in ("program_ended", "not_found"):
                    raise

        await self.run_request("", send)
        program.is_ended = True

    async def run_program(self, turns: int) -> None:
        """Run a whole program with an order as its second step."""
        program = await self.open_program(2000)
        await self.run_turn(program, 1)
        order = await self.place_order(program, 2)
        for _ in range(turns - 2):
            await self.run_turn(program, await self.read_next_turn(program))
        await self.send_order(order)
        await self.check_history(program)
        await self.end_program(program)

    async def run_to_budget(self, budget: int) -> None:
        """Run turns until the budget is exhausted."""
        program = await self.open_program(budget)
        for number in range(1, 100):
            try:
                await self.run_turn(program, number)
            except CallError as exc:
                if exc.code != "budget_exceeded":
                    raise
                await self.end_program(program)
                return
            await asyncio.sleep(0)
        self.call_log.problems.append(f"P3 {program.id}: never reached its budget")
