"""Keeps two halves from acting on one target at the same time.

A target that checks fencing numbers refuses calls of the former owner by itself. For
one that does not, a node acts under the new owner only once no node acts under the
former one any more.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from fireflyspread.bundle import ActiveBundle
from fireflyspread.clock import Clock
from fireflyspread.exceptions import NoAuthorityError, PeerError
from fireflyspread.nodes._messages import ConfirmFence, FenceConfirmed
from fireflyspread.nodes._peers import PeerClient
from fireflyspread.recovery import Member

__all__ = ["FenceGuard"]

_ASK_TIMEOUT = 1.0
_ASK_INTERVAL = 0.1


class FenceGuard:
    """Counts own actions on targets and asks the other nodes for theirs.

    Parameters
    ----------
    get_bundle : callable
        Returns the bundle in force.
    get_members : callable
        Returns all members.
    """

    def __init__(
        self,
        client: PeerClient,
        *,
        own: str,
        get_bundle: Callable[[], ActiveBundle],
        get_members: Callable[[], tuple[Member, ...]],
        clock: Clock,
    ) -> None:
        self._client = client
        self._own = own
        self._get_bundle = get_bundle
        self._get_members = get_members
        self._clock = clock
        self._running: Counter[tuple[str, int]] = Counter()
        self._clear: set[tuple[str, int]] = set()

    @contextmanager
    def act(self, target: str, fence: int) -> Iterator[None]:
        """Count one action on a target under a fencing number."""
        key = (target, fence)
        self._running[key] += 1
        try:
            yield
        finally:
            self._running[key] -= 1
            if not self._running[key]:
                del self._running[key]

    def confirm(self, message: ConfirmFence) -> FenceConfirmed:
        """Answer another node about the actions under older fencing numbers."""
        active = self._get_bundle()
        older = sum(
            count
            for (target, fence), count in self._running.items()
            if target == message.target and fence < message.bundle_version
        )
        return FenceConfirmed(bundle_version=active.version, in_flight=older)

    async def wait_clear(self, target: str, fence: int, *, timeout: float) -> None:
        """Return once no member acts on ``target`` under an older number.

        Parameters
        ----------
        fence : int
            Fencing number of the target: the version that last changed its owner.
        timeout : float
            Seconds to wait at most.

        Raises
        ------
        NoAuthorityError
            A member has not confirmed in time; nothing was dispatched.
        """
        key = (target, fence)
        if key in self._clear:
            return
        deadline = self._clock.read_monotonic() + timeout
        while not await self._ask_all(target, fence):
            if self._clock.read_monotonic() >= deadline:
                raise NoAuthorityError(
                    f"target {target} is changing its owner and not all nodes have "
                    "confirmed yet; send the request again"
                )
            await asyncio.sleep(_ASK_INTERVAL)
        # Older numbers never come back, because no node goes to a lower version.
        self._clear.add(key)

    async def _ask_all(self, target: str, fence: int) -> bool:
        message = ConfirmFence(target=target, bundle_version=fence)
        if self.confirm(message).in_flight:
            return False
        others = [m for m in self._get_members() if m.name != self._own]
        answers = await asyncio.gather(*(self._ask(m, message) for m in others))
        return all(answers)

    async def _ask(self, member: Member, message: ConfirmFence) -> bool:
        try:
            answer = await self._client.ask(member.peers, message, timeout=_ASK_TIMEOUT)
        except PeerError:
            return False
        return (
            isinstance(answer, FenceConfirmed)
            and answer.bundle_version >= message.bundle_version
            and answer.in_flight == 0
        )
