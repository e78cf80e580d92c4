"""Stand-in of a model engine."""

import asyncio
import time
from collections import deque
from typing import Any

import msgspec
from aiohttp import web

from standins._answers import count_tokens
from standins._base import StandIn, answer_json, main
from standins._engine_cache import SessionCache
from standins._engine_faults import EngineFaults
from standins._runs import Run, make_event_parts, make_final_events, make_response
from standins._slots import PrioritySlots

__all__ = ["EngineFaults", "EngineStandIn", "Run"]

# Without a time per token, events are written in batches, as by a fast engine.
EVENTS_PER_WRITE = 8
# A swap of answers needs a second request; the first one proceeds without it after
# this time.
SWAP_TIMEOUT_SECONDS = 2.0


class EngineStandIn(StandIn):
    """Model engine whose answers depend only on the history.

    One word is one token.

    Parameters
    ----------
    token_seconds, prompt_token_seconds : float
        Seconds per generated token and per prompt token that is not cached.
    batch : int
        Maximum number of requests computed concurrently.
    cache_capacity : int
        Maximum cached tokens of all sessions together.
    shortest, longest : int
        Minimum and maximum tokens of an answer, before ``max_tokens``.
    """

    faults_class = EngineFaults

    def __init__(
        self,
        *,
        token_seconds: float = 0.0,
        prompt_token_seconds: float = 0.0,
        batch: int = 16,
        cache_capacity: int = 400_000,
        shortest: int = 8,
        longest: int = 64,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self.token_seconds = token_seconds
        self.prompt_token_seconds = prompt_token_seconds
        self.shortest = shortest
        self.longest = longest
        self.cache = SessionCache(cache_capacity, self.faults)
        self.slots = PrioritySlots(batch)
        self.runs: deque[Run] = deque(maxlen=max(1, self._log_limit))
        self.orders: list[dict[str, Any]] = []
        self.highest_fence = 0
        self.totals = {"prompt": 0, "cached": 0, "completion": 0, "recomputed": 0}
        self._active: dict[str, Run] = {}
        self._awaiting_swap: tuple[Run, asyncio.Future[Run]] | None = None
        self._load: dict[str, int] = self._read_load()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the engine's protocol."""
        router = app.router
        router.add_post("/v1/chat/completions", self._chat)
        router.add_post("/v1/requests/{id}/cancel", self._cancel)
        router.add_get("/v1/sessions", self._list_sessions)
        router.add_delete("/v1/sessions/{id}", self._release)
        router.add_post("/v1/sessions/{id}/export", self._export)
        router.add_put("/v1/sessions/{id}/cache", self._import)
        router.add_get("/v1/load", self._get_load)
        router.add_get("/v1/events", self._get_events)
        router.add_post("/v1/orders", self._order)

    def add_control_routes(self, app: web.Application) -> None:
        """Add the log of runs and the totals."""
        app.router.add_get("/runs", self._get_runs)
        app.router.add_get("/totals", self._get_totals)

    def can_lose_answer(self, request: web.Request) -> bool:
        """Exclude chat requests, whose answers are cut with ``cut_next`` instead."""
        return request.method != "GET" and request.path != "/v1/chat/completions"

    async def start(self) -> None:
        """Listen and start to sample the load."""
        await super().start()
        self.track_task(asyncio.get_running_loop().create_task(self._sample_load()))

    def crash(self, seconds: float) -> None:
        """Drop the cache and all requests, and recover after ``seconds``."""
        for run in self._active.values():
            run.state = "crashed"
        self.cache.clear()
        super().crash(seconds)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        raw = await request.read()
        faults = self.faults
        refusal = self._check_fence(request) or self._take_refusal()
        if refusal is not None:
            return refusal
        is_poison = bool(faults.crash_on) and faults.crash_on.encode() in raw
        if is_poison and not faults.crash_after:
            self.crash(faults.crash_seconds)
            await asyncio.Event().wait()
        if faults.hang_next > 0:
            faults.hang_next -= 1
            await asyncio.Event().wait()
        body = msgspec.json.decode(raw)
        run = Run.from_body(
            body,
            fence=int(request.headers.get("X-Fencing-Token") or 0),
            shortest=self.shortest,
            longest=self.longest,
        )
        self.runs.append(run)
        self._active[run.request] = run
        run.task = task = asyncio.current_task()
        try:
            run = await self._swap_answers(run)
            run.task = task
            return await self._compute(request, run, body, is_poison)
        except ConnectionError:
            run.state = "broken"
            return web.Response()
        except asyncio.CancelledError:
            if run.state != "cancelled":
                raise
            assert task is not None
            task.uncancel()
            return web.Response(status=499)
        finally:
            self._active.pop(run.request, None)

    async def _swap_answers(self, run: Run) -> Run:
        if self._awaiting_swap is not None:
            first, second = self._awaiting_swap
            self._awaiting_swap = None
            second.set_result(run)
            return first
        if self.faults.cross_answers <= 0:
            return run
        second = asyncio.get_running_loop().create_future()
        self._awaiting_swap = (run, second)
        try:
            async with asyncio.timeout(SWAP_TIMEOUT_SECONDS):
                other = await second
        except TimeoutError:
            self._awaiting_swap = None
            return run
        self.faults.cross_answers -= 1
        return other

    async def _compute(
        self, request: web.Request, run: Run, body: dict[str, Any], is_poison: bool
    ) -> web.StreamResponse:
        await self.slots.acquire(run.priority)
        try:
            await self._compute_prompt(run)
            if not body.get("stream"):
                await self._wait(self.token_seconds * len(run.words))
                run.completion = len(run.words)
                self._finish(run)
                return answer_json(make_response(run))
            headers = {"Content-Type": "text/event-stream"}
            if self.faults.rate_limit is not None:
                headers["X-Rate-Limit"] = f"{self.faults.rate_limit:g}"
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            if not await self._stream(request, response, run, is_poison):
                return response
            await response.write(make_final_events(run))
            self._finish(run)
            return response
        finally:
            self.slots.release()
            if run.session is not None:
                self.cache.end_request(run.session)

    async def _compute_prompt(self, run: Run) -> None:
        run.state = "running"
        if run.session is not None:
            tokens = [count_tokens(content) for content in run.contents]
            run.cached = self.cache.start_request(run.session, run.contents, tokens)
        self.totals["prompt"] += run.prompt
        self.totals["cached"] += run.cached
        self.totals["recomputed"] += max(0, run.prompt - run.cached - run.added)
        await self._wait(self.prompt_token_seconds * (run.prompt - run.cached))

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        run: Run,
        is_poison: bool,
    ) -> bool:
        cut_after = self._take_cut(is_poison)
        stall_after = self._take_stall()
        head, tail = make_event_parts(run)
        texts = run.texts
        is_slow = bool(self.token_seconds) or max(cut_after, stall_after) >= 0
        group = 1 if is_slow else EVENTS_PER_WRITE
        for start in range(0, len(texts), group):
            if start == cut_after:
                return self._break(request, run, is_poison)
            if start == stall_after:
                await asyncio.Event().wait()
            await self._wait(self.token_seconds)
            part = texts[start : start + group]
            await response.write(
                b"".join([head + msgspec.json.encode(t) + tail for t in part])
            )
            run.completion += len(part)
        if len(texts) <= cut_after:
            return self._break(request, run, is_poison)
        return True

    def _take_cut(self, is_poison: bool) -> int:
        if is_poison:
            return int(self.faults.crash_after)
        if self.faults.cut_next > 0:
            self.faults.cut_next -= 1
            return int(self.faults.cut_after)
        return -1

    def _take_stall(self) -> int:
        if self.faults.stall_next <= 0:
            return -1
        self.faults.stall_next -= 1
        return int(self.faults.stall_after)

    def _break(self, request: web.Request, run: Run, is_poison: bool) -> bool:
        run.state = "broken"
        if is_poison:
            self.crash(self.faults.crash_seconds)
        elif request.transport is not None:
            request.transport.abort()
        return False

    async def _wait(self, seconds: float) -> None:
        if seconds:
            await asyncio.sleep(seconds * self.faults.slow)
        if self.faults.down == "hang":
            await self.wait_recovered()

    def _finish(self, run: Run) -> None:
        run.state = "done"
        self.totals["completion"] += run.completion
        if run.session is not None:
            tokens = run.offset + run.completion
            self.cache.add_answer(run.session, run.answer, tokens)

    def _check_fence(self, request: web.Request) -> web.Response | None:
        fence = int(request.headers.get("X-Fencing-Token") or 0)
        if self.faults.checks_fence and fence < self.highest_fence:
            text = f"fencing token {fence} is older than {self.highest_fence}"
            error = {"code": "fence_stale", "message": text}
            return answer_json({"error": error}, status=409)
        self.highest_fence = max(self.highest_fence, fence)
        return None

    def _take_refusal(self) -> web.Response | None:
        if self.faults.refuse_next <= 0:
            return None
        self.faults.refuse_next -= 1
        response = answer_json({"error": {"code": "busy"}}, status=503)
        response.headers.update({"Retry-After": "1", "X-Not-Run": "true"})
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        run = self._active.get(request.match_info["id"])
        if run is None:
            return answer_json({"error": {"code": "not_found"}}, status=404)
        run.state = "cancelled"
        run.task.cancel()
        return answer_json({"cancelled": True})

    async def _list_sessions(self, request: web.Request) -> web.Response:
        return answer_json({"sessions": list(self.cache.sessions)})

    async def _release(self, request: web.Request) -> web.Response:
        if self.faults.refuse_release > 0:
            self.faults.refuse_release -= 1
            return answer_json({"error": {"code": "busy"}}, status=503)
        if not self.cache.release(request.match_info["id"]):
            return answer_json({"error": {"code": "not_found"}}, status=404)
        return answer_json({"released": True})

    async def _export(self, request: web.Request) -> web.Response:
        data = self.cache.export_session(request.match_info["id"])
        if data is None:
            return answer_json({"error": {"code": "not_found"}}, status=404)
        return web.Response(body=data, content_type="application/octet-stream")

    async def _import(self, request: web.Request) -> web.Response:
        try:
            self.cache.import_session(request.match_info["id"], await request.read())
        except msgspec.DecodeError as exc:
            error = {"code": "cache_invalid", "message": str(exc)}
            return answer_json({"error": error}, status=400)
        return answer_json({"loaded": True})

    async def _order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read())
        refusal = self._check_fence(request)
        self.orders.append({**order, "accepted": refusal is None, "time": time.time()})
        return refusal or answer_json({"accepted": True})

    def _read_load(self) -> dict[str, int]:
        return {
            "running": self.slots.running,
            "waiting": self.slots.waiting,
            "cache_used": self.cache.used,
            "cache_capacity": self.cache.capacity,
        }

    async def _sample_load(self) -> None:
        while True:
            sample = self._read_load()
            await asyncio.sleep(max(0.01, self.faults.load_lag))
            self._load = sample

    async def _get_load(self, request: web.Request) -> web.Response:
        return answer_json(self._load)

    async def _get_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", 0))
        last, evicted = self.cache.read_events(after, self.faults.event_lag)
        return answer_json({"last": last, "evicted": evicted})

    async def _get_runs(self, request: web.Request) -> web.Response:
        return answer_json([run.to_json() for run in self.runs])

    async def _get_totals(self, request: web.Request) -> web.Response:
        sessions = len(self.cache.sessions)
        return answer_json({**self.totals, **self._read_load(), "sessions": sessions})


if __name__ == "__main__":
    main(
        EngineStandIn,
        token_seconds=(float, 0.01, "seconds for each generated token"),
        prompt_token_seconds=(float, 0.0001, "seconds for each prompt token"),
        batch=(int, 16, "requests computed at once"),
        cache_capacity=(int, 400_000, "tokens of all sessions"),
        shortest=(int, 8, "tokens of the shortest answer"),
        longest=(int, 64, "tokens of the longest answer"),
    )
