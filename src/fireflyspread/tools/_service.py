"""Interface of a service replica."""

import abc

from attrs import frozen

__all__ = ["Service", "ServiceAnswer", "ServiceRequest"]


@frozen(kw_only=True)
class ServiceRequest:
    """One call.

    Attributes
    ----------
    timeout : float
        Seconds until the whole answer must have arrived.
    fence : int
        Fencing number of the target.
    """

    request_id: str
    path: str
    content_type: str
    body: bytes
    timeout: float
    idempotency_key: str | None = None
    fence: int = 0


@frozen(kw_only=True)
class ServiceAnswer:
    """Complete answer to a call."""

    status: int
    content_type: str
    body: bytes


class Service(abc.ABC):
    """Client of one service replica."""

    @abc.abstractmethod
    async def call(self, request: ServiceRequest) -> ServiceAnswer:
        """Make one call.

        Raises
        ------
        TargetUnreachableError
            No connection was made, so the call did not run.
        TargetError
            The call may have run.
        StaleFenceError
            The target refused the fencing number; the call did not run.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
