"""Load generator process of the benchmark; prints its results as JSON.

It does not decode the events of streams, so that it uses less CPU than the measured
process. The mode ``direct`` sends chat requests to an engine or a relay, ``turns`` runs
programs on a node, ``calls`` sends calls to a URL, and ``hold`` opens programs, runs
one turn of each and leaves them open.
"""

import argparse
import asyncio
import json
import sys
import time
from typing import Any

import aiohttp
import msgspec
import uvloop

__all__ = ["main"]

TURNS_PER_PROGRAM = 20
BUDGET_TOKENS = 1_000_000_000


class Worker:
    """Runs ``concurrency`` loops for ``seconds`` and collects latencies in seconds.

    Attributes
    ----------
    first, total : list of float
        Time to the first data and to the end of each answer.
    gaps : list of float
        Time between two reads of a stream.
    tokens : int
        Tokens of complete answers.
    errors : dict of str to int
        Failed requests by status, or ``stream`` for an incomplete answer.
    """

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._deadline = 0.0
        self._program_count = 0
        self.first: list[float] = []
        self.total: list[float] = []
        self.gaps: list[float] = []
        self.tokens = 0
        self.errors: dict[str, int] = {}

    async def run(self) -> dict[str, Any]:
        """Run all loops and return the results."""
        arguments = self._arguments
        headers = {"Authorization": f"Bearer {arguments.key}"}
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=120)
        async with aiohttp.ClientSession(
            connector=connector, headers=headers, timeout=timeout
        ) as session:
            started_at = time.perf_counter()
            self._deadline = started_at + arguments.seconds
            run_loop = {"calls": self._run_calls, "hold": self._hold_programs}.get(
                arguments.mode, self._run_turns
            )
            await asyncio.gather(
                *(run_loop(session, index) for index in range(arguments.concurrency))
            )
            seconds = time.perf_counter() - started_at
        return {
            "seconds": seconds,
            "first": self.first,
            "total": self.total,
            "gaps": self.gaps,
            "tokens": self.tokens,
            "errors": self.errors,
        }

    async def _run_calls(self, session: aiohttp.ClientSession, index: int) -> None:
        body = json.dumps({"item": f"{self._arguments.seed}/{index}"}).encode()
        headers = {"Content-Type": "application/json"}
        while time.perf_counter() < self._deadline:
            started_at = time.perf_counter()
            async with session.post(
                self._arguments.url, data=body, headers=headers
            ) as answer:
                await answer.read()
                if self._check(answer):
                    self.total.append(time.perf_counter() - started_at)

    async def _run_turns(self, session: aiohttp.ClientSession, index: int) -> None:
        while time.perf_counter() < self._deadline:
            await self._run_program(session, index, TURNS_PER_PROGRAM)

    async def _run_program(
        self, session: aiohttp.ClientSession, index: int, turns: int
    ) -> None:
        arguments = self._arguments
        is_node = arguments.mode != "direct"
        self._program_count += 1
        session_id = f"{arguments.seed}/{index}/{self._program_count}"
        url, history = arguments.url + "/v1/chat/completions", []
        program = None
        if is_node:
            program = await self._open(session)
            if program is None:
                return
            url = f"{arguments.url}/v1/programs/{program}/turns"
        for number in range(1, turns + 1):
            if time.perf_counter() >= self._deadline and arguments.mode != "hold":
                break
            message = {
                "role": "user",
                "content": f"{session_id}/{number} " + "word " * 20,
            }
            history.append(message)
            body: dict[str, Any] = {"model": arguments.model, "stream": True}
            body["max_tokens"] = arguments.max_tokens
            body["messages"] = [message] if is_node else history
            if is_node:
                body["turn"] = number
            else:
                body |= {
                    "session_id": session_id,
                    "request_id": f"{session_id}/{number}",
                }
            text = await self._stream(session, url, body)
            history.append({"role": "assistant", "content": text})
        if program is not None and arguments.mode != "hold":
            program_url = f"{arguments.url}/v1/programs/{program}"
            async with session.delete(program_url) as answer:
                self._check(answer)

    async def _hold_programs(self, session: aiohttp.ClientSession, index: int) -> None:
        for _ in range(self._arguments.programs // self._arguments.concurrency):
            await self._run_program(session, index, 1)

    async def _open(self, session: aiohttp.ClientSession) -> str | None:
        url = self._arguments.url + "/v1/programs"
        async with session.post(url, json={"budget": BUDGET_TOKENS}) as answer:
            data = await answer.read()
            if not self._check(answer):
                await asyncio.sleep(0.1)
                return None
            return str(msgspec.json.decode(data)["id"])

    async def _stream(
        self, session: aiohttp.ClientSession, url: str, body: dict[str, Any]
    ) -> str:
        started_at = last_read_at = time.perf_counter()
        is_first = True
        data = bytearray()
        async with session.post(url, data=msgspec.json.encode(body)) as answer:
            async for part in answer.content.iter_any():
                now = time.perf_counter()
                (self.first if is_first else self.gaps).append(now - last_read_at)
                last_read_at, is_first = now, False
                data += part
            if self._check(answer) and b"data: [DONE]" in data:
                self.total.append(time.perf_counter() - started_at)
                self.tokens += data.count(b'"content":')
            else:
                self._count_error("stream")
        return "answer"

    def _check(self, answer: aiohttp.ClientResponse) -> bool:
        if answer.status >= 400:
            self._count_error(str(answer.status))
        return answer.status < 400

    def _count_error(self, name: str) -> None:
        self.errors[name] = self.errors.get(name, 0) + 1


def main() -> None:
    """Run one worker."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--url", required=True)
    parser.add_argument(
        "--mode", choices=["direct", "turns", "calls", "hold"], required=True
    )
    parser.add_argument("--key", default="")
    parser.add_argument("--model", default="model")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--concurrency", type=int, default=1)
    parser.add_argument("--max-tokens", type=int, default=8)
    parser.add_argument("--programs", type=int, default=0, help="for mode hold")
    parser.add_argument("--seed", default="1")
    worker = Worker(parser.parse_args())
    result = uvloop.run(worker.run())
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
