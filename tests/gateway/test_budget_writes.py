"""Tests of writes of budget records through other nodes."""

import asyncio
from types import SimpleNamespace

import msgspec
import pytest

from fireflyspread.budgets import BudgetWriter, Grant
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import (
    OverloadedError,
    PeerError,
    PeerUnreadyError,
    StoreError,
    StoreUncertainError,
)
from fireflyspread.gateway._budget_writes import (
    NodeWriteHelpers,
    register_write_handler,
)
from fireflyspread.gateway._peers import (
    ConfigExchange,
    NodeBudgetPeers,
    register_budget_handlers,
)
from fireflyspread.nodes import (
    BudgetReserved,
    BudgetWrite,
    ConfigFetched,
    ReserveBudget,
    WriteBudgets,
    decode_message,
    encode_message,
)
from fireflyspread.recovery import Write, WriteConflictError
from tests.recovery.snapshot_store import MemoryStore


class _Nodes:
    """Nodes ``a`` to ``d`` with stores of their own view; stands in for the client."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore()
        self.stores = {name: _View(self.store) for name in "abcd"}
        self.writers: dict[str, BudgetWriter] = {}
        self.handlers: dict[str, dict] = {}
        self.asked: list[str] = []
        self.lose_answers = False
        for name in "abcd":
            helpers = NodeWriteHelpers(
                self,
                SimpleNamespace(get_peer_address=lambda each: each),
                node=name,
                clock=self.clock,
                list_members=lambda: list("abcd"),
            )
            writer = BudgetWriter(self.stores[name], self.clock, helpers)
            self.writers[name] = writer
            self.handlers[name] = {}
            server = SimpleNamespace(register=self.handlers[name].__setitem__)
            register_write_handler(server, self.stores[name], writer, node=name)

    async def ask(self, address, message, *, timeout):
        self.asked.append(address)
        message = decode_message(encode_message(message))
        answer = await self.handlers[address][type(message)](message)
        if self.lose_answers:
            raise PeerError("no answer")
        return decode_message(encode_message(answer))


class _View(MemoryStore):
    """The shared store as one node reaches it."""

    def __init__(self, store: MemoryStore) -> None:
        super().__init__()
        self._shared = store
        self.error: StoreError | None = None

    async def write_all(self, writes):
        if self.error is not None:
            raise self.error
        return await self._shared.write_all(writes)


class TestWritesThroughOthers:
    async def test_refused_node_writes_through_one_other(self):
        """Guards against owners that hand over their accounts when refused."""
        nodes = _Nodes()
        nodes.stores["a"].error = StoreError("refused")
        revision = await nodes.writers["a"].write(Write("programs/p", b"1", 0))
        assert nodes.store.entries["programs/p"].revision == revision
        assert len(nodes.asked) == 1
        assert nodes.writers["a"].helped == 1

    async def test_conflict_returns_the_record(self):
        """Guards against an owner that cannot read what another node has drawn."""
        nodes = _Nodes()
        nodes.store.put("programs/p", b"theirs")
        nodes.stores["a"].error = StoreError("refused")
        with pytest.raises(WriteConflictError) as caught:
            await nodes.writers["a"].write(Write("programs/p", b"1", 0))
        assert caught.value.entry == nodes.store.entries["programs/p"]

    async def test_helper_that_is_refused_too_is_not_asked_again(self):
        """Guards against writes that wait for nodes which cannot help."""
        nodes = _Nodes()
        first = nodes.writers["a"]._helped_store._helpers.choose(1)[0]
        for name in ("a", first):
            nodes.stores[name].error = StoreError("refused")
        await nodes.writers["a"].write(Write("programs/p", b"1", 0))
        await nodes.writers["a"].write(Write("programs/q", b"1", 0))
        assert nodes.asked.count(first) == 1

    async def test_nobody_is_asked_for_a_while_after_all_have_refused(self):
        """Guards against messages and store calls that grow with an outage."""
        nodes = _Nodes()
        for view in nodes.stores.values():
            view.error = StoreError("refused")
        for _ in range(20):
            with pytest.raises(StoreError):
                await nodes.writers["a"].write(Write("programs/p", b"1", 0))
        assert len(nodes.asked) == 2
        nodes.clock.advance(0.3)
        for view in nodes.stores.values():
            view.error = None
        await nodes.writers["a"].write(Write("programs/p", b"1", 0))

    async def test_return_without_an_answer_is_not_repeated(self):
        """Guards against tokens that are returned and spent.

        Another node may draw returned tokens as soon as the write has taken effect.
        """
        nodes = _Nodes()
        nodes.stores["a"].error = StoreUncertainError("no answer")
        with pytest.raises(StoreUncertainError):
            await nodes.writers["a"].write_once(Write("programs/p", b"1", 0))
        assert not nodes.asked
        nodes.stores["a"].error = StoreError("refused")
        nodes.lose_answers = True
        with pytest.raises(StoreUncertainError):
            await nodes.writers["a"].write_once(Write("programs/p", b"1", 0))
        assert len(nodes.asked) == 1

    async def test_helper_writes_budget_records_only(self):
        """Guards against a message that changes other keys of the store."""
        nodes = _Nodes()
        write = BudgetWrite(record="../op/config", value=b"1", revision=0)
        await nodes.ask("b", WriteBudgets(node="a", writes=(write,)), timeout=1.0)
        assert all(key.startswith("programs/") for key in nodes.store.entries)

    async def test_helper_makes_few_writes_at_the_same_time(self):
        """Guards against a slow store that takes all message handlers of a node."""
        nodes = _Nodes()
        go_on = asyncio.Event()

        async def wait(writes):
            await go_on.wait()
            return 1

        nodes.stores["b"].write_all = wait
        write = BudgetWrite(record="p", value=b"1", revision=0)
        message = WriteBudgets(node="a", writes=(write,))
        asks = [
            asyncio.ensure_future(nodes.ask("b", message, timeout=1.0))
            for _ in range(10)
        ]
        await asyncio.sleep(0)
        go_on.set()
        answers = await asyncio.gather(*asks)
        assert sum(answer.revision == 1 for answer in answers) == 4
        assert {answer.code for answer in answers} == {"", StoreError.code}


class TestStartingNode:
    @pytest.mark.parametrize("has_read_members", [False, True])
    async def test_leaves_its_programs_to_others(self, has_read_members):
        """Guards against a node without members that decides about budgets."""
        handlers: dict = {}
        server = SimpleNamespace(register=handlers.__setitem__)

        async def grant(*args, **options):
            return Grant(10, True, 10)

        accounts = SimpleNamespace(
            grant=grant,
            report_drawn=lambda *args: None,
            writer=SimpleNamespace(has_helpers=True),
        )
        register_budget_handlers(
            server, accounts, node="b", is_ready=lambda: has_read_members
        )

        async def ask(address, message, *, timeout):
            return await handlers[type(message)](message)

        peers = NodeBudgetPeers(
            SimpleNamespace(ask=ask),
            SimpleNamespace(get_peer_address=lambda name: name),
            node="a",
        )
        if has_read_members:
            await peers.grant("b", "p", 100, 10, may_lend=True, max_wait=0.15)
            await peers.report_drawn("b", "p", 100, 10)
            return
        with pytest.raises(PeerUnreadyError):
            await peers.grant("b", "p", 100, 10, may_lend=True, max_wait=0.15)
        with pytest.raises(PeerError):
            await peers.report_drawn("b", "p", 100, 10)


class TestEarlierReleases:
    """Messages of nodes that do not know the new fields."""

    def _make_peers(self, answer: BudgetReserved) -> NodeBudgetPeers:
        async def ask(address, message, *, timeout):
            fields = msgspec.msgpack.decode(encode_message(answer))
            fields.pop("has_helpers" if not answer.has_helpers else "", None)
            return decode_message(msgspec.msgpack.encode(fields))

        roster = SimpleNamespace(get_peer_address=lambda name: name)
        return NodeBudgetPeers(SimpleNamespace(ask=ask), roster, node="a")

    @pytest.mark.parametrize(
        ("has_helpers", "expected"), [(False, StoreError), (True, OverloadedError)]
    )
    async def test_other_nodes_draw_only_for_an_earlier_release(
        self, has_helpers, expected
    ):
        """Guards against programs that stop during an update of the nodes."""
        answer = BudgetReserved(
            tokens=0, code=StoreError.code, reason="refused", has_helpers=has_helpers
        )
        peers = self._make_peers(answer)
        with pytest.raises(expected):
            await peers.grant("b", "p", 100, 10, may_lend=True, max_wait=0.15)

    def test_request_without_the_new_field_is_decoded(self):
        """Guards against requests of an earlier release that are rejected."""
        fields = msgspec.msgpack.decode(
            encode_message(ReserveBudget(program="p", budget=9, most=3))
        )
        del fields["max_wait"]
        message = decode_message(msgspec.msgpack.encode(fields))
        assert message.max_wait == 0.0


class TestConfigExchange:
    def _make(self, away: set[str]) -> tuple[ConfigExchange, list[str]]:
        asked: list[str] = []
        names = [f"n{number}" for number in range(95)]

        async def ask(address, message, *, timeout):
            asked.append(address)
            return ConfigFetched(
                node=address, config_version=1, is_away=address in away
            )

        exchange = ConfigExchange(
            SimpleNamespace(ask=ask),
            SimpleNamespace(
                list_peers=lambda: [SimpleNamespace(peers=name) for name in names]
            ),
            SimpleNamespace(version=1),
            node="a",
            is_store_unavailable=lambda: True,
            decode=lambda _: None,
            clock=ManualClock(),
        )
        return exchange, asked

    async def test_refused_node_asks_few_others(self):
        """Guards against a message to every node in each round of a refusal."""
        exchange, asked = self._make({f"n{number}" for number in range(31)})
        await exchange._ask_all()
        assert len(asked) <= 48
        assert not exchange.is_outage()

    async def test_outage_is_known_only_from_a_majority(self):
        """Guards against loans of nodes that are cut off together."""
        exchange, asked = self._make({f"n{number}" for number in range(95)})
        await exchange._ask_all()
        assert len(asked) == 95
        assert exchange.is_outage()
