"""Loan server, which stores loans of program budgets on the disk of its VM."""

import argparse
import asyncio
import logging
import os
import signal
import sys

# At loop creation libuv would set up an io_uring, which the platform forbids. The
# variable is read when the loop is created, so it is set before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop

from fireflyspread.clock import Clock, SystemClock
from fireflyspread.exceptions import FireflyError, PeerError, SettingsError
from fireflyspread.gateway._settings import LoanSettings
from fireflyspread.loans._file import Loan, LoanFile
from fireflyspread.loans._registration import Registration
from fireflyspread.loans._stream_file import StreamFile
from fireflyspread.loans._streams import StreamKeeping
from fireflyspread.loans._turn_file import TurnFile
from fireflyspread.loans._turns import TurnKeeping
from fireflyspread.loans._writer import LoanWriter
from fireflyspread.logs import configure_logging
from fireflyspread.nodes import (
    CopyLoans,
    ListLoans,
    LoanNoted,
    LoansCopied,
    LoansListed,
    Message,
    NoteLoan,
    PeerServer,
)
from fireflyspread.platform import KvStore, make_connector
from fireflyspread.turns import TurnStore

__all__ = ["main"]

_LOG = logging.getLogger(__name__)

_EXIT_INVALID_SETTINGS = 2
_STORE_KEEPALIVE_SECONDS = 1.0


def register_handlers(
    server: PeerServer, file: LoanFile, clock: Clock, *, node: str
) -> None:
    """Register the handlers of the nodes' messages."""

    writer = LoanWriter(file)

    async def append_loan(message: NoteLoan) -> Message:
        loan = Loan(
            program=message.program,
            tokens=message.tokens,
            lender=message.incarnation,
            number=message.number,
            at=clock.read_wall(),
            drawn=message.drawn,
            budget=message.budget,
        )
        try:
            await writer.append(loan)
        except OSError as exc:
            _LOG.error("loan not written: %s", exc, extra={"program": loan.program})
            raise PeerError(
                f"cannot write the loan to disk: {exc.strerror}; "
                "ask another loan server"
            ) from exc
        return LoanNoted(
            node=node,
            others=file.count_lent_by_others(loan),
            drawn=file.get_max_drawn(loan.program),
            is_intact=file.is_intact,
        )

    async def list_loans(message: ListLoans) -> Message:
        try:
            if not file.is_open:
                await asyncio.to_thread(file.open)
        except OSError as exc:
            raise PeerError(
                f"cannot read the loans: {exc.strerror}; ask another loan server"
            ) from exc
        if message.is_check:
            loans = []
        elif message.has_draws:
            loans = file.list_needed()
        else:
            loans = [loan for loan in file.list_recent() if loan.tokens]
        return LoansListed(node=node, loans=tuple(loans), is_intact=file.is_intact)

    async def copy_loans(message: CopyLoans) -> Message:
        missing = [loan for loan in message.loans if not file.has(loan)]
        try:
            await asyncio.gather(*(writer.append(loan) for loan in missing))
            if message.is_complete and file.is_open:
                await asyncio.to_thread(file.mark_intact)
        except OSError as exc:
            raise PeerError(
                f"cannot write the loans to disk: {exc.strerror}; "
                "ask another loan server"
            ) from exc
        if missing:
            _LOG.info(
                "loans of other loan servers copied", extra={"count": len(missing)}
            )
        return LoansCopied(node=node)

    server.register(NoteLoan, append_loan)
    server.register(ListLoans, list_loans)
    server.register(CopyLoans, copy_loans)


async def run(settings: LoanSettings) -> None:
    """Serve until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # As in the gateway, SIGHUP is ignored: a running process keeps its settings.
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    clock, name = SystemClock(), settings.node.name
    file = LoanFile(settings.data_folder, clock, is_first_start=settings.is_first_start)
    turn_file = TurnFile(
        settings.data_folder, clock, is_first_start=settings.is_first_start
    )
    try:
        await asyncio.to_thread(file.open)
    except OSError as exc:
        # The first message that needs the file opens it again.
        _LOG.error("cannot read the loans: %s", exc)
    try:
        await asyncio.to_thread(turn_file.open)
    except OSError as exc:
        _LOG.error("cannot read the turns: %s", exc)
    server = PeerServer(settings.peers, node=name)
    register_handlers(server, file, clock, node=name)
    store = KvStore(
        str(settings.store.address),
        connector=make_connector(keepalive=_STORE_KEEPALIVE_SECONDS),
        timeout=settings.store.timeout,
    )
    turns = TurnKeeping(turn_file, TurnStore(store, clock), node=name)
    turns.register(server)
    stream_file = StreamFile(settings.data_folder, clock)
    streams = StreamKeeping(
        stream_file, store, clock, node=name, is_first_start=settings.is_first_start
    )
    await streams.open()
    streams.register(server)
    await server.start()
    _LOG.info("loan server started", extra={"node": name})
    tasks = [asyncio.create_task(part.run()) for part in (turns, streams)]
    registration = asyncio.create_task(
        Registration(
            store, node=name, address=str(settings.peers), on_new=file.mark_intact
        ).run()
    )
    await stop.wait()
    _LOG.info("loan server stopped", extra={"node": name})
    for task in (registration, *tasks):
        task.cancel()
    await server.stop()
    await store.close()
    file.close()
    turn_file.close()
    stream_file.close()


def main() -> None:
    """Run until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("settings", help="path of the JSON settings file")
    arguments = parser.parse_args()
    try:
        settings = LoanSettings.from_file(arguments.settings)
    except SettingsError as exc:
        print(f"fireflyspread-loans: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_INVALID_SETTINGS)
    configure_logging(settings.logging, stream=sys.stdout)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(settings))
    except FireflyError as exc:
        print(f"fireflyspread-loans: {exc.message}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
