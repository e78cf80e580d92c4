"""Messages between processes about kept turns."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from fireflyspread._ranking import rank_nodes
from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError
from fireflyspread.gateway._turn_delegates import NodeTurnDelegates
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
from fireflyspread.turns import (
    DiskAnswer,
    Turn,
    TurnDisks,
    TurnKeeper,
    TurnMemory,
    TurnPeers,
    TurnWriter,
)

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
# Seconds for another node to write a turn, or to look in the store and on the disks.
_HELP_TIMEOUT = 0.6
# Nodes asked at once for that.
_HELPERS = 2
# Seconds for a loan server to move its turns to the store.
_FLUSH_TIMEOUT = 2.0
# Seconds for which turns are kept at most, for disks that were emptied.
_MAX_RETENTION = 600.0
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
        names = rank_nodes(self._roster.list_names(), turn_id)[:_COPIES]
        return [name for name in names if name != self._node]

    def _list_allowed(self, names: Sequence[str], turn: Turn) -> list[str]:
        """Return the nodes that may hold a turn."""
        if turn.zones is None:
            return list(names)
        zones = {peer.name: peer.zone for peer in self._roster.list_peers()}
        return [name for name in names if turn.may_be_in(zones.get(name, ""))]

    def share(self, turn: Turn) -> None:
        if turn.size > _MAX_MESSAGE_BYTES:
            return
        for name in self._list_allowed(self._choose_nodes(turn.id), turn):
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

    async def _ask(
        self, name: str, message: Message, *, timeout: float = _MESSAGE_TIMEOUT
    ) -> Message:
        address = self._roster.get_peer_address(name)
        return await self._client.ask(address, message, timeout=timeout)

    def _choose_helpers(
        self, turn_id: str, attempt: int, turn: Turn | None = None
    ) -> list[str]:
        names = [
            n for n in rank_nodes(self._roster.list_names(), turn_id) if n != self._node
        ]
        if turn is not None:
            names = self._list_allowed(names, turn)
        if not names:
            return []
        first = _HELPERS * attempt % len(names)
        return (names[first:] + names[:first])[:_HELPERS]

    async def write(self, turn: Turn, *, attempt: int) -> None:
        message = KeepTurns(node=self._node, turns=(turn,), is_durable=True)
        names = self._choose_helpers(turn.id, attempt, turn)
        asked = [
            asyncio.ensure_future(self._ask(name, message, timeout=_HELP_TIMEOUT))
            for name in names
        ]
        try:
            for answer in asyncio.as_completed(asked):
                with contextlib.suppress(PeerError):
                    await answer
                    return
        finally:
            for task in asked:
                task.cancel()
        raise PeerError(f"nodes {', '.join(names)} did not write the turn; ask others")

    async def find(self, turn_id: str) -> Turn | None:
        message = FindTurn(node=self._node, turn=turn_id)
        names = self._choose_nodes(turn_id)
        return await self._find_first(names, message, _MESSAGE_TIMEOUT)

    async def search(self, turn_id: str) -> Turn | None:
        message = FindTurn(node=self._node, turn=turn_id, is_search=True)
        names = self._choose_helpers(turn_id, 0)
        return await self._find_first(names, message, _HELP_TIMEOUT)

    async def _find_first(
        self, names: Sequence[str], message: FindTurn, timeout: float
    ) -> Turn | None:
        asked = [
            asyncio.ensure_future(self._find_at(name, message, timeout))
            for name in names
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

    async def _find_at(
        self, name: str, message: FindTurn, timeout: float
    ) -> Turn | None:
        try:
            answer = await self._ask(name, message, timeout=timeout)
        except PeerError as exc:
            _LOG.info(
                "a node did not answer for a turn: %s",
                exc.message,
                extra={"node": name, "turn": message.turn},
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
        if turn.zones is not None:
            raise PeerError(
                f"turn {turn.id} may be kept in some zones only, and those of loan "
                "servers are not known; it waits for the store"
            )
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
        complete = sum(self._is_complete(answer) for answer in found)
        # Each turn is on at least ``_MIN_DISKS`` disks.
        return DiskAnswer(None, len(servers) - complete < _MIN_DISKS)

    def _is_complete(self, answer: TurnFound) -> bool:
        """Return whether the disk has lost no turn that could still be continued."""
        return answer.complete_since < self._clock.read_wall() - _MAX_RETENTION

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

    async def flush(self, address: str) -> None:
        """Have a loan server move its turns to the store before it is removed.

        Raises
        ------
        PeerError
            The server did not answer or could not write to the store.
        """
        message = FlushTurns(node=self._node)
        await self._client.ask(address, message, timeout=_FLUSH_TIMEOUT)

    async def close(self) -> None:
        """Cancel the messages that have not been sent."""
        await self._background.close()


def register_turn_handlers(
    server: PeerServer,
    memory: TurnMemory,
    writer: TurnWriter,
    keeper: TurnKeeper,
    delegates: NodeTurnDelegates,
    *,
    node: str,
) -> None:
    """Handle other nodes' messages about turns."""

    async def keep(message: KeepTurns) -> Message:
        if message.is_delegated:
            await delegates.write_for_others(message.turns, writer)
            return TurnsKept(node=node)
        if message.is_durable:
            await asyncio.gather(
                *(writer.write(turn, may_ask_peers=False) for turn in message.turns)
            )
        for turn in message.turns:
            memory.add(turn)
        return TurnsKept(node=node)

    async def find(message: FindTurn) -> Message:
        turn = memory.get(message.turn)
        if turn is None and message.is_search:
            turn = await keeper.search(message.turn)
        return TurnFound(node=node, turn=turn)

    server.register(KeepTurns, keep)
    server.register(FindTurn, find)
