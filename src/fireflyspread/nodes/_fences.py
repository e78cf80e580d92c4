"""Change of the half that owns a target which ignores fencing numbers."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable, Iterator

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, StaleFenceError
from fireflyspread.nodes._messages import ConfirmFence, FenceConfirmed, Message
from fireflyspread.nodes._peers import PeerClient, PeerServer
from fireflyspread.recovery import Member

__all__ = ["FenceGuard"]

# Seconds between questions to a member that has not confirmed.
_ASK_INTERVAL = 0.1

# Seconds for one question.
_ASK_TIMEOUT = 0.5


class FenceGuard:
    """Counts the actions on each target and knows when old ones have ended.

    A target that ignores fencing numbers would execute an action of the old owner
    half after one of the new half. A node therefore acts under the new owner only
    when every member has the version in force and has no older action in flight.

    Parameters
    ----------
    node : str
        This node.
    get_incarnation : callable
        Returns the present incarnation of this node.
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
        self._clear: dict[str, int] = {}

    def register(self, server: PeerServer) -> None:
        """Answer ``ConfirmFence`` of other nodes."""
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
        """Count an action for the duration of a block; raises as ``begin`` does."""
        self.begin(target, version)
        try:
            yield
        finally:
            self.end(target, version)

    def confirm(self, target: str, version: int) -> int:
        """Promise to act on ``target`` only under ``version`` or a newer one.

        Returns
        -------
        int
            Actions under older versions that are still in flight.
        """
        # A node that does not have the version yet learns it by the question: it
        # refuses older actions from now on.
        self._confirmed[target] = max(version, self._confirmed.get(target, 0))
        versions = self._in_flight.get(target, {})
        return sum(count for v, count in versions.items() if v < version)

    async def wait_clear(
        self,
        target: str,
        version: int,
        members: Callable[[], Iterable[Member]],
        *,
        timeout: float,
    ) -> None:
        """Return when no member can act on ``target`` under an older version.

        Parameters
        ----------
        version : int
            Fencing number of the target.
        members : callable
            Returns the present members; one that was removed is not waited for.
        timeout : float
            Seconds to wait at most.

        Raises
        ------
        StaleFenceError
            A member has not confirmed in time; nothing was dispatched.
        """
        if self._clear.get(target, 0) >= version:
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
                for m, clear in zip(pending, answers, strict=True)
                if clear
            )
            # The members may have changed while they were asked.
            open_names = [m.name for m in members() if m.incarnation not in confirmed]
            if not open_names:
                self._clear[target] = max(version, self._clear.get(target, 0))
                return
            if self._clock.read_monotonic() >= deadline:
                raise StaleFenceError(
                    f"{', '.join(open_names)} may still act on target {target} for "
                    "its old owner; repeat the request",
                    retry_after=1.0,
                )
            await self._sleep(_ASK_INTERVAL)

    async def _ask(self, member: Member, target: str, version: int) -> bool:
        if member.incarnation == self._get_incarnation():
            return self.confirm(target, version) == 0
        question = ConfirmFence(
            node=self._node,
            incarnation=self._get_incarnation(),
            target=target,
            bundle_version=version,
        )
        try:
            answer = await self._client.ask(
                member.peers, question, timeout=_ASK_TIMEOUT
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
