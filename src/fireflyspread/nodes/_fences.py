"""Handover of a target that ignores fencing numbers to another owner half."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable, Iterator

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, StaleFenceError
from fireflyspread.nodes._messages import ConfirmFence, FenceConfirmed, Message
from fireflyspread.nodes._peers import PeerClient, PeerServer
from fireflyspread.recovery import Member

__all__ = ["FenceGuard"]

# Seconds between two requests to a member that has not confirmed.
_CONFIRM_INTERVAL = 0.1

# Seconds to wait for one confirmation.
_CONFIRM_TIMEOUT = 0.5


class FenceGuard:
    """Counts the actions in flight on each target, by bundle version.

    A target that ignores fencing numbers would execute an action of the old owner
    half after one of the new half. A node therefore acts under the new owner only
    when every member has the new version in force and no older action in flight.

    Parameters
    ----------
    node : str
        Name of this node.
    get_incarnation : callable
        Returns the current incarnation of this node.
    get_version : callable
        Returns the bundle version in force on this node.
    sleep : callable
        Waits for a number of seconds.
    """

    def __init__(
        self,
        client: PeerClient,
        *,
        node: str,
        get_incarnation: Callable[[], str],
        get_version: Callable[[], int],
        clock: Clock,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._client = client
        self._node = node
        self._get_incarnation = get_incarnation
        self._get_version = get_version
        self._clock = clock
        self._sleep = sleep
        self._in_flight: dict[str, dict[int, int]] = {}
        # The highest version that this node has confirmed for each target.
        self._confirmed: dict[str, int] = {}
        self._drained_versions: dict[str, int] = {}

    def register(self, server: PeerServer) -> None:
        """Answer the ``ConfirmFence`` requests of other nodes."""
        server.register(ConfirmFence, self._answer)

    def begin(self, target: str, version: int) -> None:
        """Count an action on ``target`` that starts under a bundle version.

        Raises
        ------
        StaleFenceError
            This node has confirmed that it acts only under a newer version.
        """
        confirmed = self._confirmed.get(target, 0)
        if version < confirmed:
            raise StaleFenceError(
                f"target {target} changed its owner in version {confirmed}; repeat "
                "the request under that version"
            )
        versions = self._in_flight.setdefault(target, {})
        versions[version] = versions.get(version, 0) + 1

    def end(self, target: str, version: int) -> None:
        """Stop counting an action that ``begin`` counted."""
        versions = self._in_flight[target]
        versions[version] -= 1
        if not versions[version]:
            del versions[version]
        if not versions:
            del self._in_flight[target]

    @contextlib.contextmanager
    def act(self, target: str, version: int) -> Iterator[None]:
        """Count an action while the block runs; raises the errors of ``begin``."""
        self.begin(target, version)
        try:
            yield
        finally:
            self.end(target, version)

    def confirm(self, target: str, version: int) -> int:
        """Refuse new actions on ``target`` under versions older than ``version``.

        Returns
        -------
        int
            Actions under older versions that are still in flight.
        """
        # The node refuses older actions from now on, even if it has not received
        # ``version`` itself yet.
        self._confirmed[target] = max(version, self._confirmed.get(target, 0))
        versions = self._in_flight.get(target, {})
        return sum(count for v, count in versions.items() if v < version)

    async def wait_until_drained(
        self,
        target: str,
        version: int,
        members: Callable[[], Iterable[Member]],
        *,
        timeout: float,
    ) -> None:
        """Wait until no member can act on ``target`` under an older version.

        Parameters
        ----------
        version : int
            Fencing number of the target.
        members : callable
            Returns the current members; removed members are not waited for.
        timeout : float
            Maximum wait in seconds.

        Raises
        ------
        StaleFenceError
            A member did not confirm within ``timeout``; nothing was dispatched.
        """
        if self._drained_versions.get(target, 0) >= version:
            return
        deadline = self._clock.read_monotonic() + timeout
        confirmed: set[str] = set()
        while True:
            pending = [m for m in members() if m.incarnation not in confirmed]
            answers = await asyncio.gather(
                *(self._ask(member, target, version) for member in pending)
            )
            confirmed.update(
                m.incarnation
                for m, is_drained in zip(pending, answers, strict=True)
                if is_drained
            )
            # The members may have changed during the requests.
            unconfirmed = [m.name for m in members() if m.incarnation not in confirmed]
            if not unconfirmed:
                self._drained_versions[target] = max(
                    version, self._drained_versions.get(target, 0)
                )
                return
            if self._clock.read_monotonic() >= deadline:
                raise StaleFenceError(
                    f"{', '.join(unconfirmed)} may still act on target {target} for "
                    "its old owner; repeat the request",
                    retry_after=1.0,
                )
            await self._sleep(_CONFIRM_INTERVAL)

    async def _ask(self, member: Member, target: str, version: int) -> bool:
        if member.incarnation == self._get_incarnation():
            return self.confirm(target, version) == 0
        request = ConfirmFence(
            node=self._node,
            incarnation=self._get_incarnation(),
            target=target,
            bundle_version=version,
        )
        try:
            answer = await self._client.ask(
                member.peers, request, timeout=_CONFIRM_TIMEOUT
            )
        except PeerError:
            return False
        return (
            isinstance(answer, FenceConfirmed)
            and answer.incarnation == member.incarnation
            and answer.bundle_version >= version
            and answer.in_flight == 0
        )

    async def _answer(self, message: ConfirmFence) -> Message:
        in_flight = self.confirm(message.target, message.bundle_version)
        return FenceConfirmed(
            node=self._node,
            incarnation=self._get_incarnation(),
            bundle_version=self._get_version(),
            in_flight=in_flight,
        )
