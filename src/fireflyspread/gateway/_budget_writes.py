"""Messages by which nodes write budget records for one another."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Sequence

from fireflyspread._ranking import rank_nodes
from fireflyspread.budgets import RECORDS_PREFIX, BudgetWriter, WriteHelpers
from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, StoreError, StoreUncertainError
from fireflyspread.nodes import (
    BudgetsWritten,
    BudgetWrite,
    Message,
    PeerClient,
    PeerServer,
    WriteBudgets,
)
from fireflyspread.recovery import (
    WRITES_PER_TRANSACTION,
    Entry,
    Roster,
    SnapshotStore,
    Write,
)

__all__ = ["NodeWriteHelpers", "register_write_handler"]

_LOG = logging.getLogger(__name__)

# Seconds that another node waits for the store, and that this one waits for it.
_STORE_TIMEOUT = 0.4
_MESSAGE_TIMEOUT = 0.45
# Transactions that a node makes for others at the same time. A node handles 16
# messages at once, and a slow store must not hold all of them.
_MAX_CONCURRENT = 4
# Seconds during which a node that could not write is asked only after the others.
_FAILED_BACKOFF = 1.0


class NodeWriteHelpers(WriteHelpers):
    """Asks the other members, ranked for this node so that the work is spread."""

    def __init__(
        self,
        client: PeerClient,
        roster: Roster,
        *,
        node: str,
        clock: Clock,
        list_members: Callable[[], Iterable[str]],
    ) -> None:
        self._client = client
        self._roster = roster
        self._node = node
        self._clock = clock
        self._list_members = list_members
        self._failed_until: dict[str, float] = {}

    def choose(self, count: int) -> Sequence[str]:
        now = self._clock.read_monotonic()
        others = [name for name in self._list_members() if name != self._node]
        ranked = rank_nodes(others, self._node)
        ranked.sort(key=lambda name: self._failed_until.get(name, 0.0) > now)
        return ranked[:count]

    async def write_all(
        self, node: str, writes: Sequence[Write]
    ) -> int | tuple[Entry, ...]:
        try:
            return await self._ask(node, writes)
        except (PeerError, StoreError) as exc:
            now = self._clock.read_monotonic()
            self._failed_until[node] = now + _FAILED_BACKOFF
            _LOG.info(
                "budget records not written through another node: %s",
                exc.message,
                extra={"node": node, "count": len(writes)},
            )
            raise

    async def _ask(self, node: str, writes: Sequence[Write]) -> int | tuple[Entry, ...]:
        address = self._roster.get_peer_address(node)
        message = WriteBudgets(
            node=self._node, writes=tuple(_make_message(each) for each in writes)
        )
        answer = await self._client.ask(address, message, timeout=_MESSAGE_TIMEOUT)
        if not isinstance(answer, BudgetsWritten):
            raise PeerError(f"{node} answered {type(answer).__name__}")
        if answer.code == StoreUncertainError.code:
            raise StoreUncertainError(answer.reason)
        if answer.code:
            raise StoreError(answer.reason)
        if answer.revision:
            return answer.revision
        return tuple(
            Entry(RECORDS_PREFIX + each.record, each.value or b"", each.revision)
            for each in answer.found
        )


def _make_message(write: Write) -> BudgetWrite:
    return BudgetWrite(
        record=write.key.removeprefix(RECORDS_PREFIX),
        value=write.value,
        revision=write.revision,
    )


def register_write_handler(
    server: PeerServer, store: SnapshotStore, writer: BudgetWriter, *, node: str
) -> None:
    """Write the budget records of nodes that the store refuses."""
    running = 0

    async def write(message: WriteBudgets) -> Message:
        nonlocal running
        if writer.is_store_unavailable or running >= _MAX_CONCURRENT:
            reason = "this node does not reach the store or writes for others already"
            return BudgetsWritten(node=node, code=StoreError.code, reason=reason)
        if len(message.writes) > WRITES_PER_TRANSACTION:
            reason = f"more than {WRITES_PER_TRANSACTION} writes"
            return BudgetsWritten(node=node, code=StoreError.code, reason=reason)
        writes = [
            Write(RECORDS_PREFIX + each.record, each.value, each.revision)
            for each in message.writes
        ]
        running += 1
        try:
            async with asyncio.timeout(_STORE_TIMEOUT):
                result = await store.write_all(writes)
        except TimeoutError:
            writer.note_failure("no answer in time")
            reason = f"the store did not answer within {_STORE_TIMEOUT:g} s"
            code = StoreUncertainError.code
            return BudgetsWritten(node=node, code=code, reason=reason)
        except StoreError as exc:
            writer.note_failure(exc.message)
            return BudgetsWritten(node=node, code=exc.code, reason=exc.message)
        finally:
            running -= 1
        if isinstance(result, int):
            return BudgetsWritten(node=node, revision=result)
        return BudgetsWritten(
            node=node,
            found=tuple(
                BudgetWrite(
                    record=each.key.removeprefix(RECORDS_PREFIX),
                    value=each.value,
                    revision=each.revision,
                )
                for each in result
            ),
        )

    server.register(WriteBudgets, write)
