"""Tests of accounts of nodes that the store refuses and that write through others."""

import asyncio
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyspread.budgets import BudgetAccounts, HandOver, WriteHelpers
from fireflyspread.exceptions import FireflyError, PeerError, StoreError
from fireflyspread.recovery import Entry, Write
from tests.budgets.hand_overs import answer_hand_over
from tests.budgets.test_accounts import BUDGET, MAX_TOKENS, MemoryLoanLog, Nodes
from tests.effort import scale_examples
from tests.recovery.snapshot_store import MemoryStore

NAMES = ("a", "b", "c")


class _View(MemoryStore):
    """The shared store as one node reaches it."""

    def __init__(self, nodes: "HelpedNodes", name: str) -> None:
        super().__init__()
        self._nodes = nodes
        self._name = name

    async def write_all(self, writes: Sequence[Write]) -> int | tuple[Entry, ...]:
        if self._name in self._nodes.refused:
            raise StoreError("the store refuses this node; retry")
        return await self._nodes.store.write_all(writes)


class _Helpers(WriteHelpers):
    def __init__(self, nodes: "HelpedNodes", name: str) -> None:
        self._nodes = nodes
        self._others = [each for each in NAMES if each != name]

    def choose(self, count: int) -> Sequence[str]:
        return self._others[:count]

    async def write_all(
        self, node: str, writes: Sequence[Write]
    ) -> int | tuple[Entry, ...]:
        if node in self._nodes.refused:
            raise StoreError("the store refuses the other node; retry")
        result = await self._nodes.store.write_all(writes)
        if self._nodes.lose_helpers_answers:
            self._nodes.lose_helpers_answers -= 1
            raise PeerError("no answer from the other node")
        return result


class HelpedNodes(Nodes):
    """Nodes each of which the store may refuse."""

    def __init__(self) -> None:
        self.refused: set[str] = set()
        self.lose_helpers_answers = 0
        super().__init__(*NAMES)

    def restart(self, name: str) -> BudgetAccounts:
        async def hand_over(
            node: str,
            program: str,
            amount: int,
            drawn: dict[str, int],
            request: str,
        ) -> HandOver:
            return answer_hand_over(
                self.accounts[node], program, amount, drawn, request
            )

        self.starts[name] = self.starts.get(name, 0) + 1
        self.accounts[name] = BudgetAccounts(
            _View(self, name),
            node=name,
            clock=self.clock,
            request_hand_over=hand_over,
            loan_log=MemoryLoanLog(self, f"{name}-{self.starts[name]}"),
            is_outage=lambda: self.is_outage,
            helpers=_Helpers(self, name),
        )
        return self.accounts[name]


class TestHelpedAccounts:
    async def test_refused_owner_serves_its_program_to_the_end(self):
        """Guards against programs that end because the store refuses their owner."""
        nodes = HelpedNodes()
        nodes.refused.add("a")
        for _ in range(BUDGET // MAX_TOKENS):
            await nodes.spend("a")
            nodes.clock.advance(0.1)
        assert nodes.accounts["a"].writer.helped >= 2

    async def test_owner_knows_who_holds_tokens_after_a_report(self):
        """Guards against programs that end while another node holds their tokens.

        A report names the tokens drawn, but not who drew them.
        """
        nodes = HelpedNodes()
        spent = await nodes.spend("a", 10)
        nodes.clock.advance(1.0)
        grant = await nodes.accounts["b"].grant("p", BUDGET, MAX_TOKENS)
        nodes.accounts["b"].return_tokens("p", MAX_TOKENS)
        nodes.accounts["a"].report_drawn("p", BUDGET, grant.drawn)
        while spent + MAX_TOKENS <= BUDGET:
            spent += await nodes.spend("a", 70)

    async def test_draw_whose_answer_is_lost_on_the_way_back_is_credited(self):
        """Guards against a draw that is made twice or lost with a helper's answer."""
        nodes = HelpedNodes()
        nodes.refused.add("a")
        nodes.lose_helpers_answers = 1
        spent = 0
        for _ in range(BUDGET // MAX_TOKENS):
            spent += await nodes.spend("a")
            nodes.clock.advance(0.1)
        assert spent == BUDGET

    async def test_refused_node_returns_tokens_through_another(self):
        """Guards against budgets that shrink when a refused node stops."""
        nodes = HelpedNodes()
        spent = await nodes.spend("a", 10)
        nodes.refused.add("a")
        await nodes.accounts["a"].close()
        nodes.restart("a")
        nodes.clock.advance(1.0)
        while spent + MAX_TOKENS <= BUDGET:
            spent += await nodes.spend("b", 70)

    @settings(max_examples=scale_examples(200), deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(NAMES),
                st.sampled_from(
                    [
                        *("turn", "turn", "lend", "lend", "restart", "stop"),
                        *("outage", "recovery", "refuse", "accept", "lose", "report"),
                    ]
                ),
                st.integers(0, MAX_TOKENS),
                st.sampled_from([0.0, 0.1, 0.5]),
            ),
            max_size=60,
        )
    )
    def test_any_order_of_refusals_and_outages(self, steps):
        """Guards against refusals, lost answers and outages that exceed the budget."""
        assert asyncio.run(_run_steps(steps)) <= BUDGET + MAX_TOKENS


async def _run_steps(steps: list[tuple[str, str, int, float]]) -> int:
    nodes, spent = HelpedNodes(), 0
    for name, step, used, seconds in steps:
        nodes.clock.advance(seconds)
        if step == "restart":
            nodes.restart(name)
        elif step == "stop":
            await nodes.accounts[name].close()
            nodes.restart(name)
        elif step in ("outage", "recovery"):
            nodes.store.is_down = nodes.is_outage = step == "outage"
        elif step == "refuse":
            nodes.refused.add(name)
        elif step == "accept":
            nodes.refused.discard(name)
        elif step == "lose":
            nodes.lose_helpers_answers = 1
        elif step == "report":
            nodes.accounts[name].report_drawn("p", BUDGET, nodes.drawn.get("p", 0))
        else:
            try:
                spent += await nodes.spend(name, used, may_lend=step == "lend")
            except FireflyError:
                continue
    return spent
