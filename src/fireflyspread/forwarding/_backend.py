"""Interface of the client that sends requests to replicas."""

import abc
import asyncio
import enum
from collections.abc import AsyncIterator, Sequence

from attrs import frozen

from fireflyspread.bundle import Replica
from fireflyspread.forwarding._request import ForwardRequest
from fireflyspread.routing import LoadReport

__all__ = ["Backend", "Dispatch", "Framing", "Reply"]


class Framing(enum.StrEnum):
    """How the end of an answer's body is marked."""

    LENGTH = "length"
    CHUNKS = "chunks"
    # Only the end of the connection marks the end of the body.
    CONNECTION = "connection"


@frozen(kw_only=True)
class Dispatch:
    """Options with which a request is sent to a replica.

    Attributes
    ----------
    remaining : float
        Seconds until the deadline, after which the replica stops the request.
    priority : int or None
        0 is the most urgent; None leaves the choice to the replica.
    team : str or None
        Team that the request runs for.
    last_event_id : str or None
        Id of the event after which the replica resumes a stream.
    is_repeatable : bool
        Whether the request may run again when its connection breaks.
    relay_zones : frozenset of str or None
        Zones of the nodes that may relay the request; None allows all.
    """

    remaining: float
    priority: int | None
    team: str | None
    last_event_id: str | None
    is_repeatable: bool
    relay_zones: frozenset[str] | None = None


class Reply(abc.ABC):
    """Response of a replica whose status and headers have arrived.

    Attributes
    ----------
    is_refusal : bool
        Whether the replica states that it did not run the request.
    is_wrong_instance : bool
        Whether the address now belongs to another replica.
    load : LoadReport or None
        Load that the replica reported with this response.
    rate_limit : float or None
        Requests per second that the replica takes from all nodes together.
    framing : Framing
        How the end of the body is marked.
    is_leaving : bool
        Whether the replica states that it takes no new requests soon.
    cold_remaining : float or None
        Seconds for which the replica stays cold; None if it does not say.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    is_refusal: bool
    is_wrong_instance: bool
    load: LoadReport | None
    rate_limit: float | None
    framing: Framing
    is_leaving: bool = False
    cold_remaining: float | None = None

    @abc.abstractmethod
    def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        ReplicaCrashedError
            The connection broke before the end.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Reuse the connection if the body was read completely, else close it."""


class Backend(abc.ABC):
    """Client of the replicas."""

    @abc.abstractmethod
    async def send(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> Reply:
        """Send a request and return the response once its headers have arrived.

        Raises
        ------
        TargetUnreachableError
            No connection was made, so nothing was sent.
        ReplicaCrashedError
            The connection broke after the request was sent.
        TargetError
            The response belongs to another request.
        """

    @abc.abstractmethod
    async def accepts_connection(self, replica: Replica) -> bool:
        """Return whether the replica listens, so that a broken connection is no crash.

        Opens a connection and closes it without a request.
        """

    async def wait_disconnected(self, replica: Replica, *, timeout: float) -> bool:
        """Wait until a connection to the replica ends, or cannot be made.

        Idle connections end for other reasons too, so this is a hint.

        Parameters
        ----------
        timeout : float
            Seconds.

        Returns
        -------
        bool
            False if no connection has ended in time.
        """
        await asyncio.sleep(timeout)
        return False

    def is_path_broken(self, replica: Replica) -> bool:
        """Return whether only other nodes reach the replica."""
        return False
