"""Keeps loans on a VM with a disk."""

import argparse
import asyncio
import logging
import os
import signal
import sys

os.environ["UV_USE_IO_URING"] = "0"

import uvloop

from fireflyspread.clock import Clock, SystemClock
from fireflyspread.exceptions import FireflyError, PeerError, SettingsError, StoreError
from fireflyspread.gateway._settings import LoanSettings
from fireflyspread.loans._file import Loan, LoanFile
from fireflyspread.loans._writer import LoanWriter
from fireflyspread.logs import configure_logging
from fireflyspread.nodes import (
    ListLoans,
    LoanNoted,
    LoansListed,
    Message,
    NoteLoan,
    PeerServer,
)
from fireflyspread.platform import KvStore, make_connector
from fireflyspread.recovery import LOAN_SERVERS_PREFIX, SnapshotStore, Write

__all__ = ["main"]

_LOG = logging.getLogger(__name__)

_EXIT_SETTINGS = 2
_STORE_KEEPALIVE = 1.0
_ENTER_PAUSE = 0.5


def register(server: PeerServer, file: LoanFile, clock: Clock, *, node: str) -> None:
    """Answer the nodes that lend."""

    writer = LoanWriter(file)

    async def note(message: NoteLoan) -> Message:
        loan = Loan(
            program=message.program,
            tokens=message.tokens,
            lender=message.incarnation,
            number=message.number,
            at=clock.read_wall(),
            drawn=message.drawn,
        )
        try:
            await writer.append(loan)
        except OSError as exc:
            _LOG.error("loan not written: %s", exc, extra={"program": loan.program})
            raise PeerError(f"the disk refuses: {exc.strerror}; ask another") from exc
        return LoanNoted(
            node=node,
            others=file.count_others(loan),
            drawn=file.find_drawn(loan.program),
        )

    async def list_all(message: ListLoans) -> Message:
        loans = tuple(loan for loan in file.list_recent() if loan.tokens)
        return LoansListed(node=node, loans=loans)

    server.register(NoteLoan, note)
    server.register(ListLoans, list_all)


async def enter(store: SnapshotStore, node: str, address: str) -> None:
    """Enter this VM's address in the store, however long that takes."""
    key, revision = LOAN_SERVERS_PREFIX + node, 0
    while True:
        try:
            result = await store.write_all([Write(key, address.encode(), revision)])
            if isinstance(result, int):
                return
            revision = result[0].revision if result else 0
            if result and result[0].value == address.encode():
                return
        except StoreError as exc:
            _LOG.warning("address not entered: %s", exc)
            await asyncio.sleep(_ENTER_PAUSE)


async def run(settings: LoanSettings) -> None:
    """Serve until the signal to stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    clock, name = SystemClock(), settings.node.name
    file = LoanFile(settings.data_folder, clock)
    try:
        await asyncio.to_thread(file.open)
    except OSError as exc:
        # Opened again at the first loan; until then nothing can be listed.
        _LOG.error("loans cannot be read: %s", exc)
    server = PeerServer(settings.peers, node=name)
    register(server, file, clock, node=name)
    await server.start()
    _LOG.info("loan keeper started", extra={"node": name})
    store = KvStore(
        str(settings.store.address),
        connector=make_connector(keepalive=_STORE_KEEPALIVE),
        timeout=settings.store.timeout,
    )
    entering = asyncio.create_task(enter(store, name, str(settings.peers)))
    await stop.wait()
    _LOG.info("loan keeper stopped", extra={"node": name})
    entering.cancel()
    await server.stop()
    await store.close()
    file.close()


def main() -> None:
    """Run until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("settings", help="path of the JSON settings file")
    arguments = parser.parse_args()
    try:
        settings = LoanSettings.from_file(arguments.settings)
    except SettingsError as exc:
        print(f"fireflyspread-loans: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    configure_logging(settings.logging, stream=sys.stdout)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run(settings))
    except FireflyError as exc:
        print(f"fireflyspread-loans: {exc.message}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
