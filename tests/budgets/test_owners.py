"""Tests of reservations at the owner of a program's budget account."""

import asyncio

import pytest

from fireflyspread.budgets import BudgetOwners, BudgetPeers, Grant, Reservation
from fireflyspread.exceptions import (
    BudgetExceededError,
    OverloadedError,
    PeerError,
    StoreError,
)
from tests.budgets.test_accounts import BUDGET, MAX_TOKENS, Nodes


class Cluster(BudgetPeers):
    """Nodes that ask each other in one process."""

    def __init__(self, *names: str) -> None:
        self.nodes = Nodes(*names)
        self.names = list(names)
        self.without_store: set[str] = set()
        self.unreachable: set[str] = set()

    def make_owners(self, name: str) -> BudgetOwners:
        """Return the ``BudgetOwners`` of one node."""
        return BudgetOwners(
            self.nodes.accounts[name],
            self,
            node=name,
            clock=self.nodes.clock,
            list_members=lambda: self.names,
        )

    def find_owner(self, program: str) -> str:
        """Return the owner of a program's account."""
        return self.make_owners(self.names[0])._rank(program)[0]

    async def grant(
        self, node: str, program: str, budget: int, max_tokens: int, *, may_lend: bool
    ) -> Grant:
        if node in self.unreachable:
            raise PeerError(f"{node} does not answer")
        # MemoryStore has one switch for all nodes, so it is set for this call only.
        before = self.nodes.store.is_down
        self.nodes.store.is_down = before or node in self.without_store
        try:
            return await self.nodes.accounts[node].grant(
                program, budget, max_tokens, may_lend=may_lend
            )
        finally:
            self.nodes.store.is_down = before

    async def report_drawn(
        self, node: str, program: str, budget: int, drawn: int
    ) -> None:
        self.nodes.accounts[node].report_drawn(program, budget, drawn)

    async def return_tokens(self, node: str, program: str, tokens: int) -> None:
        self.nodes.accounts[node].return_tokens(program, tokens)


async def _run_turn(owners: BudgetOwners, used: int) -> int:
    reservation: Reservation = await owners.reserve("p", BUDGET, MAX_TOKENS)
    reservation.spend(used)
    reservation.close()
    # A separate task returns the unused tokens.
    await asyncio.sleep(0)
    return used


class TestBudgetOwners:
    async def test_program_on_many_nodes_costs_one_store_call(self):
        """Guards against a store call for each node that a program visits."""
        cluster = Cluster("a", "b", "c", "d")
        for name in "abcdabcd":
            await _run_turn(cluster.make_owners(name), 10)
        assert cluster.nodes.store.calls == 1

    async def test_next_node_serves_when_the_owner_is_lost(self):
        """Guards against programs that fail when their owner is lost."""
        cluster = Cluster("a", "b", "c", "d")
        owner = cluster.find_owner("p")
        others = [name for name in "abcd" if name != owner]
        await _run_turn(cluster.make_owners(others[0]), 70)
        cluster.unreachable.add(owner)
        del cluster.nodes.accounts[owner]
        spent = 70
        with pytest.raises(BudgetExceededError):
            for _ in range(50):
                spent += await _run_turn(cluster.make_owners(others[0]), 70)
        assert spent <= BUDGET

    async def test_partitioned_owner_does_not_lend_what_another_node_draws(self):
        """Guards against a budget that one node lends and another draws."""
        cluster = Cluster("a", "b", "c", "d")
        owner = cluster.find_owner("p")
        requester = next(name for name in "abcd" if name != owner)
        cluster.without_store.add(owner)
        spent = 0
        with pytest.raises(BudgetExceededError):
            for _ in range(50):
                cluster.nodes.clock.advance(0.3)
                spent += await _run_turn(cluster.make_owners(requester), 70)
        # The partition ends in an outage that all nodes see.
        cluster.without_store.clear()
        cluster.nodes.store.is_down = cluster.nodes.is_outage = True
        with pytest.raises((BudgetExceededError, OverloadedError, StoreError)):
            for _ in range(50):
                spent += await _run_turn(cluster.make_owners(owner), 70)
        assert spent <= BUDGET + MAX_TOKENS
