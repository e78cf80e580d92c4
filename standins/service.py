"""Stand-in of a plain service or tool service."""

import asyncio
import hashlib
import time
from collections import Counter
from typing import Any

from aiohttp import web
from attrs import asdict, define, frozen

from standins._base import Faults, StandIn, answer_json, main, notify

__all__ = ["Effect", "ServiceFaults", "ServiceStandIn"]


@define(kw_only=True, on_setattr=notify, slots=False)
class ServiceFaults(Faults):
    """Fault switches of a service; counts apply to the next calls.

    Attributes
    ----------
    effect_delay : float
        Seconds between the effect and the answer.
    crash_on : str
        A call whose body contains this text crashes the process before its effect.
    crash_after_effect : bool
        Whether such a crash happens after the effect instead.
    crash_seconds : float
        Seconds until the process is up again.
    hang_next : int
        Number of calls that have no effect and are never answered.
    hang_after_effect : int
        Number of calls that take effect and are never answered.
    refuse_next : int
        Number of calls refused with 503 as not run.
    fail_next : int
        Number of calls answered with 500 after the effect.
    checks_fence : bool
        Whether calls with an old fencing token are refused.
    rate_limit : float or None
        Calls a second that answers name as the limit of all nodes together.
    """

    effect_delay: float = 0.0
    crash_on: str = ""
    crash_after_effect: bool = False
    crash_seconds: float = 1.0
    hang_next: int = 0
    hang_after_effect: int = 0
    refuse_next: int = 0
    fail_next: int = 0
    checks_fence: bool = False
    rate_limit: float | None = None


@frozen(kw_only=True)
class Effect:
    """One call that ran.

    Attributes
    ----------
    time : float
        Seconds since the epoch.
    """

    number: int
    time: float
    path: str
    idempotency_key: str | None
    digest: str
    request: str | None
    fence: int
    body: str


class ServiceStandIn(StandIn):
    """Service that records every call that ran, on any path.

    The answer contains the digest of the body and the number of the effect, so that a
    replayed answer can be told from a second run.

    Attributes
    ----------
    effects : list of Effect
        All calls that ran.
    """

    faults_class = ServiceFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.effects: list[Effect] = []
        self.highest_fence = 0

    def add_routes(self, app: web.Application) -> None:
        """Accept calls on any path."""
        app.router.add_post("/{path:.*}", self._call)

    def add_control_routes(self, app: web.Application) -> None:
        """Add the route of the effects."""
        app.router.add_get("/effects", self._get_effects)

    def count_by_key(self) -> Counter[str]:
        """Return how often each idempotency key ran."""
        return Counter(e.idempotency_key for e in self.effects if e.idempotency_key)

    def count_by_body(self) -> Counter[str]:
        """Return how often each body ran."""
        return Counter(effect.digest for effect in self.effects)

    async def _call(self, request: web.Request) -> web.Response:
        body = await request.read()
        refusal = self._check_fence(request) or self._take_refusal()
        if refusal is not None:
            return refusal
        is_poison = bool(self.faults.crash_on) and self.faults.crash_on.encode() in body
        if is_poison and not self.faults.crash_after_effect:
            await self._crash()
        if self._consume_fault("hang_next"):
            await asyncio.Event().wait()
        effect = self._record_effect(request, body)
        if is_poison:
            await self._crash()
        if self._consume_fault("hang_after_effect"):
            await asyncio.Event().wait()
        if self.faults.effect_delay:
            await asyncio.sleep(self.faults.effect_delay)
        if self._consume_fault("fail_next"):
            return answer_json({"error": {"code": "internal"}}, status=500)
        response = answer_json(
            {"ran": True, "digest": effect.digest, "number": effect.number}
        )
        if self.faults.rate_limit is not None:
            response.headers["X-Rate-Limit"] = f"{self.faults.rate_limit:g}"
        return response

    def _record_effect(self, request: web.Request, body: bytes) -> Effect:
        effect = Effect(
            number=len(self.effects) + 1,
            time=time.time(),
            path=request.path,
            idempotency_key=request.headers.get("Idempotency-Key"),
            digest=hashlib.sha256(body).hexdigest(),
            request=request.headers.get("X-Request-Id"),
            fence=_read_fence(request),
            body=body.decode(errors="replace"),
        )
        self.effects.append(effect)
        return effect

    async def _crash(self) -> None:
        self.crash(self.faults.crash_seconds)
        await asyncio.Event().wait()

    def _consume_fault(self, name: str) -> bool:
        count = getattr(self.faults, name)
        if count > 0:
            setattr(self.faults, name, count - 1)
        return bool(count > 0)

    def _check_fence(self, request: web.Request) -> web.Response | None:
        fence = _read_fence(request)
        if self.faults.checks_fence and fence < self.highest_fence:
            text = f"fencing token {fence} is older than {self.highest_fence}"
            error = {"code": "fence_stale", "message": text}
            return answer_json({"error": error}, status=409)
        self.highest_fence = max(self.highest_fence, fence)
        return None

    def _take_refusal(self) -> web.Response | None:
        if not self._consume_fault("refuse_next"):
            return None
        response = answer_json({"error": {"code": "busy"}}, status=503)
        response.headers.update({"Retry-After": "1", "X-Not-Run": "true"})
        return response

    async def _get_effects(self, request: web.Request) -> web.Response:
        keys, bodies = self.count_by_key(), self.count_by_body()
        return answer_json(
            {
                "effects": [asdict(effect) for effect in self.effects],
                "repeated_keys": {k: n for k, n in keys.items() if n > 1},
                "repeated_bodies": {k: n for k, n in bodies.items() if n > 1},
            }
        )


def _read_fence(request: web.Request) -> int:
    return int(request.headers.get("X-Fencing-Token") or 0)


if __name__ == "__main__":
    main(ServiceStandIn)
