"""One load-generating process of the benchmark; prints its results as JSON.

It looks at the bytes of streams without decoding them, so that it costs less than the
process that is measured.
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
BUDGET = 1_000_000_000


class Worker:
    """Runs ``concurrency`` loops for ``seconds`` and collects durations in seconds."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self._arguments = arguments
        self._until = 0.0
        self._opened = 0
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
            begun = time.perf_counter()
            self._until = begun + arguments.seconds
            make = {"calls": self._run_calls, "hold": self._hold_programs}.get(
                arguments.mode, self._run_turns
            )
            await asyncio.gather(
                *(make(session, index) for index in range(arguments.concurrency))
            )
            seconds = time.perf_counter() - begun
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
        while time.perf_counter() < self._until:
            begun = time.perf_counter()
            async with session.post(
                self._arguments.url, data=body, headers=headers
            ) as answer:
                await answer.read()
                if self._check(answer):
                    self.total.append(time.perf_counter() - begun)

    async def _run_turns(self, session: aiohttp.ClientSession, index: int) -> None:
        while time.perf_counter() < self._until:
            await self._run_program(session, index, TURNS_PER_PROGRAM)

    async def _run_program(
        self, session: aiohttp.ClientSession, index: int, turns: int
    ) -> None:
        arguments = self._arguments
        is_node = arguments.mode != "direct"
        self._opened += 1
        name = f"{arguments.seed}/{index}/{self._opened}"
        url, history = arguments.url + "/v1/chat/completions", []
        program = None
        if is_node:
            program = await self._open(session)
            if program is None:
                return
            url = f"{arguments.url}/v1/programs/{program}/turns"
        for number in range(1, turns + 1):
            if time.perf_counter() >= self._until and arguments.mode != "hold":
                break
            message = {"role": "user", "content": f"{name}/{number} " + "word " * 20}
            history.append(message)
            body: dict[str, Any] = {"model": arguments.model, "stream": True}
            body["max_tokens"] = arguments.max_tokens
            body["messages"] = [message] if is_node else history
            if is_node:
                body["turn"] = number
            else:
                body |= {"session_id": name, "request_id": f"{name}/{number}"}
            text = await self._stream(session, url, body)
            history.append({"role": "assistant", "content": text})
        if program is not None and arguments.mode != "hold":
            end = f"{arguments.url}/v1/programs/{program}"
            async with session.delete(end) as answer:
                self._check(answer)

    async def _hold_programs(self, session: aiohttp.ClientSession, index: int) -> None:
        for _ in range(self._arguments.programs // self._arguments.concurrency):
            await self._run_program(session, index, 1)

    async def _open(self, session: aiohttp.ClientSession) -> str | None:
        url = self._arguments.url + "/v1/programs"
        async with session.post(url, json={"budget": BUDGET}) as answer:
            data = await answer.read()
            if not self._check(answer):
                await asyncio.sleep(0.1)
                return None
            return str(msgspec.json.decode(data)["id"])

    async def _stream(
        self, session: aiohttp.ClientSession, url: str, body: dict[str, Any]
    ) -> str:
        begun = last = time.perf_counter()
        is_first = True
        data = bytearray()
        async with session.post(url, data=msgspec.json.encode(body)) as answer:
            async for part in answer.content.iter_any():
                now = time.perf_counter()
                (self.first if is_first else self.gaps).append(now - last)
                last, is_first = now, False
                data += part
            if self._check(answer) and b"data: [DONE]" in data:
                self.total.append(time.perf_counter() - begun)
                self.tokens += data.count(b'"content":')
            else:
                self._fail("stream")
        return "answer"

    def _check(self, answer: aiohttp.ClientResponse) -> bool:
        if answer.status >= 400:
            self._fail(str(answer.status))
        return answer.status < 400

    def _fail(self, name: str) -> None:
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
