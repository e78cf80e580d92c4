"""Client of model engines over HTTP."""

import asyncio
import logging
import time
from collections.abc import AsyncIterator
from typing import Any, TypeVar

import aiohttp
import msgspec
from attrs import asdict
from yarl import URL

from fireflyspread._http_client import (
    AnswerCallback,
    check_status,
    join_url,
    translate_errors,
)
from fireflyspread.bundle import Replica
from fireflyspread.engines._engine import Engine, EngineLoad, EngineRequest, Order
from fireflyspread.engines._sse import DONE_EVENT, EventSplitter
from fireflyspread.exceptions import (
    FireflyError,
    ReplicaCrashedError,
    StaleFenceError,
    TargetError,
    TargetUnreachableError,
)

__all__ = ["HttpEngine"]

T = TypeVar("T")
_LOG = logging.getLogger(__name__)
# Bytes of the answer to a control request, and of an exported KV cache. A faulty engine
# may send them without end.
_MAX_ANSWER_BYTES = 16 << 20
_MAX_CACHE_BYTES = 1 << 30
# Seconds to read the end of the HTTP body after the last event. A connection whose
# body was not read to the end cannot be reused.
_BODY_END_TIMEOUT = 0.05
# Seconds. The 95th percentile of the time between tokens is 68 ms, so a much longer
# pause is a stall. Waiting for the deadline would leave no time for another replica.
_STALL_TIMEOUT = 5.0


class _Load(msgspec.Struct):
    running: int
    waiting: int
    cache_used: int
    cache_capacity: int


class _Events(msgspec.Struct):
    last: int
    evicted: tuple[str, ...] = ()


class _Sessions(msgspec.Struct):
    sessions: tuple[str, ...]


class HttpEngine(Engine):
    """One replica of a model engine over HTTP.

    Parameters
    ----------
    url : str
        Base URL of the replica.
    session : aiohttp.ClientSession
        Shared by all clients of the process; this client does not close it.
    name : str
        Name of the replica for errors and logs.
    on_answer : callable or None
        Called with each answer to a turn and the seconds since the turn was sent.
    control_timeout : float
        Seconds for each call other than answers and cache transfers.
    transfer_timeout : float
        Seconds for the export or import of a KV cache.
    stall_timeout : float
        Seconds without data, after the first event of an answer, until the replica
        counts as stalled.
    """

    def __init__(
        self,
        url: str,
        *,
        session: aiohttp.ClientSession,
        name: str = "",
        on_answer: AnswerCallback | None = None,
        control_timeout: float = 2.0,
        transfer_timeout: float = 30.0,
        stall_timeout: float = _STALL_TIMEOUT,
    ) -> None:
        self._url = url.rstrip("/")
        self._session = session
        self._name = name or url
        self._on_answer = on_answer
        self._control_timeout = control_timeout
        self._transfer_timeout = transfer_timeout
        self._stall_timeout = stall_timeout
        self._completions_url = join_url(self._url, "v1", "chat", "completions")
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    @classmethod
    def from_config(
        cls,
        replica: Replica,
        session: aiohttp.ClientSession,
        *,
        on_answer: AnswerCallback | None = None,
    ) -> "HttpEngine":
        """Return the client of a replica of the bundle."""
        return cls(replica.url, session=session, name=replica.name, on_answer=on_answer)

    async def stream(self, request: EngineRequest) -> AsyncIterator[bytes]:
        may_be_running = True
        splitter = EventSplitter(request.request_id, self._name)
        sent_at = time.monotonic()
        try:
            with translate_errors(self._name):
                async with self._open_answer(request) as response:
                    may_be_running = response.status < 400
                    if self._on_answer is not None:
                        self._on_answer(response, time.monotonic() - sent_at)
                    await check_status(response, self._name)
                    content = response.content
                    # No stall timeout before the first event, which waits for the
                    # engine's queue and the processing of the prompt.
                    read_timeout = None
                    while not splitter.is_done:
                        async with asyncio.timeout(read_timeout):
                            data = await content.readany()
                        read_timeout = self._stall_timeout
                        if not data:
                            raise ReplicaCrashedError(
                                f"replica {self._name} ended its answer early; "
                                "try another replica"
                            )
                        events = splitter.feed(data)
                        if events:
                            yield events
                    may_be_running = False
                    await _read_body_end(content)
            yield DONE_EVENT
        except TargetUnreachableError:
            may_be_running = False
            raise
        finally:
            if may_be_running:
                self._start_cancel(request.request_id)

    def _open_answer(self, request: EngineRequest) -> Any:
        body = msgspec.json.encode(
            {
                "model": request.model,
                "messages": request.messages,
                "max_tokens": request.max_tokens,
                "stream": True,
                "stream_options": {"include_usage": True},
                "priority": request.priority,
                "request_id": request.request_id,
                "session_id": request.session_id,
                "continue_final_message": request.is_continuation,
                "add_generation_prompt": not request.is_continuation,
            }
        )
        headers = {
            "Content-Type": "application/json",
            "Accept": "text/event-stream",
            "Accept-Encoding": "identity",
            "X-Fencing-Token": str(request.fence),
        }
        return self._session.post(
            self._completions_url,
            data=body,
            headers=headers,
            timeout=self._make_timeout(request.timeout),
            allow_redirects=False,
        )

    def _make_timeout(self, seconds: float) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=seconds, sock_connect=self._session.timeout.sock_connect
        )

    def _start_cancel(self, request_id: str) -> None:
        # The current task may be cancelled, so another task calls the engine.
        task = asyncio.create_task(self._try_cancel(request_id))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)

    async def _try_cancel(self, request_id: str) -> None:
        try:
            await self.cancel(request_id)
        except FireflyError as exc:
            _LOG.debug(
                "cannot cancel request: %s",
                exc,
                extra={"request": request_id, "replica": self._name},
            )

    async def cancel(self, request_id: str) -> None:
        url = join_url(self._url, "v1", "requests", request_id, "cancel")
        await self._call("POST", url, accepted_statuses=(404,))

    async def read_load(self) -> EngineLoad:
        data = await self._call("GET", join_url(self._url, "v1", "load"))
        load = self._decode(data, _Load)
        return EngineLoad(
            running=load.running,
            waiting=load.waiting,
            cache_used=load.cache_used,
            cache_capacity=load.cache_capacity,
        )

    async def read_cache_events(self, after: int) -> tuple[int, tuple[str, ...]]:
        url = join_url(self._url, "v1", "events").with_query(after=after)
        events = self._decode(await self._call("GET", url), _Events)
        return events.last, events.evicted

    async def list_sessions(self) -> tuple[str, ...]:
        data = await self._call("GET", join_url(self._url, "v1", "sessions"))
        return self._decode(data, _Sessions).sessions

    async def release_session(self, session_id: str) -> None:
        url = join_url(self._url, "v1", "sessions", session_id)
        await self._call("DELETE", url, accepted_statuses=(404,))

    async def export_session(self, session_id: str) -> bytes:
        url = join_url(self._url, "v1", "sessions", session_id, "export")
        return await self._call(
            "POST", url, timeout=self._transfer_timeout, max_bytes=_MAX_CACHE_BYTES
        )

    async def import_session(self, session_id: str, cache: bytes) -> None:
        url = join_url(self._url, "v1", "sessions", session_id, "cache")
        await self._call("PUT", url, data=cache, timeout=self._transfer_timeout)

    async def order(self, order: Order) -> None:
        body = msgspec.json.encode(asdict(order))
        url = join_url(self._url, "v1", "orders")
        headers = {
            "Content-Type": "application/json",
            "X-Fencing-Token": str(order.fence),
        }
        await self._call("POST", url, data=body, headers=headers, is_order=True)

    async def close(self) -> None:
        for task in tuple(self._cancel_tasks):
            task.cancel()
        await asyncio.gather(*self._cancel_tasks, return_exceptions=True)

    async def _call(
        self,
        method: str,
        url: URL,
        *,
        data: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float | None = None,
        accepted_statuses: tuple[int, ...] = (),
        is_order: bool = False,
        max_bytes: int = _MAX_ANSWER_BYTES,
    ) -> bytes:
        with translate_errors(self._name):
            async with self._session.request(
                method,
                url,
                data=data,
                headers=headers,
                timeout=self._make_timeout(timeout or self._control_timeout),
                allow_redirects=False,
            ) as response:
                if is_order and response.status == 409:
                    raise StaleFenceError(
                        f"replica {self._name} has seen a newer order; "
                        "retry under the newest bundle"
                    )
                if response.status not in accepted_statuses:
                    await check_status(response, self._name)
                return await self._read_body(response.content, max_bytes)

    async def _read_body(self, content: aiohttp.StreamReader, max_bytes: int) -> bytes:
        body = bytearray()
        async for data in content.iter_any():
            body += data
            if len(body) > max_bytes:
                raise TargetError(
                    f"replica {self._name} answered with more than {max_bytes} bytes; "
                    "check the replica"
                )
        return bytes(body)

    def _decode(self, data: bytes, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(data, type=kind)
        except (msgspec.DecodeError, RecursionError) as exc:
            raise TargetError(
                f"replica {self._name} sent a malformed answer: {exc}; "
                "check its version"
            ) from exc


async def _read_body_end(content: aiohttp.StreamReader) -> None:
    if content.at_eof():
        return
    try:
        async with asyncio.timeout(_BODY_END_TIMEOUT):
            async for _ in content.iter_any():
                pass
    except TimeoutError:
        return
