"""Handlers for plain services outside of programs."""

from aiohttp import web

from fireflyspread.callers._calls import Call, ServiceCaller, find_service
from fireflyspread.callers._context import Context
from fireflyspread.callers._deadlines import read_deadline
from fireflyspread.callers._identity import Identity

__all__ = ["ServiceHandlers"]


class ServiceHandlers:
    """Handlers that run at the owner of the call's intent, or anywhere."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._services = ServiceCaller(context)

    async def call(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Call a service; ``POST /v1/services/{route}``."""
        active = self._context.bundles.get_active()
        route, target = find_service(active, request.match_info["route"])
        call = Call(
            route=route,
            target=target,
            identity=identity,
            content_type=request.headers.get(
                "Content-Type", "application/octet-stream"
            ),
            body=body,
            deadline=read_deadline(request, self._context.clock, route.timeout),
            idempotency_key=request.headers.get("Idempotency-Key"),
        )
        answer = await self._services.call(call)
        response = web.Response(body=answer.body, status=answer.status)
        response.headers["Content-Type"] = answer.content_type
        return response
