"""Clients of replicas, one for each base URL."""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

__all__ = ["ReplicaPool"]


class _Closable(Protocol):
    async def close(self) -> None: ...


T = TypeVar("T", bound=_Closable)


class ReplicaPool(Generic[T]):
    """Creates a client on first use and keeps it until ``close``.

    Parameters
    ----------
    create : callable
        Makes the client of a base URL.
    session : optional
        Closed after all clients, when no other pool uses it.
    """

    def __init__(
        self, create: Callable[[str], T], *, session: _Closable | None = None
    ) -> None:
        self._create = create
        self._session = session
        self._clients: dict[str, T] = {}

    def get(self, url: str) -> T:
        """Return the client of the replica at ``url``."""
        client = self._clients.get(url)
        if client is None:
            client = self._clients[url] = self._create(url)
        return client

    async def close(self) -> None:
        """Close all clients."""
        clients, self._clients = self._clients, {}
        for client in clients.values():
            await client.close()
        if self._session is not None:
            await self._session.close()
