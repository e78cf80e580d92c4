"""Clients of replicas, one for each name, base URL and VM."""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from fireflyspread.bundle import Replica

__all__ = ["ReplicaPool"]


class _Closable(Protocol):
    async def close(self) -> None: ...


T = TypeVar("T", bound=_Closable)


class ReplicaPool(Generic[T]):
    """Creates the client of a replica on first use and keeps it until ``close``.

    Parameters
    ----------
    create : callable
        Returns a new client of a replica.
    session : optional
        HTTP session that is closed after the clients. Only one of the pools that
        share a session may close it.
    """

    def __init__(
        self, create: Callable[[Replica], T], *, session: _Closable | None = None
    ) -> None:
        self._create = create
        self._session = session
        self._clients: dict[tuple[str, str, str], T] = {}

    def get(self, replica: Replica) -> T:
        """Return the client of a replica."""
        key = (replica.name, replica.url, replica.vm)
        client = self._clients.get(key)
        if client is None:
            client = self._clients[key] = self._create(replica)
        return client

    async def close(self) -> None:
        """Close all clients, then the session."""
        clients, self._clients = self._clients, {}
        for client in clients.values():
            await client.close()
        if self._session is not None:
            await self._session.close()
