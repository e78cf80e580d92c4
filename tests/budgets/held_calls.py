"""Store and event loop whose progress a test controls."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

from attrs import define, field

from fireflyspread.exceptions import FireflyError, StoreError
from fireflyspread.recovery import Entry, Write
from tests.recovery.snapshot_store import MemoryStore

__all__ = ["HeldCall", "HeldCalls", "HeldStore", "ManualLoop"]

# Rounds in which all tasks that can go on have done so.
_ROUNDS = 30


class ManualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time advances only when the test says so."""

    now = 0.0

    def time(self) -> float:
        return self.now

    def settle(self, seconds: float = 0.0) -> None:
        """Advance the time and run all tasks until they wait."""
        self.now += seconds

        async def run() -> None:
            for _ in range(_ROUNDS):
                await asyncio.sleep(0)

        self.run_until_complete(run())


@define(eq=False)
class HeldCall:
    """A call whose effect and answer wait for the test."""

    effect: asyncio.Future[Exception | None] = field(factory=asyncio.Future)
    answer: asyncio.Future[Exception | None] = field(factory=asyncio.Future)

    @property
    def has_effect(self) -> bool:
        """Whether the call has reached the other side."""
        return self.effect.done()


class HeldCalls:
    """The calls in progress, in the order of their start."""

    def __init__(self) -> None:
        self.calls: list[HeldCall] = []

    async def run(self, work: Callable[[], Awaitable[Any]]) -> Any:
        """Run ``work`` when the test lets the call take effect.

        A call whose caller has left still takes effect.
        """
        call = HeldCall()
        self.calls.append(call)
        return await asyncio.shield(asyncio.ensure_future(self._finish(call, work)))

    async def _finish(self, call: HeldCall, work: Callable[[], Awaitable[Any]]) -> Any:
        refusal = await call.effect
        if refusal is not None:
            self.calls.remove(call)
            raise refusal
        failure: FireflyError | None = None
        try:
            result = await work()
        except FireflyError as exc:
            failure = exc
        loss = await call.answer
        self.calls.remove(call)
        if loss is not None or failure is not None:
            raise loss or failure
        return result


class HeldStore(MemoryStore):
    """Store whose transactions wait for the test."""

    def __init__(self, calls: HeldCalls) -> None:
        super().__init__()
        self._calls = calls

    async def write_all(self, writes: Sequence[Write]) -> int | tuple[Entry, ...]:
        write = super().write_all
        return await self._calls.run(lambda: write(writes))

    @staticmethod
    def make_refusal() -> StoreError:
        """Return the error of a call that is not executed."""
        return StoreError("the store refused the call; retry")
