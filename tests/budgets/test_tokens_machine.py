"""Model test: each token of a program is in one place, in any order of events."""

import asyncio
import contextlib
from collections.abc import Sequence

import msgspec
from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from fireflyspread.budgets import (
    BudgetAccounts,
    Grant,
    HandOver,
    LoanLog,
    LoanTotals,
    ProgramRecord,
    WriteHelpers,
)
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import (
    FireflyError,
    OverloadedError,
    PeerError,
    StoreUncertainError,
)
from fireflyspread.recovery import Entry, Write
from tests.budgets.hand_overs import answer_hand_over
from tests.budgets.held_calls import HeldCalls, HeldStore, ManualLoop
from tests.effort import scale_examples

PROGRAM = "p"
BUDGET = 100
NAMES = ("a", "b", "c")
TOKENS = st.sampled_from([10, 25, 60])


class _NoLoans(LoanLog):
    """Loan log that knows of no loans and accepts none."""

    def get_lost_loans(self, program: str) -> dict[str, int]:
        return {}

    async def append_loan(
        self, program: str, tokens: int, *, budget: int = 0
    ) -> LoanTotals | None:
        return None

    async def append_draw(
        self, program: str, drawn: int, *, must_confirm: bool = False
    ) -> LoanTotals:
        await asyncio.sleep(0)
        return LoanTotals(0, drawn)


@define(eq=False)
class _Turn:
    node: str
    incarnation: int
    task: asyncio.Task[Grant]
    granted: int = field(default=0)


class _Helpers(WriteHelpers):
    """The other nodes, whose writes take effect and return when the test says so."""

    def __init__(self, store: HeldStore, node: str) -> None:
        self._store = store
        self._others = [name for name in NAMES if name != node]

    def choose(self, count: int) -> Sequence[str]:
        return self._others[:count]

    async def write_all(
        self, node: str, writes: Sequence[Write]
    ) -> int | tuple[Entry, ...]:
        # An answer is lost between the two nodes, or between the other and the store.
        try:
            return await self._store.write_all(writes)
        except StoreUncertainError as exc:
            raise PeerError("no answer from the other node") from exc


class TokensMachine(RuleBasedStateMachine):
    """Three nodes, one program; the test decides when calls take effect and return."""

    has_helpers = False

    @initialize()
    def start(self) -> None:
        self.loop = ManualLoop()
        asyncio.set_event_loop(self.loop)
        self.clock = ManualClock()
        self.calls = HeldCalls()
        self.store = HeldStore(self.calls)
        self.nodes: dict[str, BudgetAccounts] = {}
        self.incarnations = dict.fromkeys(NAMES, 0)
        self.turns: list[_Turn] = []
        self.spent = 0
        self.known_drawn = 0
        for name in NAMES:
            self._start_node(name)

    def _start_node(self, name: str) -> None:
        async def request_hand_over(
            node: str,
            program: str,
            amount: int,
            drawn: dict[str, int],
            request: str,
        ) -> HandOver:
            target = self.nodes[node]

            async def hand_over() -> HandOver:
                return answer_hand_over(target, program, amount, drawn, request)

            return await self.calls.run(hand_over)

        self.incarnations[name] += 1
        self.nodes[name] = BudgetAccounts(
            self.store,
            node=name,
            clock=self.clock,
            request_hand_over=request_hand_over,
            loan_log=_NoLoans(),
            is_outage=lambda: False,
            helpers=_Helpers(self.store, name) if self.has_helpers else None,
        )

    def _settle(self, seconds: float = 0.0) -> None:
        self.clock.advance(seconds)
        self.loop.settle(seconds)
        for turn in list(self.turns):
            if turn.granted or not turn.task.done():
                continue
            if turn.task.exception() is None:
                turn.granted = turn.task.result().tokens
                self.known_drawn = max(self.known_drawn, turn.task.result().drawn)
            else:
                assert isinstance(turn.task.exception(), FireflyError)
                self.turns.remove(turn)

    @rule(
        name=st.sampled_from(NAMES),
        tokens=TOKENS,
        max_wait=st.sampled_from([None, None, 0.05]),
    )
    def begin_turn(self, name: str, tokens: int, max_wait: float | None) -> None:
        work = self.nodes[name].grant(PROGRAM, BUDGET, tokens, max_wait=max_wait)
        task = self.loop.create_task(work)
        self.turns.append(_Turn(name, self.incarnations[name], task))
        self._settle()

    @precondition(lambda self: any(turn.granted for turn in self.turns))
    @rule(data=st.data(), fraction=st.sampled_from([0.0, 0.5, 1.0]))
    def end_turn(self, data: st.DataObject, fraction: float) -> None:
        turn = data.draw(st.sampled_from([t for t in self.turns if t.granted]))
        self.turns.remove(turn)
        used = int(turn.granted * fraction)
        self.spent += used
        if self.incarnations[turn.node] == turn.incarnation:
            self.nodes[turn.node].return_tokens(PROGRAM, turn.granted - used)

    @precondition(lambda self: any(not c.has_effect for c in self.calls.calls))
    @rule(data=st.data(), is_refused=st.sampled_from([False, False, False, True]))
    def let_a_call_take_effect(self, data: st.DataObject, is_refused: bool) -> None:
        call = data.draw(
            st.sampled_from([c for c in self.calls.calls if not c.has_effect])
        )
        call.effect.set_result(self.store.make_refusal() if is_refused else None)
        self._settle()

    @precondition(lambda self: any(c.has_effect for c in self.calls.calls))
    @rule(data=st.data(), is_lost=st.sampled_from([False, False, False, True]))
    def answer_a_call(self, data: st.DataObject, is_lost: bool) -> None:
        call = data.draw(st.sampled_from([c for c in self.calls.calls if c.has_effect]))
        loss = StoreUncertainError("no answer; retry") if is_lost else None
        call.answer.set_result(loss)
        self._settle()

    @rule(seconds=st.sampled_from([0.01, 0.1, 0.5]))
    def wait(self, seconds: float) -> None:
        self._settle(seconds)

    @rule(name=st.sampled_from(NAMES))
    def return_to_store(self, name: str) -> None:
        # Unlike a real node, this one goes on with all that is in progress.
        task = self.loop.create_task(self.nodes[name].close())
        task.add_done_callback(lambda done: done.cancelled() or done.result())
        self._settle()

    @rule(name=st.sampled_from(NAMES), node=st.sampled_from(NAMES))
    def hand_over(self, name: str, node: str) -> None:
        """Let a node ask another one for tokens without a turn."""
        record = self._read_record()
        drawn = {} if record is None else record.drawn
        # Refused while the tokens are not confirmed.
        with contextlib.suppress(OverloadedError):
            self.nodes[node].hand_over(PROGRAM, 7, drawn)

    @rule(name=st.sampled_from(NAMES))
    def report_drawn(self, name: str) -> None:
        self.nodes[name].report_drawn(PROGRAM, BUDGET, self.known_drawn)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        for turn in list(self.turns):
            if turn.node == name and not turn.granted:
                turn.task.cancel()
                self.turns.remove(turn)
        self._start_node(name)
        self._settle()

    def _read_record(self) -> ProgramRecord | None:
        entries = list(self.store.entries.values())
        if not entries:
            return None
        return msgspec.json.decode(entries[0].value, type=ProgramRecord)

    @invariant()
    def no_token_is_in_two_places(self) -> None:
        """Guards against tokens that are unspent in the store and held by a node."""
        record = self._read_record()
        drawn = 0 if record is None else sum(record.drawn.values())
        running = sum(turn.granted for turn in self.turns)
        held = sum(
            account.available
            for node in self.nodes.values()
            for account in node._accounts.values()
        )
        assert self.spent + running + held <= drawn <= BUDGET

    def teardown(self) -> None:
        for turn in self.turns:
            turn.task.cancel()
        for call in tuple(self.calls.calls):
            if not call.has_effect:
                call.effect.set_result(self.store.make_refusal())
            elif not call.answer.done():
                call.answer.set_result(PeerError("the test has ended"))
        self.loop.settle()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.settle()
        self.loop.close()
        asyncio.set_event_loop(None)


TestTokensMachine = TokensMachine.TestCase
TestTokensMachine.settings = settings(
    max_examples=scale_examples(300),
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
)


class HelpedTokensMachine(TokensMachine):
    """The same, with nodes that write for one another if the store refuses a write."""

    has_helpers = True


TestHelpedTokensMachine = HelpedTokensMachine.TestCase
TestHelpedTokensMachine.settings = TestTokensMachine.settings
