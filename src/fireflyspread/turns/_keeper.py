"""Keeps turns, and finds the chains that callers continue from."""

import asyncio
import logging

from attrs import frozen

from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    PayloadTooLargeError,
    StoreError,
    StreamVersionError,
    TurnNotFoundError,
    TurnUncertainError,
)
from fireflyspread.metrics import Metrics
from fireflyspread.turns._interfaces import DiskAnswer, TurnDisks, TurnPeers
from fireflyspread.turns._memory import TurnMemory
from fireflyspread.turns._recorder import TurnRecorder, make_partial_id
from fireflyspread.turns._store import TurnStore
from fireflyspread.turns._turn import Turn
from fireflyspread.turns._writer import TurnWriter

__all__ = ["TurnKeeper", "TurnLimits"]

_LOG = logging.getLogger(__name__)

# Seconds that the store has before the disks are asked too, and until the search ends.
_STORE_PATIENCE = 0.05
_SEARCH_TIMEOUT = 0.4
# Seconds after which to retry a turn whose predecessor could not be looked up.
_RETRY_AFTER = 0.5


@frozen(kw_only=True)
class TurnLimits:
    """Limits on kept turns.

    Attributes
    ----------
    max_memory_bytes : int
        Bytes of the turns that a node remembers.
    max_chain_bytes : int
        Bytes of one chain with its new input; a value of the store holds up to 1 MB.
    """

    max_memory_bytes: int = 24 << 20
    max_chain_bytes: int = 512 << 10


class TurnKeeper:
    """Extends turns by the chains that they continue from and keeps them when complete.

    Parameters
    ----------
    memory : TurnMemory
        Turns that this node remembers.
    store : TurnStore
        Turns in the platform's store.
    """

    def __init__(
        self,
        *,
        memory: TurnMemory,
        store: TurnStore,
        writer: TurnWriter,
        disks: TurnDisks,
        peers: TurnPeers,
        limits: TurnLimits,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._memory = memory
        self._store = store
        self._writer = writer
        self._disks = disks
        self._peers = peers
        self._limits = limits
        self._clock = clock
        self._metrics = metrics

    async def begin(
        self,
        request: str,
        *,
        team: str,
        previous: str | None,
        new_input: bytes,
        retention: float,
        resumes: str | None = None,
        last_event: str | None = None,
        zones: frozenset[str] | None = None,
    ) -> TurnRecorder:
        """Return the recorder of a turn, which has the body for the replica.

        Parameters
        ----------
        new_input : bytes
            Body of the request.
        previous : str or None
            Id of the turn that this one continues from.
        retention : float
            Seconds for which the turn is kept.
        resumes, last_event : str or None
            Id of the request whose broken answer the caller goes on with, and of the
            last event that it received.
        zones : frozenset of str or None
            Zones of the nodes that may hold the turn; None allows all.

        Raises
        ------
        TurnNotFoundError
            There is no such turn, or it belongs to another team.
        TurnUncertainError
            The turn may exist but cannot be read now.
        PayloadTooLargeError
            The chain is too long to be kept.
        StreamVersionError
            The events before ``last_event`` are not known.
        """
        parts: tuple[bytes, ...] = ()
        if previous is not None:
            parts = (await self._find(request, previous, team)).parts
        size = sum(map(len, parts)) + len(new_input)
        if size > self._limits.max_chain_bytes:
            raise PayloadTooLargeError(
                f"the chain of turns has {size} bytes, more than "
                f"{self._limits.max_chain_bytes}; start a new chain"
            )
        recorder = TurnRecorder(
            self,
            request=request,
            team=team,
            parts=(*parts, new_input),
            retention=retention,
            resumes=resumes,
            zones=zones,
        )
        if last_event is not None:
            await self._restore_events(recorder, resumes, last_event)
        return recorder

    async def _restore_events(
        self, recorder: TurnRecorder, resumes: str | None, last_event: str
    ) -> None:
        partial: Turn | None = None
        if resumes is not None:
            partial_id = make_partial_id(resumes)
            partial = self._memory.get(partial_id)
            if partial is None:
                partial = await self._peers.find(partial_id)
        if (
            partial is None
            or partial.team != recorder.team
            or not recorder.restore(partial.parts[0], last_event)
        ):
            raise StreamVersionError(
                f"the events before {last_event} are not known, so the turn could not "
                "be continued later; send the request again from its start"
            )

    async def _find(self, request: str, turn_id: str, team: str) -> Turn:
        started_at = self._clock.read_monotonic()
        turn, source = await self._look_up(turn_id, may_ask_peers=True)
        seconds = self._clock.read_monotonic() - started_at
        is_found = turn is not None and turn.team == team
        self._metrics.count(f"turns.found.{source}")
        self._metrics.record_seconds("turns.find", seconds)
        _LOG.info(
            "previous turn looked up",
            extra={
                "request": request,
                "team": team,
                "turn": turn_id,
                "source": source,
                "result": "found" if is_found else "not found",
                "chain": None if turn is None else turn.chain_length,
                "bytes": None if turn is None else turn.size,
                "age": None
                if turn is None
                else round(self._clock.read_wall() - turn.ended_at, 3),
                "seconds": round(seconds, 4),
            },
        )
        if turn is None or turn.team != team:
            raise TurnNotFoundError(
                f"there is no turn {turn_id}; start a new chain of turns"
            )
        self._memory.add(turn)
        return turn

    async def search(self, turn_id: str) -> Turn | None:
        """Look for a turn on behalf of another node, without asking others."""
        try:
            turn, _ = await self._look_up(turn_id, may_ask_peers=False)
        except TurnUncertainError:
            return None
        return turn

    async def _look_up(
        self, turn_id: str, *, may_ask_peers: bool
    ) -> tuple[Turn | None, str]:
        """Return a turn and where it was found; None if there is certainly none."""
        turn = self._memory.get(turn_id)
        if turn is not None:
            return turn, "memory"
        if may_ask_peers:
            turn = await self._peers.find(turn_id)
            if turn is not None:
                return turn, "node"
        reading = asyncio.ensure_future(self._read_store(turn_id))
        try:
            async with asyncio.timeout(_SEARCH_TIMEOUT):
                if not self._writer.is_store_failing:
                    await asyncio.wait({reading}, timeout=_STORE_PATIENCE)
                if reading.done() and reading.result()[0] is not None:
                    return self._check_age(reading.result()[0]), "store"
                found: DiskAnswer = await self._disks.find(turn_id)
                if found.turn is not None:
                    return self._check_age(found.turn), "disks"
                turn, is_answered = await reading
        except TimeoutError:
            is_answered = False
        finally:
            reading.cancel()
        if turn is not None:
            return self._check_age(turn), "store"
        if is_answered and found.is_certain:
            return None, "nowhere"
        if may_ask_peers:
            # This node may be cut from the store and the disks.
            turn = self._check_age(await self._peers.search(turn_id))
            if turn is not None:
                return turn, "node"
        raise TurnUncertainError(
            f"turn {turn_id} cannot be read while the store or a loan server is "
            "unavailable; repeat the request",
            retry_after=_RETRY_AFTER,
        )

    async def _read_store(self, turn_id: str) -> tuple[Turn | None, bool]:
        """Return a turn, and whether the store answered."""
        try:
            return await self._store.find(turn_id), True
        except StoreError as exc:
            _LOG.info(
                "turn not read from the store: %s", exc.message, extra={"turn": turn_id}
            )
            return None, False

    def _check_age(self, turn: Turn | None) -> Turn | None:
        if turn is None or turn.has_expired(self._clock.read_wall()):
            return None
        return turn

    async def keep(self, turn: Turn, aliases: tuple[Turn, ...] = ()) -> None:
        """Return once a turn is durable; from then on callers may continue from it."""
        started_at = self._clock.read_monotonic()
        sources = await asyncio.gather(
            *(self._writer.write(each) for each in (turn, *aliases))
        )
        seconds = self._clock.read_monotonic() - started_at
        for each in (turn, *aliases):
            self.remember(each)
        self._metrics.count(f"turns.kept.{sources[0]}")
        self._metrics.record_seconds("turns.keep", seconds)
        _LOG.info(
            "turn kept",
            extra={
                "request": turn.id,
                "source": sources[0],
                "chain": turn.chain_length,
                "bytes": turn.size,
                "seconds": round(seconds, 4),
                "pending": self._writer.pending_count,
            },
        )

    def remember(self, turn: Turn) -> None:
        """Keep a turn in the memory of this node and of the nodes asked for it."""
        self._memory.add(turn)
        self._peers.share(turn)

    def read_wall(self) -> float:
        """Return Unix seconds."""
        return self._clock.read_wall()

    def list_gauges(self) -> list[tuple[str, float]]:
        """Return the names and values of the gauges of kept turns."""
        return [
            ("turns.remembered", len(self._memory)),
            ("turns.remembered_bytes", self._memory.size),
            ("turns.pending", self._writer.pending_count),
        ]
