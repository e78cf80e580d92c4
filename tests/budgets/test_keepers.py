"""Tests of finding the node that keeps a program's budget."""

import asyncio

import pytest

from fireflyspread.budgets import AllowancePeers, BudgetKeepers, Grant, Reservation
from fireflyspread.exceptions import (
    BudgetExceededError,
    OverloadedError,
    PeerError,
    StoreError,
)
from tests.budgets.test_book import BUDGET, MOST, Nodes


class Cluster(AllowancePeers):
    """Nodes that ask each other in one process."""

    def __init__(self, *names: str) -> None:
        self.nodes = Nodes(*names)
        self.names = list(names)
        self.cut_from_store: set[str] = set()
        self.gone: set[str] = set()

    def make(self, name: str) -> BudgetKeepers:
        """Return the way of one node to the keepers."""
        return BudgetKeepers(
            self.nodes.books[name],
            self,
            node=name,
            clock=self.nodes.clock,
            list_members=lambda: self.names,
        )

    def find_first(self, program: str) -> str:
        """Return the first keeper of a program."""
        return self.make(self.names[0])._rank(program)[0]

    async def grant(
        self, node: str, program: str, budget: int, most: int, *, may_lend: bool
    ) -> Grant:
        if node in self.gone:
            raise PeerError(f"{node} does not answer")
        # The store of the tests has one switch, so a cut is played for one call.
        before = self.nodes.store.is_down
        self.nodes.store.is_down = before or node in self.cut_from_store
        try:
            return await self.nodes.books[node].grant(
                program, budget, most, may_lend=may_lend
            )
        finally:
            self.nodes.store.is_down = before

    async def note_drawn(
        self, node: str, program: str, budget: int, drawn: int
    ) -> None:
        self.nodes.books[node].note_drawn(program, budget, drawn)

    async def give_back(self, node: str, program: str, tokens: int) -> None:
        self.nodes.books[node].give_back(program, tokens)


async def _run_turn(keepers: BudgetKeepers, used: int) -> int:
    reservation: Reservation = await keepers.reserve("p", BUDGET, MOST)
    reservation.spend(used)
    reservation.close()
    # What is unused is given back by a task of its own.
    await asyncio.sleep(0)
    return used


class TestBudgetKeepers:
    async def test_one_store_call_for_a_program_on_many_nodes(self):
        """Guards against store calls for each node that a program visits."""
        cluster = Cluster("a", "b", "c", "d")
        for name in "abcdabcd":
            await _run_turn(cluster.make(name), 10)
        assert cluster.nodes.store.calls == 1

    async def test_next_keeper_serves_when_the_first_is_gone(self):
        """Guards against programs that fail with the node that keeps them."""
        cluster = Cluster("a", "b", "c", "d")
        first = cluster.find_first("p")
        others = [name for name in "abcd" if name != first]
        await _run_turn(cluster.make(others[0]), 70)
        cluster.gone.add(first)
        del cluster.nodes.books[first]
        spent = 70
        with pytest.raises(BudgetExceededError):
            for _ in range(50):
                spent += await _run_turn(cluster.make(others[0]), 70)
        assert spent <= BUDGET

    async def test_cut_keeper_does_not_lend_what_another_draws(self):
        """Guards against a budget lent by a cut node and drawn by another."""
        cluster = Cluster("a", "b", "c", "d")
        first = cluster.find_first("p")
        asker = next(name for name in "abcd" if name != first)
        cluster.cut_from_store.add(first)
        spent = 0
        with pytest.raises(BudgetExceededError):
            for _ in range(50):
                cluster.nodes.clock.advance(0.3)
                spent += await _run_turn(cluster.make(asker), 70)
        # The cut ends in an outage that all see.
        cluster.cut_from_store.clear()
        cluster.nodes.store.is_down = cluster.nodes.is_outage = True
        with pytest.raises((BudgetExceededError, OverloadedError, StoreError)):
            for _ in range(50):
                spent += await _run_turn(cluster.make(first), 70)
        assert spent <= BUDGET + MOST
