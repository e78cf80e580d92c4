"""Keeps requests and probes from replicas that must not get any."""

import asyncio
from collections.abc import Callable

from fireflyspread.bundle import Replica
from fireflyspread.exceptions import Outcome, TargetError
from fireflyspread.forwarding._backend import Backend, Dispatch, Reply
from fireflyspread.forwarding._request import ForwardRequest

__all__ = ["GuardedBackend"]


class GuardedBackend(Backend):
    """Refuses sends to excluded replicas at the last moment, and opens no probes there.

    Requests may be placed, or may wait for a permit or another node, when a replica
    becomes excluded.

    Parameters
    ----------
    direct : Backend
        Client of the replicas.
    find_exclusion : callable
        Returns why a replica gets no new requests; empty if it does.
    is_evacuated : callable
        Returns whether a replica may not even be probed.
    on_cold : callable or None
        Called with a replica and the seconds for which it says that it stays cold.
    """

    def __init__(
        self,
        direct: Backend,
        *,
        find_exclusion: Callable[[Replica], str],
        is_evacuated: Callable[[Replica], bool],
        on_cold: Callable[[Replica, float], None] | None = None,
    ) -> None:
        self._direct = direct
        self._find_exclusion = find_exclusion
        self._is_evacuated = is_evacuated
        self._on_cold = on_cold

    async def send(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> Reply:
        reason = self._find_exclusion(replica)
        if reason:
            raise TargetError(
                f"replica {replica.name} {reason}; try another",
                outcome=Outcome.NOT_RUN,
            )
        reply = await self._direct.send(request, replica, dispatch)
        if reply.cold_remaining is not None and self._on_cold is not None:
            self._on_cold(replica, reply.cold_remaining)
        return reply

    async def accepts_connection(self, replica: Replica) -> bool:
        # A connection that broke in an evacuated zone is not counted as a crash.
        return self._is_evacuated(replica) or await self._direct.accepts_connection(
            replica
        )

    async def wait_disconnected(self, replica: Replica, *, timeout: float) -> bool:
        if self._is_evacuated(replica):
            await asyncio.sleep(timeout)
            return False
        return await self._direct.wait_disconnected(replica, timeout=timeout)

    def is_path_broken(self, replica: Replica) -> bool:
        return self._direct.is_path_broken(replica)
