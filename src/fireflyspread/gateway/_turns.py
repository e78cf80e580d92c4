"""Messages between processes about kept turns."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

import xxhash

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError
from fireflyspread.nodes import (
    FindTurn,
    FlushTurns,
    ForgetTurns,
    KeepTurns,
    Message,
    PeerClient,
    PeerServer,
    TurnFound,
    TurnsKept,
)
from fireflyspread.recovery import Roster
from fireflyspread.turns import DiskAnswer, Turn, TurnDisks, TurnMemory, TurnPeers

__all__ = ["LoanServerDisks", "NodeTurnPeers", "register_turn_handlers"]

_LOG = logging.getLogger(__name__)

# Nodes that remember a turn beside the one that served it.
_COPIES = 2
# Seconds for which turns are collected into one message to a node.
_SHARE_DELAY = 0.02
# Bytes of the turns in one message; pynng accepts messages of up to 1 MB.
_MAX_MESSAGE_BYTES = 640 * 1024
# Seconds for one message between nodes, and for one with a write to a disk, which
# takes up to 60 ms on a slow disk.
_MESSAGE_TIMEOUT = 0.1
_DISK_TIMEOUT = 0.3
# Seconds for a loan server to move its turns to the store.
_FLUSH_TIMEOUT = 2.0
# Fewest loan servers that must hold a turn, whatever others have been lost.
_MIN_DISKS = 2


class _Background:
    """Tasks that nobody waits for."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class NodeTurnPeers(TurnPeers):
    """Shares turns with a few nodes, chosen by the turn's id."""

    def __init__(self, client: PeerClient, roster: Roster, *, node: str) -> None:
        self._client = client
        self._roster = roster
        self._node = node
        self._pending: dict[str, list[Turn]] = {}
        self._background = _Background()

    def _choose_nodes(self, turn_id: str) -> list[str]:
        names = _rank(self._roster.list_names(), turn_id)[:_COPIES]
        return [name for name in names if name != self._node]

    def share(self, turn: Turn) -> None:
        if turn.size > _MAX_MESSAGE_BYTES:
            return
        for name in self._choose_nodes(turn.id):
            if name not in self._pending:
                self._pending[name] = []
                self._background.start(self._send_pending(name))
            self._pending[name].append(turn)

    async def _send_pending(self, name: str) -> None:
        await asyncio.sleep(_SHARE_DELAY)
        turns = self._pending.pop(name)
        batch: list[Turn] = []
        size = 0
        for turn in turns:
            if batch and size + turn.size > _MAX_MESSAGE_BYTES:
                await self._send(name, batch)
                batch, size = [], 0
            batch.append(turn)
            size += turn.size
        await self._send(name, batch)

    async def _send(self, name: str, turns: Sequence[Turn]) -> None:
        try:
            message = KeepTurns(node=self._node, turns=tuple(turns))
            await self._ask(name, message)
        except PeerError as exc:
            _LOG.info(
                "turns not shared with a node: %s",
                exc.message,
                extra={"node": name, "count": len(turns)},
            )

    async def _ask(self, name: str, message: Message) -> Message:
        member = self._roster.find(name)
        if member is None:
            raise PeerError(f"{name} is not a member; ask another node")
        return await self._client.ask(member.peers, message, timeout=_MESSAGE_TIMEOUT)

    async def find(self, turn_id: str) -> Turn | None:
        asked = [
            asyncio.ensure_future(self._find_at(name, turn_id))
            for name in self._choose_nodes(turn_id)
        ]
        try:
            for answer in asyncio.as_completed(asked):
                turn = await answer
                if turn is not None:
                    return turn
            return None
        finally:
            for task in asked:
                task.cancel()

    async def _find_at(self, name: str, turn_id: str) -> Turn | None:
        try:
            answer = await self._ask(name, FindTurn(node=self._node, turn=turn_id))
        except PeerError as exc:
            _LOG.info(
                "a node did not answer for a turn: %s",
                exc.message,
                extra={"node": name, "turn": turn_id},
            )
            return None
        return answer.turn if isinstance(answer, TurnFound) else None

    async def close(self) -> None:
        """Cancel the messages that have not been sent."""
        await self._background.close()


class LoanServerDisks(TurnDisks):
    """Disks of the loan servers.

    Parameters
    ----------
    max_losses : int
        Disks that may be lost at the same time.
    """

    def __init__(
        self,
        client: PeerClient,
        list_servers: Callable[[], dict[str, str]],
        clock: Clock,
        *,
        node: str,
        max_losses: int,
    ) -> None:
        self._client = client
        self._list_servers = list_servers
        self._clock = clock
        self._node = node
        self._max_losses = max_losses
        self._background = _Background()

    async def write(self, turn: Turn) -> None:
        servers = self._list_servers()
        if len(servers) < _MIN_DISKS:
            raise PeerError(
                f"{len(servers)} loan servers are known, {_MIN_DISKS} are needed; "
                "start more"
            )
        message = KeepTurns(node=self._node, turns=(turn,))
        asked = [
            asyncio.ensure_future(
                self._client.ask(address, message, timeout=_DISK_TIMEOUT)
            )
            for address in servers.values()
        ]
        needed = self._max_losses + 1
        written = 0
        try:
            for answer in asyncio.as_completed(asked):
                try:
                    await answer
                    written += 1
                except PeerError:
                    # A server that does not answer is one of the losses.
                    needed -= 1
                if written >= max(needed, _MIN_DISKS):
                    return
        finally:
            for task in asked:
                task.cancel()
        raise PeerError(
            f"{written} of {len(servers)} loan servers hold the turn; check the others"
        )

    async def find(self, turn_id: str) -> DiskAnswer:
        servers = self._list_servers()
        message = FindTurn(node=self._node, turn=turn_id)
        answers = await asyncio.gather(
            *(
                self._client.ask(address, message, timeout=_MESSAGE_TIMEOUT)
                for address in servers.values()
            ),
            return_exceptions=True,
        )
        found = [answer for answer in answers if isinstance(answer, TurnFound)]
        for answer in found:
            if answer.turn is not None:
                return DiskAnswer(answer.turn, True)
        # A disk without losses since the start of the system has all its turns.
        is_certain = len(found) == len(servers) and all(
            answer.complete_since == 0.0 for answer in found
        )
        return DiskAnswer(None, is_certain)

    def forget(self, turn_ids: Sequence[str]) -> None:
        message = ForgetTurns(node=self._node, turns=tuple(turn_ids))
        for name, address in self._list_servers().items():
            self._background.start(self._forget_at(name, address, message))

    async def _forget_at(self, name: str, address: str, message: ForgetTurns) -> None:
        try:
            await self._client.ask(address, message, timeout=_DISK_TIMEOUT)
        except PeerError as exc:
            _LOG.info(
                "loan server not told of stored turns: %s",
                exc.message,
                extra={"node": name, "count": len(message.turns)},
            )

    async def flush(self, name: str) -> None:
        """Have a loan server move its turns to the store before it is removed.

        Raises
        ------
        PeerError
            The server did not answer or could not write to the store.
        """
        address = self._list_servers().get(name)
        if address is not None:
            message = FlushTurns(node=self._node)
            await self._client.ask(address, message, timeout=_FLUSH_TIMEOUT)

    async def close(self) -> None:
        """Cancel the messages that have not been sent."""
        await self._background.close()


def _rank(names: Iterable[str], turn_id: str) -> list[str]:
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{name}/{turn_id}".encode())
    )


def register_turn_handlers(
    server: PeerServer, memory: TurnMemory, *, node: str
) -> None:
    """Handle other nodes' messages about the turns that this node remembers."""

    async def keep(message: KeepTurns) -> Message:
        for turn in message.turns:
            memory.add(turn)
        return TurnsKept(node=node)

    async def find(message: FindTurn) -> Message:
        return TurnFound(node=node, turn=memory.get(message.turn))

    server.register(KeepTurns, keep)
    server.register(FindTurn, find)
