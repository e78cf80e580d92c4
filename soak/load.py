"""Callers of a soak test, and checks of what they and the replicas observed."""

import asyncio
import random
import re
import time
from collections import Counter

import aiohttp
from attrs import define, field

from soak.cluster import MAX_OUTPUT_TOKENS, Cluster, make_headers, make_turn_headers
from standins.platform_replica import TOKENS_PER_EVENT

__all__ = ["Load"]

BUDGET = 864
_EVENT = re.compile(rb"id: (\d+)\ndata: piece \1\n\n")
_EVENTS_PER_STREAM = 8
_NOT_RUN_STATUSES = frozenset({402, 408, 421, 429, 503})
# Fraction of broken streams that their caller takes up.
_TAKE_UP_SHARE = 0.5
# Time-Remaining of each request; callers wait 1 s longer for the error.
_MAX_WAIT_SECONDS = 4.0


@define
class Load:
    """Programs and orders, sent until ``stop``.

    Attributes
    ----------
    findings : list of str
        Violated guarantees, with the observation.
    statuses : Counter of str
        Requests by status or by exception.
    tokens : Counter of str
        Output tokens received, by program.
    refused : dict of str to int
        Statuses that guarantee that a request has not run and will not run, by request.
    answers : Counter of str
        Complete answers, by order.
    """

    cluster: Cluster
    rng: random.Random
    findings: list[str] = field(factory=list)
    statuses: Counter[str] = field(factory=Counter)
    tokens: Counter[str] = field(factory=Counter)
    refused: dict[str, int] = field(factory=dict)
    answers: Counter[str] = field(factory=Counter)
    _stopped: bool = False
    _number: int = 0

    def stop(self) -> None:
        """Stop the callers after their current requests."""
        self._stopped = True

    async def run_caller(self, name: int) -> None:
        """Send programs and orders over one HTTP session."""
        async with aiohttp.ClientSession() as session:
            while not self._stopped:
                program = f"p{name}-{self._number}"
                turns = 40 if self.rng.random() < 0.2 else 4
                for _ in range(turns):
                    if self._stopped:
                        return
                    status = await self._send_turn(session, program)
                    await self._send_order(session)
                    if status == 402:
                        break
                    await asyncio.sleep(self.rng.uniform(0.0, 0.03))

    def _make_id(self) -> str:
        self._number += 1
        return f"r{self._number}"

    async def _send_turn(self, session: aiohttp.ClientSession, program: str) -> int:
        request = self._make_id()
        headers = make_turn_headers(request, program, budget=BUDGET)
        status, body, is_complete = await self._send(
            session, "/turns/stream", request, headers
        )
        numbers = self._check_events(request, program, status, body)
        if is_complete and status == 200 and len(numbers) != _EVENTS_PER_STREAM:
            self.findings.append(f"EVENTS {request}: complete with {numbers}")
        if numbers and not is_complete and self.rng.random() < _TAKE_UP_SHARE:
            await self._take_up(session, program, request, numbers[-1])
        return status

    def _check_events(
        self, request: str, program: str, status: int, body: bytes, after: int = 0
    ) -> list[int]:
        """Return the numbers of the events of an answer."""
        numbers = [int(number) for number in _EVENT.findall(body)]
        self.tokens[program] += TOKENS_PER_EVENT * len(numbers)
        if status == 200 and numbers != list(
            range(after + 1, after + len(numbers) + 1)
        ):
            self.findings.append(f"EVENTS {request}: {numbers} after {after}")
        return numbers

    async def _take_up(
        self, session: aiohttp.ClientSession, program: str, begun_by: str, last: int
    ) -> None:
        """Take a broken stream up after its event ``last``, at any node."""
        request = self._make_id()
        headers = make_turn_headers(request, program, budget=BUDGET)
        headers |= {"Last-Event-Id": str(last), "Resumes": begun_by}
        status, body, is_complete = await self._send(
            session, "/turns/stream", request, headers
        )
        numbers = self._check_events(request, program, status, body, last)
        if is_complete and status == 200 and last + len(numbers) != _EVENTS_PER_STREAM:
            self.findings.append(f"EVENTS {request}: complete with {numbers}")

    async def _send_order(self, session: aiohttp.ClientSession) -> None:
        request = self._make_id()
        headers = make_headers(request)
        status, body, is_complete = await self._send(
            session, "/orders/1", request, headers
        )
        if status == 200 and is_complete:
            self.answers[request] += 1
            if body != b"done " + request.encode():
                self.findings.append(f"MIXED {request}: {body[:80]!r}")

    async def _send(
        self,
        session: aiohttp.ClientSession,
        path: str,
        request: str,
        headers: dict[str, str],
    ) -> tuple[int, bytes, bool]:
        node = self.rng.choice(self.cluster.nodes)
        body, status = bytearray(), 0
        try:
            async with session.post(
                f"http://{node.callers}{path}",
                headers=headers,
                data=request.encode(),
                timeout=aiohttp.ClientTimeout(total=_MAX_WAIT_SECONDS + 1.0),
            ) as response:
                status = response.status
                found = response.headers.get("Fireflyspread-Request-Id")
                if found not in (None, request):
                    self.findings.append(f"MIXED {request}: the answer is for {found}")
                async for chunk in response.content.iter_any():
                    body += chunk
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self.statuses[type(exc).__name__] += 1
            await asyncio.sleep(0.05)
            return status, bytes(body), False
        self.statuses[str(status)] += 1
        if status in _NOT_RUN_STATUSES:
            self.refused[request] = status
            await asyncio.sleep(min(0.3, float(response.headers.get("Retry-After", 0))))
        return status, bytes(body), True

    def check(self) -> None:
        """Compare the answers to the callers with the runs of the replicas."""
        runs: Counter[str] = Counter()
        for replica in self.cluster.orders:
            runs += replica.count_runs()
        for request, count in runs.items():
            if count > 1:
                self.findings.append(f"TWICE {request}: ran {count} times")
        for replica in (*self.cluster.orders, *self.cluster.models):
            for run in replica.runs:
                if run.tenant != "lids" or run.key is not None:
                    self.findings.append(
                        f"HEADERS {run.request}: wrong tenant or forwarded key: {run}"
                    )
        for request, status in self.refused.items():
            if runs[request]:
                self.findings.append(f"REFUSED {request}: {status}, but it ran")
        for program, tokens in self.tokens.items():
            if tokens > BUDGET + MAX_OUTPUT_TOKENS:
                self.findings.append(
                    f"BUDGET {program}: {tokens} tokens, budget {BUDGET}"
                )

    async def check_recovery(self, seconds: float) -> None:
        """Add a finding for each node that does not serve within ``seconds``."""
        until = time.monotonic() + seconds
        async with aiohttp.ClientSession() as session:
            for node in self.cluster.nodes:
                while True:
                    request = self._make_id()
                    try:
                        async with session.post(
                            f"http://{node.callers}/orders/1",
                            headers=make_headers(request),
                            data=request.encode(),
                            timeout=aiohttp.ClientTimeout(total=2.0),
                        ) as response:
                            if response.status == 200:
                                break
                    except (aiohttp.ClientError, TimeoutError, OSError):
                        self.statuses["recovering"] += 1
                    if time.monotonic() > until:
                        self.findings.append(f"RECOVER {node.name}: not served")
                        break
                    await asyncio.sleep(0.1)
