"""Stand-in of the weight store: named blobs behind a rate limit."""

import hashlib
import time
from typing import Any

from aiohttp import web

from standins._base import StandIn, answer_json, main

__all__ = ["WeightStoreStandIn"]


class WeightStoreStandIn(StandIn):
    """Weights by name; the content depends only on the name.

    Parameters
    ----------
    rate : float
        Requests per second; requests above the rate are refused with 429.
    size : int
        Bytes of each blob.
    """

    def __init__(
        self, *, rate: float = 2.0, size: int = 65_536, **options: Any
    ) -> None:
        super().__init__(**options)
        self.rate = rate
        self.size = size
        self.refused = 0
        self._tokens = max(1.0, rate)
        self._refilled_at = time.monotonic()

    def add_routes(self, app: web.Application) -> None:
        """Add the route of the blobs."""
        app.router.add_get("/v1/weights/{name:.+}", self._get)

    async def _get(self, request: web.Request) -> web.Response:
        now = time.monotonic()
        refilled = (now - self._refilled_at) * self.rate
        self._tokens, self._refilled_at = (
            min(max(1.0, self.rate), self._tokens + refilled),
            now,
        )
        if self._tokens < 1.0:
            self.refused += 1
            wait = (1.0 - self._tokens) / self.rate
            response = answer_json({"error": {"code": "rate_limited"}}, status=429)
            response.headers["Retry-After"] = str(max(1, round(wait)))
            return response
        self._tokens -= 1.0
        seed = hashlib.sha256(request.match_info["name"].encode()).digest()
        blob = (seed * (self.size // len(seed) + 1))[: self.size]
        return web.Response(body=blob, content_type="application/octet-stream")


if __name__ == "__main__":
    main(
        WeightStoreStandIn,
        rate=(float, 2.0, "requests per second"),
        size=(int, 65_536, "bytes of each blob"),
    )
