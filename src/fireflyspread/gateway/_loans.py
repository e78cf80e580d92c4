"""Notes loans and draws on VMs with a disk, and finds the loans of lost nodes."""

import asyncio
import logging
import time

from fireflyspread.budgets import LoanLog, LoanTotals
from fireflyspread.exceptions import PeerError
from fireflyspread.loans import Loan
from fireflyspread.nodes import (
    ListLoans,
    LoanNoted,
    LoansListed,
    Message,
    NoteLoan,
    PeerClient,
)
from fireflyspread.recovery import Roster

__all__ = ["LoanKeepers"]

_LOG = logging.getLogger(__name__)

# Disks that must have a loan. The platform bears the loss of one disk at once.
_COPIES = 2
# Seconds for one message with its write to a disk, which takes up to 60 ms when slow.
_NOTE_TIMEOUT = 0.3
# The same for a draw, for which a turn waits although the store has it.
_DRAW_TIMEOUT = 0.1
# Seconds for which draws pass over a disk that did not answer.
_UNREACHABLE_PAUSE = 1.0
_LIST_TIMEOUT = 0.4
# Seconds within which a node that starts waits for the loans; VMs with a disk may
# start at the same moment.
_START_SECONDS = 2.5
_LIST_PAUSE = 0.1


class LoanKeepers(LoanLog):
    """The VMs that keep loans, as this node sees them."""

    def __init__(
        self, client: PeerClient, roster: Roster, *, node: str, incarnation: str
    ) -> None:
        self._client = client
        self._roster = roster
        self._node = node
        self._incarnation = incarnation
        self._loans: dict[tuple[str, int], Loan] = {}
        self._number = 0
        self._unreachable: dict[str, float] = {}
        self._asking: set[asyncio.Task[Message | None]] = set()
        self._wanted = asyncio.Event()
        self.is_complete = False

    def refresh(self) -> None:
        """Read the loans again, because a node was lost."""
        self._wanted.set()

    def count_lost_loans(self, program: str) -> int:
        if not self._loans:
            return 0
        alive = self._roster.list_incarnations()
        lost = sum(
            loan.tokens
            for loan in self._loans.values()
            if loan.program == program and loan.lender not in alive
        )
        return max(0, lost)

    async def append_loan(self, program: str, tokens: int) -> LoanTotals | None:
        addresses = list(self._roster.list_journals().values())
        noted, asked = await self._note(
            addresses, program, tokens=tokens, timeout=_NOTE_TIMEOUT
        )
        if len(noted) < min(_COPIES, max(1, asked)):
            return None
        return LoanTotals(max(n.others for n in noted), max(n.drawn for n in noted))

    async def append_draw(self, program: str, drawn: int) -> LoanTotals:
        now = time.monotonic()
        addresses = list(self._roster.list_journals().values())
        reachable = [a for a in addresses if self._unreachable.get(a, 0.0) <= now]
        noted, _ = await self._note(
            reachable, program, drawn=drawn, timeout=_DRAW_TIMEOUT
        )
        asked = len(addresses)
        if asked and len(noted) < min(_COPIES, asked):
            _LOG.warning(
                "draw noted on %d of %d disks",
                len(noted),
                asked,
                extra={"program": program, "tokens": drawn},
            )
        return LoanTotals(
            max((n.others for n in noted), default=0),
            max((n.drawn for n in noted), default=0),
        )

    async def _note(
        self,
        addresses: list[str],
        program: str,
        *,
        tokens: int = 0,
        drawn: int = 0,
        timeout: float,
    ) -> tuple[list[LoanNoted], int]:
        """Return the answers of a majority of the disks, and how many were asked."""
        self._number += 1
        question = NoteLoan(
            node=self._node,
            incarnation=self._incarnation,
            program=program,
            tokens=tokens,
            number=self._number,
            drawn=drawn,
        )
        tasks = [
            asyncio.create_task(self._ask(each, question, timeout))
            for each in addresses
        ]
        self._asking.update(tasks)
        noted: list[LoanNoted] = []
        for task in asyncio.as_completed(tasks):
            answer = await task
            if isinstance(answer, LoanNoted):
                noted.append(answer)
            # Any two majorities share a disk, so the rest need not be waited for.
            if 2 * len(noted) > len(tasks):
                break
        self._asking.difference_update([task for task in tasks if task.done()])
        return noted, len(tasks)

    async def run(self) -> None:
        """Read the loans at the start and after each loss, until cancelled."""
        until = time.monotonic() + _START_SECONDS
        while not self.is_complete:
            if self._roster.has_contact:
                self.is_complete = await self._read() or time.monotonic() > until
            await asyncio.sleep(_LIST_PAUSE)
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await self._read()

    async def _read(self) -> bool:
        """Read all disks; return whether no loan can be missing."""
        addresses = self._roster.list_journals().values()
        answers = await asyncio.gather(
            *(self._ask(each, ListLoans(), _LIST_TIMEOUT) for each in addresses)
        )
        found = [answer for answer in answers if isinstance(answer, LoansListed)]
        for answer in found:
            for loan in answer.loans:
                self._loans[loan.lender, loan.number] = loan
        if any(answer.loans for answer in found):
            _LOG.info("loans read", extra={"count": len(self._loans)})
        return len(found) > len(answers) - _COPIES

    async def _ask(
        self, address: str, question: Message, timeout: float
    ) -> Message | None:
        try:
            return await self._client.ask(address, question, timeout=timeout)
        except PeerError as exc:
            self._unreachable[address] = time.monotonic() + _UNREACHABLE_PAUSE
            _LOG.info("keeper of loans does not answer: %s", exc)
            return None
