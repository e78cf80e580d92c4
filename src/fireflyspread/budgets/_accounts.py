"""Draws programs' budgets from the store and grants them turn by turn."""

import asyncio
import itertools
import logging
import secrets
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import frozen

from fireflyspread.budgets._account import (
    Account,
    ProgramRecord,
    Refill,
    make_lost_process,
    make_process_id,
)
from fireflyspread.budgets._hand_over import HandOvers, RequestHandOver
from fireflyspread.budgets._loan_log import LoanLog, LoanTotals
from fireflyspread.budgets._records import (
    count_live_loans,
    decode_record,
    encode_record,
    make_lost_record,
    make_record_key,
)
from fireflyspread.budgets._writer import BudgetWriter, WriteHelpers
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    BudgetExceededError,
    FireflyError,
    OverloadedError,
    StoreError,
    StoreUncertainError,
)
from fireflyspread.recovery import Entry, SnapshotStore, Write, WriteConflictError

__all__ = ["BudgetAccounts", "Grant"]

_LOG = logging.getLogger(__name__)

# Part of the budget that one draw takes. Most programs need one draw, and half of the
# budget is left for the node that takes over if this one fails.
_DRAW_FRACTION = 0.5
# Smallest part of the budget that one loan takes, so that a program needs few loans.
_MIN_LOAN_FRACTION = 0.25
# Attempts to draw for one turn; each conflict means that another node has drawn.
_MAX_DRAW_ATTEMPTS = 6
# Seconds without a turn after which an account is dropped. Programs may resume within
# a minute.
_IDLE_TIMEOUT = 150.0

# Seconds between checks for idle accounts, and between writes of loans to the store.
_EXPIRE_INTERVAL = 10.0
_FLUSH_INTERVAL = 0.1
# The same for loans of lost nodes.
_LOST_LOANS_INTERVAL = 0.5
# Seconds after which to retry a turn for which this node must not lend.
_RETRY_AFTER = 0.3
# Seconds after an outage, or after the start of the process, for which other nodes may
# have lent tokens that they have not drawn. Lenders draw them within a second.
_LOAN_SECONDS = 5.0
# Seconds that a draw waits for the loans of lost nodes to be read, which takes a few
# milliseconds.
_LOANS_TIMEOUT = 0.5
# Attempts to log a draw that is not on enough loan servers, and seconds between the
# first ones and at most; about a minute in all.
_LOG_ATTEMPTS = 20
_MIN_LOG_INTERVAL = 0.2
_MAX_LOG_INTERVAL = 5.0


@frozen
class Grant:
    """Tokens reserved for one turn.

    Attributes
    ----------
    is_new : bool
        Whether the program has spent no tokens yet and runs no other turn.
    drawn : int
        Tokens that all nodes are known to have drawn from the store.
    """

    tokens: int
    is_new: bool
    drawn: int = 0


class BudgetAccounts:
    """Budget accounts of the programs that this node owns.

    A node grants only tokens that it has drawn from the program's record in the store
    by compare-and-swap, or that another node has handed over. Therefore no network
    partition, restart or loss of nodes lets a program exceed its budget: tokens drawn
    by a lost node count as spent.

    Each account draws under a name of its own. If an account is opened again, what the
    one before has drawn counts as spent.

    While the store is unavailable, a node lends. A loan is written to the loan log
    first, and to the store when that is available again. Loans of lost nodes count as
    drawn.

    Parameters
    ----------
    loan_log : LoanLog
        Log of loans and draws.
    is_outage : callable
        Returns whether the store is known to be unavailable to all nodes. Only then may
        a node lend, because no other node can draw for the program at the same time.
    helpers : WriteHelpers or None
        Nodes that write records while the store does not accept this node's writes.
    owns : callable
        Returns whether this node writes the loans of lost nodes to a program. Several
        nodes may write the same ones.

    Attributes
    ----------
    writer : BudgetWriter
        Writes the records.
    """

    def __init__(
        self,
        store: SnapshotStore,
        *,
        node: str,
        clock: Clock,
        request_hand_over: RequestHandOver,
        loan_log: LoanLog,
        is_outage: Callable[[], bool],
        helpers: WriteHelpers | None = None,
        owns: Callable[[str], bool] = lambda program: True,
    ) -> None:
        self._owns = owns
        # Loans of lost nodes that the store is known to have, by program and lender.
        self._settled: dict[str, dict[str, int]] = {}
        self.writer = BudgetWriter(store, clock, helpers)
        self._node = node
        self._clock = clock
        self._hand_overs = HandOvers(request_hand_over, node=node, clock=clock)
        self._loan_log = loan_log
        self._log_tasks: set[asyncio.Task[Any]] = set()
        self._is_outage = is_outage
        self._accounts: dict[str, Account] = {}
        self._refills: set[asyncio.Task[None]] = set()
        self._incarnation = secrets.token_hex(4)
        self._account_numbers = itertools.count()
        self._started_at = clock.read_monotonic()
        self._unsettled: set[str] = set()

    async def grant(
        self,
        program: str,
        budget: int,
        max_tokens: int,
        *,
        may_lend: bool = False,
        max_wait: float | None = None,
    ) -> Grant:
        """Reserve tokens for a turn; ``return_tokens`` takes those it does not use.

        Parameters
        ----------
        budget : int
            Tokens that all turns of the program together may generate.
        max_tokens : int
            Tokens that the turn may generate.
        may_lend : bool
            Whether this node may lend if the store is unavailable to all nodes.
        max_wait : float or None
            Seconds to wait for a draw. It goes on after that, so that a later turn
            finds the tokens.

        Raises
        ------
        BudgetExceededError
            The budget does not cover this turn next to the tokens spent and those that
            other turns may still use.
        StoreError
            Neither this node nor one that it asked reaches the store, and this node
            has not lent.
        OverloadedError
            The store is unavailable and no node may lend more, or the draw takes
            longer than ``max_wait``; retry the turn later.
        """
        try:
            async with asyncio.timeout(max_wait):
                account = await self._reserve(program, budget, max_tokens, may_lend)
        except TimeoutError as exc:
            raise OverloadedError(
                f"the program's budget was not drawn within {max_wait:g} s; retry",
                retry_after=_RETRY_AFTER,
            ) from exc
        is_new = account.drawn + account.lent == account.available + max_tokens
        return Grant(max_tokens, is_new, account.drawn)

    async def _reserve(
        self, program: str, budget: int, max_tokens: int, may_lend: bool
    ) -> Account:
        """Reserve tokens, with at most one refill of the account at a time.

        A refill is a task of its own: a turn that no longer waits does not stop a draw
        that the store may already have made.
        """
        account = self._open(program, budget)
        while not account.reserve(max_tokens):
            refill = account.refill
            if refill is None:
                refill = self._start_refill(account, max_tokens, may_lend)
            try:
                await asyncio.shield(refill.task)
            except BudgetExceededError:
                if max_tokens >= refill.max_tokens:
                    raise
            except StoreError:
                if refill.may_lend or not may_lend:
                    raise
            # The account may have been dropped while this turn waited for it.
            account = self._open(program, budget)
        return account

    def _start_refill(
        self, account: Account, max_tokens: int, may_lend: bool
    ) -> Refill:
        async def run() -> None:
            try:
                async with account.lock:
                    if self._accounts.get(account.program) is account:
                        await self._refill(account, max_tokens, may_lend=may_lend)
            finally:
                account.refill = None

        task = asyncio.create_task(run())
        self._refills.add(task)
        task.add_done_callback(self._end_refill)
        account.refill = Refill(task, max_tokens, may_lend)
        return account.refill

    def _end_refill(self, task: asyncio.Task[None]) -> None:
        self._refills.discard(task)
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None and not isinstance(exc, FireflyError):
            _LOG.error("drawing a budget failed", exc_info=exc)

    def _open(self, program: str, budget: int) -> Account:
        account = self._accounts.get(program)
        if account is None:
            account = self._accounts[program] = Account(
                program=program, budget=budget, process=self._make_process()
            )
        account.used_at = self._clock.read_monotonic()
        return account

    def _make_process(self) -> str:
        incarnation = f"{self._incarnation}.{next(self._account_numbers)}"
        return make_process_id(self._node, incarnation)

    def report_drawn(self, program: str, budget: int, drawn: int) -> None:
        """Record how many tokens all nodes have drawn, as known to another node.

        Without this, a node that did not draw them itself could lend the same tokens in
        a later outage.
        """
        account = self._open(program, budget)
        if drawn > account.drawn:
            account.record = make_lost_record(account, drawn)
            account.revision = 0

    def return_tokens(self, program: str, tokens: int) -> None:
        """Take back tokens that a turn did not use."""
        account = self._accounts.get(program)
        if account is not None:
            account.available += tokens
            account.used_at = self._clock.read_monotonic()

    def hand_over(
        self,
        program: str,
        amount: int,
        drawn: dict[str, int] | None = None,
        request: str = "",
    ) -> int:
        """Hand over up to ``amount`` tokens to the node that now owns the program.

        Parameters
        ----------
        drawn : dict of str to int or None
            Tokens drawn by each process according to the store's record.
        request : str
            Id of the request; a repeated one is answered as before. Empty if it is
            never repeated.

        Raises
        ------
        OverloadedError
            The account holds tokens that it can hand over only later.
        """
        account = self._accounts.get(program)
        if account is None:
            return 0
        account.used_at = self._clock.read_monotonic()
        self._credit(account, (drawn or {}).get(account.process, 0))
        if account.unconfirmed and not self._may_be_lent():
            account.confirm()
        is_held = account.lent and account.available
        if request not in account.handed_over and (is_held or account.unconfirmed):
            raise OverloadedError(
                "the account's tokens are lent or not confirmed yet; ask again",
                retry_after=_RETRY_AFTER,
            )
        return 0 if account.lent else account.hand_over(amount, request)

    def list_recipients(self, program: str) -> tuple[str, ...]:
        """Return the nodes to which this one has handed over tokens of a program."""
        account = self._accounts.get(program)
        return () if account is None else account.list_recipients()

    async def _refill(
        self, account: Account, max_tokens: int, *, may_lend: bool
    ) -> None:
        await self._wait_for_loans()
        if account.unconfirmed:
            await self._confirm(account)
        if account.available >= max_tokens:
            return
        try:
            await self._draw(account, max_tokens)
        except StoreError:
            if not may_lend and not account.lent:
                raise
            await self._lend(account, max_tokens)
        if account.available < max_tokens and account.unconfirmed:
            await self._confirm(account)
        if account.available < max_tokens:
            await self._hand_overs.collect(account, max_tokens)
        if account.available < max_tokens:
            raise BudgetExceededError(
                f"the budget of {account.budget} tokens does not cover {max_tokens} "
                "more; end the program"
            )

    async def _wait_for_loans(self) -> None:
        """Wait until the loans of lost nodes are known.

        Raises
        ------
        OverloadedError
            They are not; tokens that were lent could be drawn a second time.
        """
        if self._loan_log.is_complete:
            return
        try:
            async with asyncio.timeout(_LOANS_TIMEOUT):
                await self._loan_log.wait_complete()
        except TimeoutError as exc:
            raise OverloadedError(
                "too few loan servers tell what was lent to the program; retry",
                retry_after=_RETRY_AFTER,
            ) from exc

    @property
    def is_store_unavailable(self) -> bool:
        """Whether a draw from the store has just failed."""
        return self.writer.is_store_unavailable

    async def _draw(self, account: Account, max_tokens: int) -> None:
        self._add_lost_loans(account)
        for _ in range(_MAX_DRAW_ATTEMPTS):
            missing = max_tokens - account.available
            step = max(missing, int(account.budget * _DRAW_FRACTION))
            amount = min(account.left, step) if missing > 0 else 0
            # A reported total does not tell which nodes hold tokens; a write at the
            # wrong revision is answered with the record.
            must_read = missing > 0 and account.is_record_reported
            if amount <= 0 and not account.lent and not must_read:
                return
            if await self._write_draw(account, amount + account.lent):
                return
        raise StoreError("the program's record keeps changing; retry")

    def _add_lost_loans(self, account: Account) -> None:
        """Count the tokens that lost nodes have lent to a program as drawn."""
        lost = self._loan_log.get_lost_loans(account.program)
        if not _includes(account.record, lost):
            drawn = {} if account.record is None else dict(account.record.drawn)
            for lender, tokens in lost.items():
                process = make_lost_process(lender)
                drawn[process] = max(drawn.get(process, 0), tokens)
            account.record = ProgramRecord(budget=account.budget, drawn=drawn)

    async def _write_draw(self, account: Account, amount: int) -> bool:
        """Add ``amount`` to the account's draws; False if the record has changed."""
        drawn = {} if account.record is None else dict(account.record.drawn)
        drawn[account.process] = drawn.get(account.process, 0) + amount
        record = ProgramRecord(budget=account.budget, drawn=drawn)
        write = Write(
            make_record_key(account.program), encode_record(record), account.revision
        )
        try:
            account.revision = await self.writer.write(write)
        except WriteConflictError as exc:
            self._load_record(account, exc.entry)
            return False
        account.record = record
        account.lent_by_others = 0
        # Logged before any token is granted, so that of a concurrent draw and loan at
        # least one node sees the other's entry.
        must_confirm = self._may_be_lent()
        totals = await self._loan_log.append_draw(
            account.program, account.total_drawn, must_confirm=must_confirm
        )
        available, lent = account.available, account.lent
        # ``account.record`` may be another than the one written, because another node
        # may have reported a draw since.
        account.credit(drawn[account.process])
        if totals.is_complete or not must_confirm:
            self._withhold(account, totals)
        else:
            account.keep_unconfirmed(available)
        self._settle_in_log(account, lent - account.lent, totals)
        return True

    def _may_be_lent(self) -> bool:
        """Whether other nodes may have lent tokens that they have not drawn yet."""
        since = max(self._started_at, self.writer.failed_at)
        return self._clock.read_monotonic() < since + _LOAN_SECONDS

    async def _confirm(self, account: Account) -> None:
        """Log the draws of an account that are not on enough loan servers.

        Raises
        ------
        OverloadedError
            They are still not; another node may have lent the same tokens.
        """
        totals = await self._loan_log.append_draw(
            account.program, account.total_drawn, must_confirm=True
        )
        if not totals.is_complete and self._may_be_lent():
            raise OverloadedError(
                "too few loan servers confirm that the program's budget is not lent; "
                "retry",
                retry_after=_RETRY_AFTER,
            )
        lost = account.confirm(count_live_loans(account, totals.lent), totals.drawn)
        _log_withheld(account, lost)

    def _settle_in_log(self, account: Account, drawn: int, totals: LoanTotals) -> None:
        """Take loans that were ``drawn`` out of the log, once it has the draw.

        Until then other nodes count them as lent.
        """
        if not totals.is_complete:
            self._start_append(self._log_again(account, drawn))
        elif drawn:
            self._start_append(self._loan_log.append_loan(account.program, -drawn))

    async def _log_again(self, account: Account, drawn: int) -> None:
        """Repeat the log entry of a draw, so that later lenders see it."""
        interval = _MIN_LOG_INTERVAL
        for _ in range(_LOG_ATTEMPTS):
            await asyncio.sleep(interval)
            interval = min(2 * interval, _MAX_LOG_INTERVAL)
            totals = await self._loan_log.append_draw(
                account.program, account.total_drawn
            )
            if totals.is_complete:
                self._settle_in_log(account, drawn, totals)
                return

    def _load_record(self, account: Account, entry: Entry | None) -> None:
        """Adopt the record that is in the store."""
        account.record = None if entry is None else decode_record(entry.value, account)
        account.revision = 0 if entry is None else entry.revision
        if account.record is not None:
            self._credit(account, account.record.drawn.get(account.process, 0))

    def _credit(self, account: Account, drawn: int) -> None:
        """Credit draws whose answer was lost.

        They are not in the loan log, so other nodes may have lent the same tokens.
        """
        available = account.available
        account.credit(drawn)
        if self._may_be_lent():
            account.keep_unconfirmed(available)

    def _withhold(self, account: Account, totals: LoanTotals) -> None:
        """Withhold tokens that other nodes have lent, or have drawn since.

        A lender that draws its loans meanwhile takes them out of the log. They are then
        in the log's total of draws, and in the store's record, but not in the record
        that this node wrote before.
        """
        total_drawn = totals.drawn if self._may_be_lent() else 0
        withheld = account.withhold(count_live_loans(account, totals.lent), total_drawn)
        _log_withheld(account, withheld)

    def _start_append(
        self, work: Coroutine[Any, Any, LoanTotals | None]
    ) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        self._log_tasks.add(task)
        task.add_done_callback(self._log_tasks.discard)
        return task

    async def _lend(self, account: Account, max_tokens: int) -> None:
        """Add tokens to an account that are recorded in the store only later.

        The loan is in the loan log before any of its tokens are granted, so that it
        counts even if all nodes are lost before the store is available again.
        """
        missing = max(0, max_tokens - account.available)
        amount = max(missing, int(account.budget * _MIN_LOAN_FRACTION))
        amount = min(account.left, amount)
        if not missing or not amount:
            return
        totals = None
        if self._is_outage():
            totals = await self._loan_log.append_loan(
                account.program, amount, budget=account.budget
            )
        if totals is None:
            raise OverloadedError(
                "the store is unavailable, the program's budget cannot be drawn; retry",
                retry_after=_RETRY_AFTER,
            )
        # Of two nodes that lend at the same time, each sees the other's loan.
        account.lent_by_others = max(
            account.lent_by_others, count_live_loans(account, totals.lent)
        )
        # The previous owner may have drawn tokens before it was lost.
        self.report_drawn(account.program, account.budget, totals.drawn)
        amount = min(amount, account.left)
        account.available += amount
        account.lent += amount
        self._unsettled.add(account.program)
        _LOG.info(
            "budget lent", extra={"program": account.program, "tokens": account.lent}
        )

    async def run(self) -> None:
        """Write loans to the store and drop idle accounts, until cancelled."""
        expired_at = settled_at = self._clock.read_monotonic()
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL)
            try:
                await self.settle_loans()
                if self._clock.read_monotonic() > settled_at + _LOST_LOANS_INTERVAL:
                    settled_at = self._clock.read_monotonic()
                    await self.settle_lost_loans()
                if self._clock.read_monotonic() > expired_at + _EXPIRE_INTERVAL:
                    expired_at = self._clock.read_monotonic()
                    await self._expire()
            except StoreError as exc:
                _LOG.warning("budget records not written to the store: %s", exc)

    async def settle_loans(self) -> None:
        """Write this node's loans to the store; raises ``StoreError``."""
        await asyncio.gather(*(self._settle(each) for each in tuple(self._unsettled)))

    async def _settle(self, program: str) -> None:
        account = self._accounts.get(program)
        if account is None:
            self._unsettled.discard(program)
            return
        async with account.lock:
            for _ in range(_MAX_DRAW_ATTEMPTS):
                amount = account.lent
                if not amount:
                    break
                self._add_lost_loans(account)
                await self._write_draw(account, amount)
            if not account.lent:
                self._unsettled.discard(program)

    async def settle_lost_loans(self) -> None:
        """Write the loans of lost nodes to the store; raises ``StoreError``.

        They are on the disks of loan servers only until then, and these may be lost or
        retired one after the other.
        """
        programs = self._loan_log.list_lost_programs()
        self._settled = {p: s for p, s in self._settled.items() if p in programs}
        if self.is_store_unavailable:
            return
        await asyncio.gather(
            *(
                self._settle_lost(program, budget)
                for program, budget in programs.items()
                if self._owns(program)
                and self._loan_log.get_lost_loans(program) != self._settled.get(program)
            )
        )

    async def _settle_lost(self, program: str, budget: int) -> None:
        account = self._open(program, budget)
        async with account.lock:
            lost = self._loan_log.get_lost_loans(program)
            for _ in range(_MAX_DRAW_ATTEMPTS):
                self._add_lost_loans(account)
                assert account.record is not None
                value = encode_record(account.record)
                write = Write(make_record_key(program), value, account.revision)
                try:
                    account.revision = await self.writer.write(write)
                    break
                except WriteConflictError as exc:
                    self._load_record(account, exc.entry)
                    if _includes(account.record, lost):
                        break
            else:
                return
        self._settled[program] = lost
        _LOG.info(
            "loans of lost nodes are in the store",
            extra={"program": program, "tokens": sum(lost.values())},
        )

    async def _expire(self) -> None:
        now = self._clock.read_monotonic()
        idle = [
            account
            for account in self._accounts.values()
            if now - account.used_at > _IDLE_TIMEOUT
        ]
        await asyncio.gather(*(self._drop(account) for account in idle))

    async def _drop(self, account: Account) -> None:
        async with account.lock:
            is_used = self._clock.read_monotonic() - account.used_at <= _IDLE_TIMEOUT
            if is_used or account.lent:
                return
            # A turn that arrives meanwhile waits, because nothing is available.
            account.take_available()
            if account.revision:
                write = Write(make_record_key(account.program), None, account.revision)
                try:
                    await self.writer.write_once(write)
                except WriteConflictError:
                    # Another node has drawn since; it removes the record later.
                    _LOG.debug(
                        "budget record kept, another node has changed it",
                        extra={"program": account.program},
                    )
            self._accounts.pop(account.program, None)

    async def close(self) -> None:
        """Return unspent tokens to the store, for programs that go on elsewhere."""
        accounts = [a for a in self._accounts.values() if a.available > 0 or a.lent > 0]
        results = await asyncio.gather(
            *(self._return_to_store(account) for account in accounts),
            return_exceptions=True,
        )
        failed = [result for result in results if isinstance(result, StoreError)]
        if failed:
            _LOG.warning(
                "unspent tokens of %d programs not returned to the store: %s",
                len(failed),
                failed[0],
            )

    async def _return_to_store(self, account: Account) -> None:
        async with account.lock:
            await self._write_returned(account)

    async def _write_returned(self, account: Account) -> None:
        """Write an account's available tokens, less its loans, back to the store.

        The store may count these tokens as unspent from the moment at which the write
        is sent, so turns and other nodes get them only once the write has failed.
        """
        for _ in range(_MAX_DRAW_ATTEMPTS):
            returned = account.take_available()
            spent = account.own_drawn + account.lent - returned
            drawn = {} if account.record is None else dict(account.record.drawn)
            record = ProgramRecord(
                budget=account.budget, drawn={**drawn, account.process: spent}
            )
            write = Write(
                make_record_key(account.program),
                encode_record(record),
                account.revision,
            )
            try:
                revision = await self.writer.write_once(write)
            except WriteConflictError as exc:
                account.available += returned
                self._load_record(account, exc.entry)
                continue
            except (StoreUncertainError, asyncio.CancelledError):
                account.rename(self._make_process())
                raise
            except StoreError:
                account.available += returned
                raise
            account.rename(self._make_process())
            account.record, account.revision, account.lent = record, revision, 0
            _LOG.info(
                "unspent tokens returned to the store",
                extra={"program": account.program, "tokens": returned},
            )
            return
        _LOG.warning(
            "unspent tokens not returned to the store, its record keeps changing",
            extra={"program": account.program, "tokens": account.available},
        )

    def dump(self) -> dict[str, object]:
        """Return the state for a state dump, in JSON types."""
        return {"accounts": len(self._accounts), "debtors": len(self._unsettled)}

    def list_gauges(self) -> list[tuple[str, float]]:
        """Return the gauges of the accounts."""
        return [
            ("budgets.accounts", len(self._accounts)),
            ("budgets.drawing", len(self._refills)),
            ("budgets.lending", len(self._unsettled)),
            ("budgets.helped_writes", self.writer.helped),
            ("budgets.store_refuses", float(self.is_store_unavailable)),
        ]


def _includes(record: ProgramRecord | None, lost: dict[str, int]) -> bool:
    """Return whether a record has the loans of lost nodes, by lender."""
    drawn = {} if record is None else record.drawn
    return all(
        drawn.get(make_lost_process(lender), 0) >= tokens
        for lender, tokens in lost.items()
    )


def _log_withheld(account: Account, tokens: int) -> None:
    if tokens:
        _LOG.info(
            "budget withheld for another node's loan",
            extra={"program": account.program, "tokens": tokens},
        )
