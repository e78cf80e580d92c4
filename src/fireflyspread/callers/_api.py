"""Routes of the caller API, for callers and for nodes that relay requests."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from aiohttp import web

from fireflyspread.callers._bodies import ChatBody, decode_body, read_body
from fireflyspread.callers._call_handlers import CallHandlers
from fireflyspread.callers._context import Context
from fireflyspread.callers._owners import relay_unless_owned
from fireflyspread.callers._programs import ProgramHandlers
from fireflyspread.callers._remote import find_intent_slot
from fireflyspread.callers._responses import handle_errors, make_json_response
from fireflyspread.callers._turn_handlers import TurnHandlers
from fireflyspread.exceptions import AuthenticationError, FireflyError, NoAuthorityError
from fireflyspread.nodes import Identity
from fireflyspread.recovery import SLOT_COUNT, find_slot

__all__ = ["CallerApi"]

Handler = Callable[[web.Request, bytes, Identity], Awaitable[web.StreamResponse]]
FindSlot = Callable[[web.Request, Identity], int | None]
Identify = Callable[[web.Request, bytes], Identity]


class CallerApi:
    """Builds the applications of the caller port and the internal port.

    Both serve the same routes. On the caller port a key identifies the team; on the
    internal port the node that relays the request names the team and signs.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._turns = TurnHandlers(context)
        self._programs = ProgramHandlers(context, self._turns)
        self._calls = CallHandlers(context)
        self._running = 0
        self._is_idle = asyncio.Event()
        self._is_idle.set()

    @property
    def programs(self) -> ProgramHandlers:
        """Handlers of programs, also used to end programs for operators."""
        return self._programs

    @property
    def running(self) -> int:
        """Number of requests in flight."""
        return self._running

    def start_draining(self) -> None:
        """Refuse new programs and report that this node is not ready."""
        self._programs.is_draining = True

    async def wait_idle(self) -> None:
        """Return once no request is in flight."""
        await self._is_idle.wait()

    def make_public_app(self) -> web.Application:
        """Return the application of the caller port."""
        app = self._make_app(self._identify_caller)
        app.router.add_get("/healthz", self._report_alive)
        app.router.add_get("/readyz", self._report_ready)
        return app

    def make_internal_app(self) -> web.Application:
        """Return the application of the internal port."""
        return self._make_app(self._identify_relayed)

    def _make_app(self, identify: Identify) -> web.Application:
        max_bytes = self._context.settings.limits.body_bytes
        app = web.Application(middlewares=[handle_errors], client_max_size=max_bytes)
        programs, turns, calls = self._programs, self._turns, self._calls
        routes: list[tuple[str, str, Handler, FindSlot]] = [
            ("POST", "/v1/programs", programs.open, self._find_opening_slot),
            ("GET", "/v1/programs/{id}", programs.show, _find_program_slot),
            ("DELETE", "/v1/programs/{id}", programs.end, _find_program_slot),
            (
                "GET",
                "/v1/programs/{id}/history",
                programs.read_history,
                _find_program_slot,
            ),
            (
                "POST",
                "/v1/programs/{id}/children",
                programs.open_child,
                _find_program_slot,
            ),
            ("POST", "/v1/programs/{id}/turns", turns.run_turn, _find_program_slot),
            (
                "GET",
                "/v1/programs/{id}/turns/{turn:[0-9]{1,9}}",
                turns.read_turn,
                _find_program_slot,
            ),
            (
                "POST",
                "/v1/programs/{id}/calls/{route}",
                calls.run_call,
                _find_program_slot,
            ),
            ("POST", "/v1/services/{route}", calls.call, self._find_call_slot),
            ("POST", "/v1/chat/completions", self._run_chat, self._find_chat_slot),
        ]
        for method, path, handler, find in routes:
            app.router.add_route(
                method, path, self._make_handler(handler, find, identify)
            )
        return app

    def _make_handler(
        self, handler: Handler, find: FindSlot, identify: Identify
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        async def run(request: web.Request) -> web.StreamResponse:
            max_bytes = self._context.settings.limits.body_bytes
            body = await read_body(request, max_bytes)
            identity = identify(request, body)
            slot = find(request, identity)
            program = request.match_info.get("id", "")
            with self._count_running(), self._context.guard.track(identity, program):
                if slot is not None:
                    relayed = await relay_unless_owned(
                        self._context, request, slot, identity, body
                    )
                    if relayed is not None:
                        return relayed
                return await handler(request, body, identity)

        return run

    @contextmanager
    def _count_running(self) -> Iterator[None]:
        metrics, clock = self._context.metrics, self._context.clock
        start = clock.read_monotonic()
        self._running += 1
        self._is_idle.clear()
        try:
            yield
        except FireflyError as exc:
            metrics.count(f"refused.{exc.code}")
            raise
        finally:
            metrics.record_seconds("request", clock.read_monotonic() - start)
            self._running -= 1
            if self._running == 0:
                self._is_idle.set()

    def _identify_caller(self, request: web.Request, body: bytes) -> Identity:
        try:
            return self._context.authenticator.authenticate(request.headers)
        except AuthenticationError:
            name = request.match_info.get("route", "")
            route = self._context.bundles.get_active().routes.get(name)
            is_service = request.path.startswith("/v1/services/")
            if route is not None and route.open and is_service:
                return Identity(team="", key_digest="")
            raise

    def _identify_relayed(self, request: web.Request, body: bytes) -> Identity:
        relayed = self._context.signer.check(
            request.method, request.rel_url.raw_path_qs, request.headers, body
        )
        if not relayed.key_digest:
            return relayed
        # This node may have a newer bundle, in which the key is withdrawn.
        current = self._context.authenticator.authenticate_digest(relayed.key_digest)
        if current.team != relayed.team:
            raise AuthenticationError("the key belongs to another team now")
        return relayed

    def _find_opening_slot(
        self, request: web.Request, identity: Identity
    ) -> int | None:
        if self._context.ownership.owned_slots():
            return None
        # A node that has joined but owns no slot yet relays to another node.
        return random.randrange(SLOT_COUNT)

    def _find_chat_slot(self, request: web.Request, identity: Identity) -> int | None:
        slot = _find_program_slot(request, identity)
        return self._find_opening_slot(request, identity) if slot is None else slot

    def _find_call_slot(self, request: web.Request, identity: Identity) -> int | None:
        route = self._context.bundles.get_active().routes.get(
            request.match_info["route"]
        )
        key = request.headers.get("Idempotency-Key")
        if route is None or route.idempotent or not key:
            return None
        return find_intent_slot(identity.team, key)

    async def _run_chat(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        if request.headers.get("X-Program-Id"):
            return await self._turns.run_chat(request, body, identity)
        chat = decode_body(body, ChatBody)
        return await self._programs.run_single_turn(request, chat, identity)

    async def _report_alive(self, request: web.Request) -> web.Response:
        return make_json_response({"alive": True})

    async def _report_ready(self, request: web.Request) -> web.Response:
        self._context.ownership.check_ready()
        self._context.bundles.get_active()
        if self._programs.is_draining:
            raise NoAuthorityError("this node is shutting down; use another")
        return make_json_response({"ready": True, "running": self._running})


def _find_program_slot(request: web.Request, identity: Identity) -> int | None:
    program_id = request.match_info.get("id") or request.headers.get("X-Program-Id")
    return find_slot(program_id) if program_id else None
