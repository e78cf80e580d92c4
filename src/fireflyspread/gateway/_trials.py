"""Messages between gateway nodes about requests on trial."""

from fireflyspread.exceptions import PeerError
from fireflyspread.nodes import (
    BeginTrial,
    EndTrial,
    Message,
    PeerClient,
    PeerServer,
    TrialBegun,
    TrialEnded,
)
from fireflyspread.recovery import Roster
from fireflyspread.routing import TrialPeers, TrialTable

__all__ = ["NodeTrialPeers", "register_trial_handlers"]

# Seconds for one message; the latency between nodes is a few milliseconds.
_MESSAGE_TIMEOUT = 0.15


class NodeTrialPeers(TrialPeers):
    """Sends messages about trials to other nodes."""

    def __init__(self, client: PeerClient, roster: Roster, *, node: str) -> None:
        self._client = client
        self._roster = roster
        self._node = node

    async def _ask(self, node: str, message: Message) -> Message:
        address = self._roster.get_peer_address(node)
        return await self._client.ask(address, message, timeout=_MESSAGE_TIMEOUT)

    async def begin(
        self, node: str, fingerprint: str, request: str, *, seconds: float
    ) -> bool:
        answer = await self._ask(
            node,
            BeginTrial(
                node=self._node,
                fingerprint=fingerprint,
                request=request,
                seconds=seconds,
            ),
        )
        if not isinstance(answer, TrialBegun):
            raise PeerError(f"{node} answered {type(answer).__name__}")
        return answer.granted

    async def end(
        self, node: str, fingerprint: str, request: str, *, is_answered: bool
    ) -> None:
        await self._ask(
            node,
            EndTrial(
                node=self._node,
                fingerprint=fingerprint,
                request=request,
                answered=is_answered,
            ),
        )


def register_trial_handlers(
    server: PeerServer, table: TrialTable, *, node: str
) -> None:
    """Handle other nodes' messages about trials."""

    async def begin(message: BeginTrial) -> Message:
        is_granted = table.begin(
            message.fingerprint, message.request, seconds=message.seconds
        )
        return TrialBegun(node=node, granted=is_granted)

    async def end(message: EndTrial) -> Message:
        table.end(message.fingerprint, message.request, is_answered=message.answered)
        return TrialEnded(node=node)

    server.register(BeginTrial, begin)
    server.register(EndTrial, end)
