"""Writes loans and draws to the loan servers, and reads the loans of lost nodes."""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Iterable, Mapping, Set

from fireflyspread._ranking import rank_nodes
from fireflyspread.budgets import LoanLog, LoanTotals
from fireflyspread.exceptions import PeerError
from fireflyspread.loans import RETENTION_SECONDS, Loan
from fireflyspread.nodes import (
    CopyLoans,
    ListLoans,
    LoanNoted,
    LoansCopied,
    LoansListed,
    Message,
    NoteLoan,
    PeerClient,
)
from fireflyspread.recovery import Roster

__all__ = ["ReplicatedLoanLog"]

_LOG = logging.getLogger(__name__)

# Fewest loan servers that must store a loan.
_MIN_COPIES = 2
# Seconds for one message and its write to disk, which takes up to 60 ms on a slow disk.
_LOAN_TIMEOUT = 0.3
# The same for a draw, which is in the store already but delays a turn.
_DRAW_TIMEOUT = 0.1
# Seconds for which draws skip a loan server that did not answer.
_UNREACHABLE_BACKOFF = 1.0
# Seconds to copy loans to a loan server.
_COPY_TIMEOUT = 1.0
# Seconds to read the loans of one loan server.
_LIST_TIMEOUT = 0.4
# Seconds for which a starting node waits for the loans before it is ready; the loan
# servers may be starting at the same time.
_START_TIMEOUT = 2.5
# Seconds between the attempts to read them; doubled after each up to the maximum.
_MIN_LIST_INTERVAL = 0.1
_MAX_LIST_INTERVAL = 0.4
# Seconds between looks at the disks that this node restores, and nodes that restore the
# disk of one loan server, so that one of them is there.
_DISK_CHECK_INTERVAL = 1.0
_RESTORERS = 3
# Seconds for which this node keeps its accounts while it reads the loans. Loan servers
# that restart together with the nodes are back sooner, and accounts that move and move
# back leave tokens behind.
_BRIEF_SECONDS = 3.0


class ReplicatedLoanLog(LoanLog):
    """Loan log that is replicated over the loan servers.

    ``Loan`` describes what loans and draws are.

    Loans of lost nodes are known or unknown as a whole: they are complete when so many
    loan servers have listed theirs that each loan has a copy among them. A loan that
    is in none of these answers was not made.

    Attributes
    ----------
    is_start_over : bool
        Whether the loans were read after the start, or the node may become ready
        without them and refuse draws until they are.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole system starts for the first time, so that there are no loans.
    max_losses : int
        Disks that may be lost at the same time. The entries of a program go to
        ``2 * max_losses + 1`` loan servers, the same ones for all nodes: what was
        written to a majority of them is on a disk that remains, and the nodes that
        lend to or draw for one program at the same time see each other.
    """

    def __init__(
        self,
        client: PeerClient,
        roster: Roster,
        *,
        node: str,
        incarnation: str,
        max_losses: int = 1,
        is_first_start: bool = False,
    ) -> None:
        self._client = client
        self._roster = roster
        self._node = node
        self._incarnation = incarnation
        self._max_losses = max_losses
        # By program, and by lender and number.
        self._loans: dict[str, dict[tuple[str, int], Loan]] = {}
        self._last_number = 0
        self._unreachable_until: dict[str, float] = {}
        self._pending: set[asyncio.Task[Message | None]] = set()
        self._refresh_requested = asyncio.Event()
        # Loan servers that have said that they have lost their disk.
        self._lost_disks: set[str] = set()
        self._complete = asyncio.Event()
        self._incomplete_since = time.monotonic()
        self.is_start_over = is_first_start
        if is_first_start:
            self._complete.set()
        else:
            self._refresh_requested.set()

    def refresh(self) -> None:
        """Read the loans again after the loss of a node."""
        if self._complete.is_set():
            self._incomplete_since = time.monotonic()
        self._complete.clear()
        self._refresh_requested.set()

    @property
    def is_complete(self) -> bool:
        return self._complete.is_set()

    @property
    def is_usable(self) -> bool:
        """Whether the loans are complete or will be in a moment."""
        is_brief = time.monotonic() < self._incomplete_since + _BRIEF_SECONDS
        return self.is_complete or is_brief

    async def wait_complete(self) -> None:
        await self._complete.wait()

    def get_lost_loans(self, program: str) -> dict[str, int]:
        loans = self._loans.get(program)
        if not loans:
            return {}
        return _sum_lost(loans.values(), self._roster.list_incarnations())

    def list_lost_programs(self) -> dict[str, int]:
        if not self._loans:
            return {}
        alive = self._roster.list_incarnations()
        return {
            program: max(loan.budget for loan in loans.values())
            for program, loans in self._loans.items()
            # Loans of an earlier release do not tell the budget.
            if _sum_lost(loans.values(), alive)
            and any(loan.budget for loan in loans.values())
        }

    async def append_loan(
        self, program: str, tokens: int, *, budget: int = 0
    ) -> LoanTotals | None:
        addresses = self._choose_servers(program)
        answers = await self._write(
            addresses, program, tokens=tokens, budget=budget, timeout=_LOAN_TIMEOUT
        )
        # With fewer copies, two nodes that lend to one program could each write to
        # servers that the other does not reach.
        needed = max(_MIN_COPIES, len(addresses) // 2 + 1)
        if len(answers) < min(needed, max(1, len(addresses))):
            return None
        return LoanTotals(
            max(answer.others for answer in answers),
            max(answer.drawn for answer in answers),
        )

    async def append_draw(
        self, program: str, drawn: int, *, must_confirm: bool = False
    ) -> LoanTotals:
        now = time.monotonic()
        addresses = self._choose_servers(program)
        reachable = [
            address
            for address in addresses
            if must_confirm or self._unreachable_until.get(address, 0.0) <= now
        ]
        answers = await self._write(
            reachable,
            program,
            drawn=drawn,
            timeout=_LOAN_TIMEOUT if must_confirm else _DRAW_TIMEOUT,
            needed=len(addresses) // 2 + 1,
        )
        total = len(addresses)
        if total and len(answers) < min(_MIN_COPIES, total):
            _LOG.warning(
                "draw recorded on %d of %d loan servers",
                len(answers),
                total,
                extra={"program": program, "tokens": drawn},
            )
        return LoanTotals(
            max((answer.others for answer in answers), default=0),
            max((answer.drawn for answer in answers), default=0),
            is_complete=not total or 2 * len(answers) > total,
        )

    def _choose_servers(self, program: str) -> list[str]:
        servers = self._roster.list_loan_servers()
        names = rank_nodes(servers, program)[: 2 * self._max_losses + 1]
        return [servers[name] for name in names]

    async def _write(
        self,
        addresses: list[str],
        program: str,
        *,
        tokens: int = 0,
        drawn: int = 0,
        budget: int = 0,
        timeout: float,
        needed: int | None = None,
    ) -> list[LoanNoted]:
        """Write to the servers at ``addresses``; return the answers of a majority.

        Parameters
        ----------
        needed : int or None
            Answers to wait for; None waits for a majority of ``addresses``.
        """
        if needed is None:
            needed = len(addresses) // 2 + 1
        self._last_number += 1
        message = NoteLoan(
            node=self._node,
            incarnation=self._incarnation,
            program=program,
            tokens=tokens,
            number=self._last_number,
            drawn=drawn,
            budget=budget,
        )
        tasks = [
            asyncio.create_task(self._ask(each, message, timeout)) for each in addresses
        ]
        self._pending.update(tasks)
        answers: list[LoanNoted] = []
        for task in asyncio.as_completed(tasks):
            answer = await task
            if not isinstance(answer, LoanNoted):
                continue
            if answer.is_intact:
                answers.append(answer)
            else:
                self._note_lost_disk(answer.node)
            # Any two majorities have a server in common, so a majority is enough.
            if len(answers) >= needed:
                break
        self._pending.difference_update([task for task in tasks if task.done()])
        return answers

    async def run(self) -> None:
        """Read the loans at the start and after each lost node, until cancelled."""
        deadline = time.monotonic() + _START_TIMEOUT
        while True:
            await self._refresh_requested.wait()
            self._refresh_requested.clear()
            interval = _MIN_LIST_INTERVAL
            while not await self._read_all():
                self.is_start_over |= time.monotonic() > deadline
                await asyncio.sleep(interval)
                interval = min(2 * interval, _MAX_LIST_INTERVAL)
            self.is_start_over = True
            await self._restore_disks()
            if not self._refresh_requested.is_set():
                self._complete.set()

    async def watch_disks(self) -> None:
        """Look for loan servers that have lost their disk, until cancelled.

        Without this, several of them could lose their disks one after the other while
        no program needs them, and each would be taken for whole by the next reader.
        """
        while True:
            await asyncio.sleep(_DISK_CHECK_INTERVAL)
            for name, address in self._roster.list_loan_servers().items():
                if self._is_restorer(name):
                    message = ListLoans(is_check=True)
                    answer = await self._ask(address, message, _LIST_TIMEOUT)
                    if isinstance(answer, LoansListed) and not answer.is_intact:
                        self._note_lost_disk(name)

    def _is_restorer(self, name: str) -> bool:
        """Return whether this node is one of those that restore a server's disk."""
        return self._node in rank_nodes(self._roster.list_names(), name)[:_RESTORERS]

    def _note_lost_disk(self, name: str) -> None:
        if name not in self._lost_disks and self._is_restorer(name):
            _LOG.warning("loan server has lost its disk", extra={"node": name})
            self._lost_disks.add(name)
            self._refresh_requested.set()

    async def _restore_disks(self) -> None:
        """Copy the entries of the other loan servers to those that lost their disk."""
        servers = self._roster.list_loan_servers()
        lost = sorted(self._lost_disks & servers.keys())
        self._lost_disks.clear()
        if not lost:
            return
        lists = await self._list_loans(servers, has_draws=True)
        if len(servers) - len(lists) >= self._count_copies(len(servers)):
            # ``watch_disks`` finds the server again.
            return
        loans = {loan.id: loan for answer in lists for loan in answer.loans}
        message = CopyLoans(loans=tuple(loans.values()), is_complete=True)
        for name in lost:
            answer = await self._ask(servers[name], message, _COPY_TIMEOUT)
            if isinstance(answer, LoansCopied):
                _LOG.info(
                    "loans of a lost disk restored",
                    extra={"node": name, "count": len(loans)},
                )
        self._lost_disks.clear()

    async def _read_all(self) -> bool:
        return self._roster.has_read_members and await self._read_loans()

    async def _read_loans(self) -> bool:
        """Read the loan servers; return whether no loan can be missing."""
        servers = self._roster.list_loan_servers()
        lists = await self._list_loans(servers)
        self._forget_old_loans()
        for answer in lists:
            for loan in answer.loans:
                self._loans.setdefault(loan.program, {})[loan.id] = loan
        if any(answer.loans for answer in lists):
            _LOG.info(
                "loans read", extra={"count": sum(map(len, self._loans.values()))}
            )
        is_complete = len(servers) - len(lists) < self._count_copies(len(servers))
        if not is_complete:
            _LOG.info(
                "loans of lost nodes are not known yet: %d of %d loan servers answered",
                len(lists),
                len(servers),
            )
        return is_complete

    async def _list_loans(
        self, servers: Mapping[str, str], *, has_draws: bool = False
    ) -> list[LoansListed]:
        """Return the answers of the servers, without those that are not needed.

        A server that does not answer delays no draw if the others are enough. One that
        has lost its disk counts as one that does not answer.
        """
        message = ListLoans(has_draws=has_draws)
        needed = len(servers) + 1 - self._count_copies(len(servers))
        tasks = [
            asyncio.create_task(self._ask(each, message, _LIST_TIMEOUT))
            for each in servers.values()
        ]
        self._pending.update(tasks)
        for task in tasks:
            task.add_done_callback(self._pending.discard)
        lists: list[LoansListed] = []
        for done in asyncio.as_completed(tasks):
            answer = await done
            if not isinstance(answer, LoansListed):
                continue
            if answer.is_intact:
                lists.append(answer)
            else:
                self._note_lost_disk(answer.node)
            if len(lists) >= needed:
                break
        return lists

    def _count_copies(self, servers: int) -> int:
        """Return on how many disks each loan is, with that many loan servers."""
        chosen = min(servers, 2 * self._max_losses + 1)
        return min(max(_MIN_COPIES, chosen // 2 + 1), max(1, chosen))

    def _forget_old_loans(self) -> None:
        oldest = time.time() - RETENTION_SECONDS
        for program, loans in tuple(self._loans.items()):
            if all(loan.at < oldest for loan in loans.values()):
                del self._loans[program]

    async def move_loans(self, name: str, address: str) -> None:
        """Copy the entries of a loan server that is retired to the others.

        Raises
        ------
        PeerError
            The server did not answer, or too few others have the entries.
        """
        listed = await self._client.ask(
            address, ListLoans(has_draws=True), timeout=_LIST_TIMEOUT
        )
        if not isinstance(listed, LoansListed):
            raise PeerError(f"{name} answered {type(listed).__name__}")
        if not listed.loans:
            return
        servers = self._roster.list_loan_servers()
        others = [each for server, each in servers.items() if server != name]
        message = CopyLoans(loans=listed.loans)
        answers = await asyncio.gather(
            *(self._ask(each, message, _COPY_TIMEOUT) for each in others)
        )
        copied = sum(isinstance(answer, LoansCopied) for answer in answers)
        # Of the servers that nodes ask for a program, a majority has the entries then.
        if copied < max(1, len(others) - self._max_losses):
            raise PeerError(
                f"the loans of {name} are on {copied} of {len(others)} other loan "
                "servers; start those that do not answer"
            )
        _LOG.info(
            "loans of a retired loan server copied",
            extra={"node": name, "count": len(listed.loans)},
        )

    async def _ask(
        self, address: str, message: Message, timeout: float
    ) -> Message | None:
        try:
            return await self._client.ask(address, message, timeout=timeout)
        except PeerError as exc:
            self._unreachable_until[address] = time.monotonic() + _UNREACHABLE_BACKOFF
            _LOG.info("loan server did not answer: %s", exc)
            return None


def _sum_lost(loans: Iterable[Loan], alive: Set[str]) -> dict[str, int]:
    """Return the tokens that lenders which are not alive have lent, by lender."""
    lost: Counter[str] = Counter()
    for loan in loans:
        if loan.lender not in alive:
            lost[loan.lender] += loan.tokens
    return {lender: tokens for lender, tokens in lost.items() if tokens > 0}
