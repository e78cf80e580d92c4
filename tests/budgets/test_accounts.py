"""Tests of a node's accounts of programs' budgets."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflyspread.budgets import (
    BudgetAccounts,
    HandOver,
    LoanLog,
    LoanTotals,
    _accounts,
)
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import (
    BudgetExceededError,
    OverloadedError,
    PeerError,
    PeerGoneError,
    StoreError,
)
from fireflyspread.recovery import Entry, Write
from tests.budgets.hand_overs import answer_hand_over
from tests.recovery.snapshot_store import MemoryStore

BUDGET = 864
MAX_TOKENS = 288


class MemoryLoanLog(LoanLog):
    """The loan log in memory, as one node sees it."""

    def __init__(self, nodes: "Nodes", lender: str) -> None:
        self._nodes = nodes
        self._lender = lender

    @property
    def is_complete(self) -> bool:
        return self._nodes.are_loans_known.is_set()

    async def wait_complete(self) -> None:
        await self._nodes.are_loans_known.wait()

    def get_lost_loans(self, program: str) -> dict[str, int]:
        alive = {f"{n}-{s}" for n, s in self._nodes.starts.items()}
        return {
            lender: tokens
            for (each, lender), tokens in self._nodes.loans.items()
            if each == program and tokens > 0 and lender not in alive
        }

    def list_lost_programs(self) -> dict[str, int]:
        programs = {program for program, _ in self._nodes.loans}
        return {each: BUDGET for each in programs if self.get_lost_loans(each)}

    async def append_loan(
        self, program: str, tokens: int, *, budget: int = 0
    ) -> LoanTotals | None:
        if not self._nodes.has_loan_log:
            return None
        loans = self._nodes.loans
        key = program, self._lender
        loans[key] = loans.get(key, 0) + tokens
        return LoanTotals(
            self._count_others(program), self._nodes.drawn.get(program, 0)
        )

    async def append_draw(
        self, program: str, drawn: int, *, must_confirm: bool = False
    ) -> LoanTotals:
        if self._nodes.log_gate is not None:
            await self._nodes.log_gate.wait()
        if not self._nodes.is_log_complete:
            return LoanTotals(0, 0, is_complete=False)
        known = self._nodes.drawn.get(program, 0)
        self._nodes.drawn[program] = max(known, drawn)
        return LoanTotals(self._count_others(program), self._nodes.drawn[program])

    def _count_others(self, program: str) -> int:
        return sum(
            amount
            for (each, lender), amount in self._nodes.loans.items()
            if each == program and lender != self._lender
        )


class Nodes:
    """Accounts of several nodes that share one store."""

    def __init__(self, *names: str) -> None:
        self.store = MemoryStore()
        self.clock = ManualClock()
        self.is_outage = False
        self.loans: dict[tuple[str, str], int] = {}
        self.drawn: dict[str, int] = {}
        self.starts: dict[str, int] = {}
        self.has_loan_log = True
        # Nodes that get no requests for tokens, and answers to these that are lost.
        self.cut_off: set[str] = set()
        self.lost_answers = 0
        # Whether a majority of the loan servers answers, and what they wait for.
        self.is_log_complete = True
        # Whether so many loan servers have listed their loans that none is missing.
        self.are_loans_known = asyncio.Event()
        self.are_loans_known.set()
        self.log_gate: asyncio.Event | None = None
        self.accounts: dict[str, BudgetAccounts] = {}
        for name in names:
            self.restart(name)

    def restart(self, name: str) -> BudgetAccounts:
        """Start a node, or start it anew without its state."""

        async def hand_over(
            node: str,
            program: str,
            amount: int,
            drawn: dict[str, int],
            request: str,
        ) -> HandOver:
            if node not in self.accounts:
                raise PeerGoneError(f"{node} has ended")
            if node in self.cut_off:
                raise PeerError(f"{node} did not answer")
            accounts = self.accounts[node]
            tokens = answer_hand_over(accounts, program, amount, drawn, request)
            if self.lost_answers:
                self.lost_answers -= 1
                raise PeerError(f"the answer of {node} is lost")
            return tokens

        self.starts[name] = self.starts.get(name, 0) + 1
        lender = f"{name}-{self.starts[name]}"

        loan_log = MemoryLoanLog(self, lender)
        self.accounts[name] = BudgetAccounts(
            self.store,
            node=name,
            clock=self.clock,
            request_hand_over=hand_over,
            loan_log=loan_log,
            is_outage=lambda: self.is_outage,
        )
        return self.accounts[name]

    async def spend(
        self, name: str, used: int = MAX_TOKENS, *, may_lend: bool = False
    ) -> int:
        """Run one turn at a node; return the tokens spent."""
        accounts = self.accounts[name]
        grant = await accounts.grant("p", BUDGET, MAX_TOKENS, may_lend=may_lend)
        accounts.return_tokens("p", grant.tokens - used)
        return used


class TestBudgetAccounts:
    async def test_budget_is_never_exceeded_on_one_node(self):
        """Guards against a program that takes turns without end."""
        nodes = Nodes("a")
        spent = 0
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a", 70)
        assert BUDGET - MAX_TOKENS < spent <= BUDGET

    async def test_retried_first_turn_is_still_new(self):
        """Guards against programs that bypass admission by a second attempt."""
        accounts = Nodes("a").accounts["a"]
        first = await accounts.grant("p", BUDGET, MAX_TOKENS)
        accounts.return_tokens("p", first.tokens)
        again = await accounts.grant("p", BUDGET, MAX_TOKENS)
        accounts.return_tokens("p", again.tokens - 9)
        later = await accounts.grant("p", BUDGET, MAX_TOKENS)
        assert (first.is_new, again.is_new, later.is_new) == (True, True, False)

    async def test_running_program_is_not_new_on_another_node(self):
        """Guards against programs refused midway after the loss of their owner."""
        nodes = Nodes("a", "b")
        await nodes.spend("a", 9)
        assert not (await nodes.accounts["b"].grant("p", BUDGET, MAX_TOKENS)).is_new

    async def test_turns_on_several_nodes_share_the_budget(self):
        """Guards against a separate budget on each node that a program visits."""
        nodes = Nodes("a", "b", "c")
        spent, refusals = 0, 0
        for number in range(60):
            try:
                spent += await nodes.spend("abc"[number % 3], 70)
            except BudgetExceededError:
                refusals += 1
            except OverloadedError:
                # A node that was just named as a holder is asked by the next turn.
                continue
        assert refusals > 0
        assert spent <= BUDGET

    async def test_draws_of_a_lost_node_count_as_spent(self):
        """Guards against a budget that is full again after a crash."""
        nodes = Nodes("a")
        spent = 0
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                nodes.restart("a")
                spent += await nodes.spend("a", 70)
        assert spent <= BUDGET

    async def test_draw_whose_answer_is_lost_counts_once(self):
        """Guards against a draw that counts twice because its answer was lost."""
        nodes = Nodes("a")
        nodes.store.lose_answers = 1
        with pytest.raises(StoreError):
            await nodes.spend("a")
        nodes.clock.advance(1.0)
        assert await nodes.spend("a", 10) == 10
        assert await nodes.spend("a", 10) == 10

    async def test_draw_whose_answer_is_lost_stays_usable(self):
        """Guards against programs refused for a spent budget after a slow store.

        In a simulated day 12 of 507 programs ended with status 402 while the store was
        slow.
        """
        nodes = Nodes("a", "b")
        nodes.store.lose_answers = 1
        with pytest.raises(StoreError):
            await nodes.spend("a")
        spent = await nodes.spend("b")
        nodes.clock.advance(1.0)
        spent += await nodes.spend("a")
        spent += await nodes.spend("b")
        assert spent == 3 * MAX_TOKENS

    async def test_draws_of_a_killed_process_stay_lost(self):
        """Guards against tokens of a killed process that its successor grants."""
        nodes = Nodes("a", "b")
        spent = await nodes.spend("a")
        nodes.restart("a")
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a")
        assert spent <= BUDGET

    async def test_draws_of_many_programs_are_batched(self):
        """Guards against one store call for each waiting program."""
        nodes = Nodes("a")
        accounts = nodes.accounts["a"]
        await asyncio.gather(
            *(accounts.grant(f"p{n}", BUDGET, MAX_TOKENS) for n in range(100))
        )
        assert nodes.store.calls <= 1 + -(-99 // 16)

    async def test_program_costs_one_store_call(self):
        """Guards against a store call for each turn."""
        nodes = Nodes("a")
        for _ in range(8):
            await nodes.spend("a", 10)
        assert nodes.store.calls == 1

    async def test_partitioned_node_lends_nothing(self):
        """Guards against a node without the store that lends what others can draw."""
        nodes = Nodes("a")
        nodes.store.is_down = True
        with pytest.raises(StoreError):
            await nodes.spend("a")
        with pytest.raises(OverloadedError):
            await nodes.spend("a", may_lend=True)

    async def test_outage_does_not_stop_a_program(self):
        """Guards against programs that fail in a store outage of seconds."""
        nodes = Nodes("a")
        nodes.store.is_down = nodes.is_outage = True
        for _ in range(4):
            await nodes.spend("a", 70, may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.clock.advance(1.0)
        run = asyncio.create_task(nodes.accounts["a"].run())
        await asyncio.sleep(0.25)
        run.cancel()
        spent = 280
        nodes.restart("a")
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a", 70)
        assert spent <= BUDGET

    async def test_loans_of_a_lost_node_count_as_spent(self):
        """Guards against loans that are forgotten when their lender is lost."""
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
        assert BUDGET - MAX_TOKENS < spent <= BUDGET

    async def test_second_lender_counts_what_the_first_has_lent(self):
        """Guards against two nodes that lend the same budget in one outage."""
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = 0
        for name in "ab":
            with pytest.raises(BudgetExceededError):
                for _ in range(100):
                    spent += await nodes.spend(name, 70, may_lend=True)
        assert spent <= BUDGET + MAX_TOKENS

    async def test_alternating_lenders_share_the_budget(self):
        """Guards against lenders that see only each other's first loan."""
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = 0
        for number in range(60):
            try:
                spent += await nodes.spend("ab"[number % 2], 70, may_lend=True)
            except BudgetExceededError:
                continue
        assert spent <= BUDGET + MAX_TOKENS

    async def test_lost_loans_count_in_addition_to_a_record(self):
        """Guards against lost loans that are ignored if the program has a record."""
        nodes = Nodes("a", "b")
        spent = await nodes.spend("a", 70)
        await asyncio.sleep(0)
        nodes.store.is_down = nodes.is_outage = True
        spent += await nodes.spend("b", MAX_TOKENS, may_lend=True)
        nodes.restart("b")
        nodes.store.is_down = nodes.is_outage = False
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("a", MAX_TOKENS)
        assert spent <= BUDGET

    async def test_draws_of_a_lost_node_are_not_lent_again(self):
        """Guards against an outage in which the next owner knows of no draw.

        In a simulated day a program with a budget of 576 tokens got 873.
        """
        nodes = Nodes("a", "b")
        spent = 0
        for _ in range(3):
            spent += await nodes.spend("a")
        await asyncio.sleep(0.05)
        del nodes.accounts["a"]
        nodes.store.is_down = nodes.is_outage = True
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("b", 70, may_lend=True)
        assert spent <= BUDGET + MAX_TOKENS

    async def test_draw_counts_unsettled_loans(self):
        """Guards against a node that draws tokens which another node has lent.

        In a fault search the store was available again, the lender had not noticed
        yet, and a program with a budget of 576 tokens got 891.
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
        """Guards against programs refused because settled loans count twice."""
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = await nodes.spend("a", may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.clock.advance(1.0)
        await nodes.accounts["a"].settle_loans()
        await asyncio.sleep(0)
        spent += await nodes.spend("b")
        spent += await nodes.spend("b")
        assert spent == BUDGET

    async def test_draw_counts_loans_that_are_drawn_meanwhile(self):
        """Guards against tokens that a lender draws beside another node's draw.

        The lender takes its loans out of the log before the other node has logged its
        draw. A program with a budget of 855 tokens got 1,501 after an outage.
        """
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = 0
        for _ in range(3):
            spent += await nodes.spend("a", may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.clock.advance(1.0)
        nodes.log_gate = asyncio.Event()
        drawing = asyncio.create_task(nodes.spend("b"))
        await asyncio.sleep(0.05)
        gate, nodes.log_gate = nodes.log_gate, None
        await nodes.accounts["a"].settle_loans()
        await asyncio.sleep(0.05)
        gate.set()
        with pytest.raises(BudgetExceededError):
            spent += await drawing
            for _ in range(100):
                spent += await nodes.spend("b")
        assert spent <= BUDGET

    async def test_draw_that_few_loan_servers_confirm_is_not_granted(self):
        """Guards against a draw that misses a loan, because too few disks were asked.

        It is granted once the loan servers answer.
        """
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = 0
        for _ in range(3):
            spent += await nodes.spend("a", may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.is_log_complete = False
        with pytest.raises(OverloadedError):
            await nodes.spend("b")
        with pytest.raises(OverloadedError):
            await nodes.spend("b")
        nodes.is_log_complete = True
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("b")
        assert spent <= BUDGET

    async def test_confirmed_draw_is_granted(self):
        """Guards against tokens that stay withheld after the loan servers answer."""
        nodes = Nodes("a")
        nodes.is_log_complete = False
        with pytest.raises(OverloadedError):
            await nodes.spend("a")
        nodes.is_log_complete = True
        spent = 0
        for _ in range(3):
            spent += await nodes.spend("a")
        assert spent == BUDGET

    async def test_draw_whose_answer_was_lost_is_not_granted_beside_loans(self):
        """Guards against tokens of a draw that no lender could know of.

        The draw took effect as the outage began, and its answer was lost.
        """
        nodes = Nodes("a", "b")
        nodes.store.lose_answers = 10
        with pytest.raises(StoreError):
            await nodes.spend("a")
        nodes.store.lose_answers = 0
        nodes.store.is_down = nodes.is_outage = True
        spent = 0
        for _ in range(3):
            spent += await nodes.spend("b", may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.clock.advance(1.0)
        await nodes.accounts["b"].settle_loans()
        for name in "abab":
            with contextlib.suppress(BudgetExceededError):
                spent += await nodes.spend(name)
        assert spent <= BUDGET

    async def test_loans_of_others_are_withheld_once(self):
        """Guards against tokens that are withheld again when they are confirmed."""
        nodes = Nodes("a", "b")
        nodes.store.is_down = nodes.is_outage = True
        spent = await nodes.spend("a", may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.is_log_complete = False
        with pytest.raises(OverloadedError):
            await nodes.spend("b")
        nodes.is_log_complete = True
        with pytest.raises(BudgetExceededError):
            for _ in range(10):
                spent += await nodes.spend("b")
        assert spent == BUDGET

    async def test_total_of_an_earlier_program_does_not_count_in_calm(self):
        """Guards against 402 for a program whose id was used before."""
        nodes = Nodes("a")
        nodes.drawn["p"] = 4 * BUDGET
        nodes.clock.advance(10.0)
        spent = 0
        for _ in range(3):
            spent += await nodes.spend("a")
        assert spent == BUDGET

    async def test_draw_long_after_an_outage_needs_no_confirmation(self):
        """Guards against refusals in calm while loan servers are lost."""
        nodes = Nodes("a")
        nodes.clock.advance(10.0)
        nodes.is_log_complete = False
        assert await nodes.spend("a") == MAX_TOKENS

    async def test_nothing_is_lent_without_the_loan_log(self):
        """Guards against loans that are unknown after a restart."""
        nodes = Nodes("a")
        nodes.store.is_down = nodes.is_outage = True
        nodes.has_loan_log = False
        with pytest.raises(OverloadedError):
            await nodes.spend("a", may_lend=True)

    async def test_stopping_node_returns_unspent_tokens(self):
        """Guards against budgets that shrink with each planned restart."""
        nodes = Nodes("a", "b")
        await nodes.spend("a", 10)
        await nodes.accounts["a"].close()
        del nodes.accounts["a"]
        spent = 10
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("b", 70)
        assert spent > BUDGET - MAX_TOKENS

    async def test_unreadable_record_counts_as_spent(self):
        """Guards against a budget that is full again because its record is corrupt."""
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
                    ["turn", "turn", "lend", "lend", "restart", "outage", "recovery"]
                ),
                st.integers(0, MAX_TOKENS),
            ),
            max_size=60,
        )
    )
    def test_any_order_of_turns_restarts_and_outages(self, steps):
        """Guards against turns, restarts and outages that exceed the budget."""

        async def run_steps() -> int:
            nodes, spent = Nodes("a", "b", "c"), 0
            for name, step, used in steps:
                nodes.clock.advance(0.5)
                if step == "restart":
                    nodes.restart(name)
                elif step in ("outage", "recovery"):
                    nodes.store.is_down = nodes.is_outage = step == "outage"
                else:
                    may_lend = step == "lend"
                    try:
                        spent += await nodes.spend(name, used, may_lend=may_lend)
                    except (BudgetExceededError, OverloadedError, StoreError):
                        continue
            return spent

        assert asyncio.run(run_steps()) <= BUDGET + MAX_TOKENS


class TestLostLenders:
    """Loans that only the loan log has, because their lenders have ended."""

    async def test_are_known_before_a_draw(self, monkeypatch):
        """Guards against loans that could not be read and count as none."""
        monkeypatch.setattr(_accounts, "_LOANS_TIMEOUT", 0.01)
        nodes = Nodes("a", "b")
        await self._lend_and_end(nodes, "a")
        nodes.are_loans_known.clear()
        # Long after the start: no time makes an unread loan known.
        nodes.clock.advance(100.0)
        for _ in range(3):
            with pytest.raises(OverloadedError, match="loan servers"):
                await nodes.spend("b")
        nodes.are_loans_known.set()
        spent = 0
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                spent += await nodes.spend("b", MAX_TOKENS)
        assert spent == BUDGET - MAX_TOKENS

    async def _lend_and_end(self, nodes: Nodes, name: str) -> None:
        nodes.store.is_down = nodes.is_outage = True
        await nodes.spend(name, 10, may_lend=True)
        nodes.store.is_down = nodes.is_outage = False
        nodes.clock.advance(6.0)
        nodes.restart(name)

    async def test_are_settled_by_other_nodes(self):
        """Guards against loans that are on disks alone until their program returns."""
        nodes = Nodes("a", "b")
        await self._lend_and_end(nodes, "a")
        await nodes.accounts["b"].settle_lost_loans()
        nodes.loans.clear()
        with pytest.raises(BudgetExceededError):
            for _ in range(100):
                await nodes.spend("b", MAX_TOKENS)
        assert nodes.accounts["b"]._accounts["p"].total_drawn == BUDGET

    async def test_add_up_if_one_was_settled_before(self):
        """Guards against loans of a second lender that hide behind the first one's."""
        nodes = Nodes("a", "b", "c")
        await self._lend_and_end(nodes, "a")
        await nodes.accounts["c"].settle_lost_loans()
        nodes.loans.clear()
        await self._lend_and_end(nodes, "b")
        for name in "ca":
            await nodes.accounts[name].settle_lost_loans()
        nodes.loans.clear()
        assert nodes.accounts["c"]._accounts["p"].total_drawn == 2 * MAX_TOKENS

    async def test_are_settled_once(self):
        """Guards against a call to the store for each look at the loan log."""
        nodes = Nodes("a", "b")
        await self._lend_and_end(nodes, "a")
        calls = nodes.store.calls
        for _ in range(5):
            await nodes.accounts["b"].settle_lost_loans()
        assert nodes.store.calls == calls + 1
        # Another node finds them in the record and leaves it at that.
        await nodes.accounts["a"].settle_lost_loans()
        assert nodes.accounts["a"]._accounts["p"].total_drawn == MAX_TOKENS


class TestFormerOwners:
    """Tokens that former owners of an account hold, whether they answer or not."""

    async def _move_program(self) -> Nodes:
        """Let ``a`` draw half of the budget, spend little, and ``b`` take over."""
        nodes = Nodes("a", "b")
        await nodes.spend("a", 10)
        await nodes.spend("b")
        return nodes

    async def test_without_an_answer_hold_an_unknown_number(self):
        """Guards against programs ended by 402 while their owner is not heard."""
        nodes = await self._move_program()
        nodes.cut_off = {"a"}
        for _ in range(5):
            with pytest.raises(OverloadedError, match="a; retry"):
                await nodes.spend("b")
            nodes.clock.advance(0.3)
        nodes.cut_off = set()
        assert await nodes.spend("b") == MAX_TOKENS

    async def test_that_have_ended_hold_none(self):
        """Guards against programs that are never told that their budget is spent."""
        nodes = await self._move_program()
        del nodes.accounts["a"]
        with pytest.raises(BudgetExceededError):
            await nodes.spend("b")

    async def test_hand_over_once_if_an_answer_is_lost(self):
        """Guards against tokens that are lost with an answer, and 402 for them."""
        nodes = await self._move_program()
        nodes.lost_answers = 3
        for _ in range(3):
            with pytest.raises(OverloadedError):
                await nodes.spend("b")
        assert await nodes.spend("b") == MAX_TOKENS
        held = [nodes.accounts[name].hand_over("p", BUDGET) for name in "ab"]
        assert sum(held) == BUDGET - 10 - 2 * MAX_TOKENS

    async def test_name_the_nodes_that_asked_before(self):
        """Guards against 402 for tokens of a node that the record does not name."""
        nodes = Nodes("a", "b", "c")
        # ``a`` draws the whole budget, and ``b`` takes over what is left of it.
        for used in (10, MAX_TOKENS, 10):
            await nodes.spend("a", used)
        await nodes.spend("b", 10)
        assert not nodes.accounts["b"]._accounts["p"].own_drawn
        with contextlib.suppress(OverloadedError):
            await nodes.spend("c", 10)
        assert await nodes.spend("c", 10) == 10

    async def test_with_loans_hand_over_later(self):
        """Guards against lent tokens that count as none while they are not settled."""
        nodes = Nodes("a")
        nodes.store.is_down = nodes.is_outage = True
        await nodes.spend("a", 10, may_lend=True)
        with pytest.raises(OverloadedError):
            nodes.accounts["a"].hand_over("p", BUDGET)
        nodes.store.is_down = nodes.is_outage = False
        nodes.clock.advance(6.0)
        await nodes.accounts["a"].settle_loans()
        assert nodes.accounts["a"].hand_over("p", BUDGET) > 0


class _StepStore(MemoryStore):
    """Calls ``between`` after each write has taken effect and before its answer."""

    between: Callable[[], None] | None = None

    async def write_all(self, writes: Sequence[Write]) -> int | tuple[Entry, ...]:
        result = await super().write_all(writes)
        if self.between is not None:
            self.between()
        return result


class TestWritesInProgress:
    """What happens to an account between a write and its answer."""

    def _make_nodes(self) -> tuple[Nodes, _StepStore]:
        nodes = Nodes()
        nodes.store = store = _StepStore()
        for name in ("a", "b"):
            nodes.restart(name)
        return nodes, store

    async def test_tokens_being_returned_are_not_handed_over(self):
        """Guards against a budget spent twice around a planned restart."""
        nodes, store = self._make_nodes()
        await nodes.spend("a", 10)
        handed_over: list[int] = []
        store.between = lambda: handed_over.append(
            nodes.accounts["a"].hand_over("p", BUDGET)
        )
        await nodes.accounts["a"].close()
        assert handed_over == [0]

    async def test_lost_answer_to_a_return_makes_no_tokens_available(self):
        """Guards against tokens that are unspent in the store and held by a node."""
        nodes, store = self._make_nodes()
        await nodes.spend("a", 10)
        store.lose_answers = 1
        await nodes.accounts["a"].close()
        assert nodes.accounts["a"].hand_over("p", BUDGET) == 0

    async def test_refused_return_leaves_the_tokens_to_other_nodes(self):
        """Guards against budgets that shrink because the store is unavailable."""
        nodes, store = self._make_nodes()
        await nodes.spend("a", 10)
        store.is_down = True
        await nodes.accounts["a"].close()
        assert nodes.accounts["a"].hand_over("p", BUDGET) > 0

    async def test_turn_beside_the_end_of_an_idle_account_draws_anew(self):
        """Guards against turns paid from a record that has been removed."""
        nodes, store = self._make_nodes()
        await nodes.spend("a", 10)
        nodes.clock.advance(200.0)
        turns: list[asyncio.Task[int]] = []

        def begin_turn() -> None:
            if not turns:
                turns.append(asyncio.ensure_future(nodes.spend("a")))

        store.between = begin_turn
        await nodes.accounts["a"]._expire()
        await turns[0]
        spent = MAX_TOKENS
        with pytest.raises(BudgetExceededError):
            for _ in range(10):
                spent += await nodes.spend("a")
        assert spent <= BUDGET

    async def test_account_that_is_opened_again_has_no_tokens(self):
        """Guards against drawn tokens that are granted again after a pause."""
        nodes, _ = self._make_nodes()
        spent = await nodes.spend("a")
        nodes.clock.advance(200.0)
        spent += await nodes.spend("b")
        # Another node has changed the record, so it stays.
        await nodes.accounts["a"]._expire()
        with pytest.raises(BudgetExceededError):
            for _ in range(10):
                spent += await nodes.spend("a")
        assert spent <= BUDGET

    async def test_report_beside_a_draw_does_not_end_the_node(self):
        """Guards against a node that ends because the record was replaced."""
        nodes, _ = self._make_nodes()
        accounts = nodes.accounts["a"]
        log = nodes.drawn

        class ReportingLog(MemoryLoanLog):
            async def append_draw(
                self, program: str, drawn: int, *, must_confirm: bool = False
            ) -> LoanTotals:
                accounts.report_drawn(program, BUDGET, BUDGET - 1)
                return await super().append_draw(program, drawn)

        accounts._loan_log = ReportingLog(nodes, "a-1")
        await nodes.spend("a")
        assert log["p"] <= BUDGET
