"""Tests of the accounts that a node keeps of programs' budgets."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflyspread.budgets import AllowanceBook, BudgetNotes, Noted
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import (
    BudgetExceededError,
    OverloadedError,
    PeerError,
    StoreError,
)
from tests.recovery.snapshot_store import MemoryStore

BUDGET = 864
MOST = 288


class Disks(BudgetNotes):
    """What all nodes have noted, as one of them sees it."""

    def __init__(self, nodes: "Nodes", lender: str) -> None:
        self._nodes = nodes
        self._lender = lender

    def find_lost(self, program: str) -> int:
        alive = {f"{n}-{s}" for n, s in self._nodes.starts.items()}
        return sum(
            tokens
            for (each, owner), tokens in self._nodes.loans.items()
            if each == program and owner not in alive
        )

    async def note_loan(self, program: str, tokens: int) -> Noted | None:
        if not self._nodes.has_disks:
            return None
        loans = self._nodes.loans
        key = program, self._lender
        loans[key] = loans.get(key, 0) + tokens
        return Noted(self._count_others(program), self._nodes.drawn.get(program, 0))

    async def note_draw(self, program: str, drawn: int) -> Noted:
        known = self._nodes.drawn.get(program, 0)
        self._nodes.drawn[program] = max(known, drawn)
        return Noted(self._count_others(program), self._nodes.drawn[program])

    def _count_others(self, program: str) -> int:
        return sum(
            amount
            for (each, owner), amount in self._nodes.loans.items()
            if each == program and owner != self._lender
        )


class Nodes:
    """Books of several nodes before one store."""

    def __init__(self, *names: str) -> None:
        self.store = MemoryStore()
        self.clock = ManualClock()
        self.is_outage = False
        self.loans: dict[tuple[str, str], int] = {}
        self.drawn: dict[str, int] = {}
        self.starts: dict[str, int] = {}
        self.has_disks = True
        self.books: dict[str, AllowanceBook] = {}
        for name in names:
            self.restart(name)

    def restart(self, name: str) -> AllowanceBook:
        """Start a node that remembers nothing."""

        async def ask(
            node: str, program: str, amount: int, drawn: dict[str, int]
        ) -> int:
            if node not in self.books:
                raise PeerError(f"{node} is gone")
            return self.books[node].give_up(program, amount, drawn)

        self.starts[name] = self.starts.get(name, 0) + 1
        lender = f"{name}-{self.starts[name]}"

        notes = Disks(self, lender)
        self.books[name] = AllowanceBook(
            self.store,
            node=name,
            clock=self.clock,
            ask_holder=ask,
            notes=notes,
            is_outage=lambda: self.is_outage,
        )
        return self.books[name]

    async def spend(
        self, name: str, used: int = MOST, *, may_lend: bool = False
    ) -> int:
        """Run one turn at a node; return the tokens that it handed out."""
        book = self.books[name]
        grant = await book.grant("p", BUDGET, MOST, may_lend=may_lend)
        book.give_back("p", grant.tokens - used)
        return used


class TestAllowanceBook:
    async def test_budget_is_never_exceeded_on_one_node(self):
        """Guards against a program that loops without end."""
        nodes = Nodes("a")
        spent = 0
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a", 70)
        assert BUDGET - MOST < spent <= BUDGET

    async def test_refused_first_turn_comes_back_as_new(self):
        """Guards against programs that pass admission by asking a second time."""
        book = Nodes("a").books["a"]
        first = await book.grant("p", BUDGET, MOST)
        book.give_back("p", first.tokens)
        again = await book.grant("p", BUDGET, MOST)
        book.give_back("p", again.tokens - 9)
        later = await book.grant("p", BUDGET, MOST)
        assert (first.is_new, again.is_new, later.is_new) == (True, True, False)

    async def test_program_under_way_is_not_new_on_another_node(self):
        """Guards against programs refused midway when their keeper is lost."""
        nodes = Nodes("a", "b")
        await nodes.spend("a", 9)
        assert not (await nodes.books["b"].grant("p", BUDGET, MOST)).is_new

    async def test_turns_on_several_nodes_share_the_budget(self):
        """Guards against a budget for each node that a program visits."""
        nodes = Nodes("a", "b", "c")
        spent, refusals = 0, 0
        for number in range(60):
            try:
                spent += await nodes.spend("abc"[number % 3], 70)
            except BudgetExceededError:
                refusals += 1
        assert refusals > 0
        assert spent <= BUDGET

    async def test_what_a_lost_node_drew_counts_as_spent(self):
        """Guards against a budget that begins anew after a crash."""
        nodes = Nodes("a")
        spent = 0
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                nodes.restart("a")
                spent += await nodes.spend("a", 70)
        assert spent <= BUDGET

    async def test_lost_answer_of_a_draw_charges_once(self):
        """Guards against a draw that is counted twice because its answer was lost."""
        nodes = Nodes("a")
        nodes.store.lose_answers = 1
        with pytest.raises(StoreError):
            await nodes.spend("a")
        nodes.clock.advance(1.0)
        assert await nodes.spend("a", 10) == 10
        assert await nodes.spend("a", 10) == 10

    async def test_draw_whose_answer_was_lost_is_not_lost(self):
        """Guards against programs told that their budget is spent after a slow store.

        Seen on a played day: 12 of 507 programs ended with 402 beside a slow store.
        """
        nodes = Nodes("a", "b")
        nodes.store.lose_answers = 1
        with pytest.raises(StoreError):
            await nodes.spend("a")
        spent = await nodes.spend("b")
        nodes.clock.advance(1.0)
        spent += await nodes.spend("a")
        spent += await nodes.spend("b")
        assert spent == 3 * MOST

    async def test_draw_of_the_process_before_stays_lost(self):
        """Guards against tokens of a killed process that its successor hands out."""
        nodes = Nodes("a", "b")
        spent = await nodes.spend("a")
        nodes.restart("a")
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a")
        assert spent <= BUDGET

    async def test_one_transaction_for_many_programs(self):
        """Guards against store calls that grow with the programs that wait."""
        nodes = Nodes("a")
        book = nodes.books["a"]
        await asyncio.gather(*(book.grant(f"p{n}", BUDGET, MOST) for n in range(100)))
        assert nodes.store.calls <= 1 + -(-99 // 16)

    async def test_a_program_costs_one_call(self):
        """Guards against a store call for each turn."""
        nodes = Nodes("a")
        for _ in range(8):
            await nodes.spend("a", 10)
        assert nodes.store.calls == 1

    async def test_nothing_is_lent_in_a_cut(self):
        """Guards against a node cut from the store that hands out what others draw."""
        nodes = Nodes("a")
        nodes.store.is_down = True
        with pytest.raises(StoreError):
            await nodes.spend("a")
        with pytest.raises(OverloadedError):
            await nodes.spend("a", may_lend=True)

    async def test_an_outage_does_not_stop_a_program(self):
        """Guards against programs that fail because the store is away for seconds."""
        nodes = Nodes("a")
        nodes.store.is_down = nodes.is_outage = True
        for _ in range(4):
            await nodes.spend("a", 70, may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.clock.advance(1.0)
        run = asyncio.create_task(nodes.books["a"].run())
        await asyncio.sleep(0.25)
        run.cancel()
        spent = 280
        nodes.restart("a")
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a", 70)
        assert spent <= BUDGET

    async def test_loans_of_a_lost_node_count_as_spent(self):
        """Guards against a final fault in an outage that forgets what was lent."""
        nodes = Nodes("a")
        nodes.store.is_down = nodes.is_outage = True
        spent = 0
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a", 70, may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.restart("a")
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a", 70)
        assert BUDGET - MOST < spent <= BUDGET

    async def test_second_lender_counts_what_the_first_has_lent(self):
        """Guards against two nodes that lend the same budget in one outage."""
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = 0
        for name in "ab":
            with pytest.raises(BudgetExceededError):
                for _ in range(100):
                    spent += await nodes.spend(name, 70, may_lend=True)
        assert spent <= BUDGET + MOST

    async def test_two_lenders_by_turns(self):
        """Guards against lenders that see only each other's first loan."""
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = 0
        for number in range(60):
            try:
                spent += await nodes.spend("ab"[number % 2], 70, may_lend=True)
            except BudgetExceededError:
                continue
        assert spent <= BUDGET + MOST

    async def test_lost_loans_count_beside_a_record(self):
        """Guards against loans of a lost node to a program that has a record."""
        nodes = Nodes("a", "b")
        spent = await nodes.spend("a", 70)
        await asyncio.sleep(0)
        nodes.store.is_down = nodes.is_outage = True
        spent += await nodes.spend("b", MOST, may_lend=True)
        nodes.restart("b")
        nodes.store.is_down = nodes.is_outage = False
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a", MOST)
        assert spent <= BUDGET

    async def test_draws_of_a_lost_node_are_not_lent_again(self):
        """Guards against an outage in which the next keeper knows of no draw.

        Seen on a played day: a program with a budget of 576 got 873 tokens.
        """
        nodes = Nodes("a", "b")
        spent = 0
        for _ in range(3):
            spent += await nodes.spend("a")
        await asyncio.sleep(0.05)
        del nodes.books["a"]
        nodes.store.is_down = nodes.is_outage = True
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("b", 70, may_lend=True)
        assert spent <= BUDGET + MOST

    async def test_draw_counts_loans_that_are_not_settled(self):
        """Guards against a new node that draws what another one has lent.

        Seen in a hunt: the store was back, the lender had not noticed yet, and a
        program with a budget of 576 got 891 tokens.
        """
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = 0
        for _ in range(2):
            spent += await nodes.spend("a", may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("b")
        assert spent <= BUDGET

    async def test_settled_loans_count_once(self):
        """Guards against programs refused for what was lent and drawn since."""
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = await nodes.spend("a", may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.clock.advance(1.0)
        await nodes.books["a"].settle_loans()
        await asyncio.sleep(0)
        spent += await nodes.spend("b")
        spent += await nodes.spend("b")
        assert spent == BUDGET

    async def test_nothing_is_lent_without_a_disk(self):
        """Guards against loans that no restart could know of."""
        nodes = Nodes("a")
        nodes.store.is_down = nodes.is_outage = True
        nodes.has_disks = False
        with pytest.raises(OverloadedError):
            await nodes.spend("a", may_lend=True)

    async def test_a_leaving_node_gives_back_what_it_holds(self):
        """Guards against budgets that shrink with each planned restart."""
        nodes = Nodes("a", "b")
        await nodes.spend("a", 10)
        await nodes.books["a"].close()
        del nodes.books["a"]
        spent = 10
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("b", 70)
        assert spent > BUDGET - MOST

    async def test_unreadable_record_counts_as_spent(self):
        """Guards against a budget that begins anew after another writer's bytes."""
        nodes = Nodes("a")
        await nodes.spend("a", 10)
        (key,) = nodes.store.entries
        nodes.store.put(key, b"\x00")
        nodes.restart("a")
        with pytest.raises(BudgetExceededError):
            await nodes.spend("a")

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.sampled_from(
                    ["turn", "turn", "lend", "lend", "restart", "away", "back"]
                ),
                st.integers(0, MOST),
            ),
            max_size=60,
        )
    )
    def test_any_order_of_turns_restarts_and_cuts(self, steps):
        """Guards against any mix of turns, crashes and cuts that exceeds the budget."""

        async def play() -> int:
            nodes, spent = Nodes("a", "b", "c"), 0
            for name, step, used in steps:
                nodes.clock.advance(0.5)
                if step == "restart":
                    nodes.restart(name)
                elif step in ("away", "back"):
                    nodes.store.is_down = nodes.is_outage = step == "away"
                else:
                    may_lend = step == "lend"
                    try:
                        spent += await nodes.spend(name, used, may_lend=may_lend)
                    except (BudgetExceededError, OverloadedError, StoreError):
                        continue
            return spent

        assert asyncio.run(play()) <= BUDGET + MOST
