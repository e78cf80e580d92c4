"""Client of the caller API with retries."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any, Self

import aiohttp
import msgspec
from attrs import define, field, frozen

__all__ = ["CallError", "CallerClient", "RateChecker", "TurnAnswer"]

# Codes that are retried even if the error names no retry-after.
_RETRYABLE = frozenset(
    "target_failed target_unreachable replica_crashed answer_crossed "
    "deadline_exceeded journal_sealed request_running".split()
)
_MAX_RETRY_DELAY_SECONDS = 5.0
# A request that receives no data for this time is retried on another node.
_STALL_TIMEOUT_SECONDS = 15.0


class CallError(Exception):
    """A request that failed and is not retried any more.

    Attributes
    ----------
    code, outcome : str
        As in the body of the error. ``no_answer``, ``stalled`` or ``stream_cut``, with
        ``may_have_run``, if the last attempt before the timeout had no complete answer.
        ``status_`` and the HTTP status for an error answer of the target, with ``ran``,
        or for one that cannot be decoded, with ``may_have_run``.
    """

    def __init__(self, code: str, message: str, outcome: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.outcome = outcome


class RateChecker:
    """Token bucket of a team at the caller; counts refusals within the rate limit.

    Parameters
    ----------
    rate, burst : float
        The team's limits in the bundle, in requests per second and requests.
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.wrong_refusals = 0
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._time = time.monotonic()

    def take(self) -> bool:
        """Count a request and return whether it is within the rate limit."""
        now = time.monotonic()
        refill = (now - self._time) * self._rate
        self._tokens, self._time = min(self._burst, self._tokens + refill), now
        self._tokens -= 1.0
        return self._tokens >= 0.0

    def return_token(self, was_within_limit: bool) -> None:
        """Return the token of a request that was refused."""
        self._tokens += 1.0
        self.wrong_refusals += was_within_limit


class _Retry(Exception):
    def __init__(self, code: str, delay: float, *, error: CallError) -> None:
        super().__init__(code)
        self.code = code
        self.delay = delay
        self.error = error


@frozen(kw_only=True)
class TurnAnswer:
    """Answer of one model turn.

    Attributes
    ----------
    time_to_first_token, seconds : float
        Seconds from the start of the first attempt to the first text and to the end.
    gaps : tuple of float
        Seconds between the texts of the last attempt.
    """

    text: str
    usage: dict[str, Any]
    time_to_first_token: float
    gaps: tuple[float, ...]
    seconds: float
    attempts: int
    durability: str


@define
class _Stream:
    text: str = ""
    usage: dict[str, Any] = field(factory=dict)
    durability: str = ""
    times: list[float] = field(factory=list)
    is_done: bool = False


class CallerClient:
    """A caller of one team that can use any node.

    Parameters
    ----------
    nodes : list of str
        Base URLs; a failed request is retried on the next one.
    key : str
        The team's key.
    timeout : float
        Seconds that a request may take, with all its retries.
    rng : random.Random or None
        Jitter of the retries.
    rate_checker : RateChecker or None
        Counts refusals within the team's rate limit.

    Attributes
    ----------
    retries : Counter of str
        Failed attempts that allow a retry, by code.
    stalls : list of str
        Time in seconds since the epoch and URL of each attempt that stalled.
    """

    def __init__(
        self,
        nodes: list[str],
        key: str,
        *,
        timeout: float = 60.0,
        rng: random.Random | None = None,
        rate_checker: RateChecker | None = None,
    ) -> None:
        self.nodes = list(nodes)
        self.retries: Counter[str] = Counter()
        self._headers = {"Authorization": f"Bearer {key}"}
        self._timeout = timeout
        self._rng = rng or random.Random()
        self._rate_checker = rate_checker
        self._next = 0
        self.stalls: list[str] = []
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> Self:
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(
                total=None, sock_connect=1.0, sock_read=_STALL_TIMEOUT_SECONDS
            ),
        )
        return self

    async def __aexit__(self, *exc: object) -> None:
        if self._session is not None:
            await self._session.close()

    async def open_program(self, budget: int, *, parent: str | None = None) -> str:
        """Open a program or a sub-agent and return its id."""
        path = "/v1/programs" if parent is None else f"/v1/programs/{parent}/children"
        answer = await self.request("POST", path, json={"budget": budget})
        return str(msgspec.json.decode(answer)["id"])

    async def end_program(self, program: str) -> None:
        """End a program."""
        await self.request("DELETE", f"/v1/programs/{program}")

    async def read_program(self, program: str) -> dict[str, Any]:
        """Return the state of a program."""
        answer = await self.request("GET", f"/v1/programs/{program}")
        return dict(msgspec.json.decode(answer))

    async def read_history(self, program: str) -> list[dict[str, Any]]:
        """Return the messages of a program."""
        answer = await self.request("GET", f"/v1/programs/{program}/history")
        return list(msgspec.json.decode(answer)["messages"])

    async def call(
        self,
        route: str,
        body: bytes,
        *,
        program: str | None = None,
        turn: int = 0,
        idempotency_key: str | None = None,
    ) -> bytes:
        """Call a service, as a turn of ``program`` if it is given."""
        headers = {"Content-Type": "application/json"}
        path = f"/v1/services/{route}"
        if program is not None:
            headers["X-Turn"] = str(turn)
            path = f"/v1/programs/{program}/calls/{route}"
        if idempotency_key is not None:
            headers["Idempotency-Key"] = idempotency_key
        return await self.request("POST", path, data=body, headers=headers)

    async def run_turn(
        self,
        program: str,
        turn: int,
        messages: list[dict[str, Any]],
        *,
        model: str,
        max_tokens: int = 256,
    ) -> TurnAnswer:
        """Run a streamed model turn, with retries until its answer is complete."""
        body = {"turn": turn, "model": model, "messages": messages}
        body |= {"max_tokens": max_tokens, "stream": True}
        path = f"/v1/programs/{program}/turns"
        started_at = time.monotonic()
        attempts = 0
        first = 0.0

        async def attempt(node: str) -> _Stream:
            nonlocal attempts, first
            attempts += 1
            stream = _Stream()
            try:
                await self._read_stream(node + path, body, stream)
            finally:
                if not first and stream.times:
                    first = stream.times[0]
            return stream

        stream = await self._send_with_retries(path, attempt, is_rate_limited=True)
        times = stream.times or [time.monotonic()]
        return TurnAnswer(
            text=stream.text,
            usage=stream.usage,
            time_to_first_token=(first or times[0]) - started_at,
            gaps=tuple(b - a for a, b in zip(times, times[1:], strict=False)),
            seconds=time.monotonic() - started_at,
            attempts=attempts,
            durability=stream.durability,
        )

    async def request(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        **kw: Any,
    ) -> bytes:
        """Send a request, with retries, and return the body of the answer.

        Raises
        ------
        CallError
            The request failed with a final error or its timeout expired.
        """

        async def attempt(node: str) -> bytes:
            async with self._send(
                method, node + path, headers=headers, **kw
            ) as response:
                body = await response.read()
                if response.status >= 400:
                    raise _read_error(response, body)
                return body

        is_rate_limited = "/calls/" in path or "/services/" in path
        return await self._send_with_retries(
            path, attempt, is_rate_limited=is_rate_limited
        )

    def _send(self, method: str, url: str, **kw: Any) -> Any:
        assert self._session is not None, "use the client in an async with block"
        headers = {**self._headers, **(kw.pop("headers", None) or {})}
        return self._session.request(method, url, headers=headers, **kw)

    async def _send_with_retries(
        self, path: str, attempt: Any, *, is_rate_limited: bool = False
    ) -> Any:
        deadline = time.monotonic() + self._timeout
        while True:
            node = self.nodes[self._next % len(self.nodes)]
            is_within_limit = (
                self._rate_checker is not None
                and is_rate_limited
                and self._rate_checker.take()
            )
            try:
                async with asyncio.timeout(max(0.05, deadline - time.monotonic())):
                    return await attempt(node)
            except _Retry as exc:
                code, delay, error = exc.code, exc.delay, exc.error
            except (aiohttp.ClientError, TimeoutError, OSError) as exc:
                is_stalled = isinstance(exc, aiohttp.SocketTimeoutError)
                code, delay = "stalled" if is_stalled else "no_answer", 0.1
                error = CallError(code, f"{node}{path}: {exc!r}", "may_have_run")
                if is_stalled:
                    self.stalls.append(f"{time.time():.3f} {node}{path}")
            self.retries[code] += 1
            if code != "rate_limited":
                self._next += 1
            elif self._rate_checker is not None and is_rate_limited:
                self._rate_checker.return_token(is_within_limit)
            delay *= 1.0 + self._rng.random()
            if time.monotonic() + delay > deadline:
                raise error
            await asyncio.sleep(delay)

    async def _read_stream(
        self, url: str, body: dict[str, Any], stream: _Stream
    ) -> None:
        async with self._send("POST", url, json=body) as response:
            if response.status >= 400:
                raise _read_error(response, await response.read())
            async for event in _split_events(response.content):
                _apply_event(event, stream)
        if not stream.is_done:
            error = CallError("stream_cut", "no [DONE] event", "may_have_run")
            raise _Retry("stream_cut", 0.1, error=error)


async def _split_events(content: aiohttp.StreamReader) -> AsyncIterator[bytes]:
    partial = b""
    async for data in content.iter_any():
        *events, partial = (partial + data).split(b"\n\n")
        for event in events:
            yield event


def _apply_event(event: bytes, stream: _Stream) -> None:
    lines = dict(line.partition(b": ")[::2] for line in event.split(b"\n"))
    data = lines.get(b"data", b"")
    if lines.get(b"event") == b"error":
        raise _make_error(msgspec.json.decode(data)["error"])
    if data == b"[DONE]":
        stream.is_done = True
    elif data:
        chunk = msgspec.json.decode(data)
        for choice in chunk.get("choices", ()):
            text = choice.get("delta", {}).get("content")
            if text:
                stream.text += text
                stream.times.append(time.monotonic())
        stream.usage = chunk.get("usage") or stream.usage
        extension = chunk.get("fireflyspread") or {}
        stream.durability = extension.get("durability", stream.durability)


def _read_error(response: aiohttp.ClientResponse, body: bytes) -> Exception:
    if "X-Outcome" not in response.headers:
        # An answer of the target; the nodes' own errors have this header.
        text = body[:200].decode(errors="replace")
        return CallError(f"status_{response.status}", text, "ran")
    try:
        error = msgspec.json.decode(body)["error"]
    except (msgspec.DecodeError, KeyError, TypeError):
        text = body[:200].decode(errors="replace")
        return CallError(f"status_{response.status}", text, "may_have_run")
    return _make_error(error)


def _make_error(error: dict[str, Any]) -> Exception:
    code = str(error.get("code"))
    outcome = str(error.get("outcome"))
    call_error = CallError(code, str(error.get("message")), outcome)
    delay = error.get("retry_after")
    if delay is None and code not in _RETRYABLE:
        return call_error
    if code == "may_have_run":
        return call_error
    return _Retry(code, min(_MAX_RETRY_DELAY_SECONDS, delay or 0.2), error=call_error)
