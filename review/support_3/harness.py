"""Starts the gateway and the loan server as processes, beside stand-ins on loopback.

Used by the scripts of cases 11 to 15. Everything listens on 127.0.0.1 and on free
ports; files lie in a temporary folder; ``Deployment`` ends all processes it started.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

from standins._base import find_free_port
from standins.metadata_store import MetadataStoreStandIn

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
# Exit codes of a script.
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
_LINGER = struct.pack("ii", 1, 0)


def has_trouble():
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of a file: seconds since the start, and what was seen."""

    def __init__(self, path):
        self._path = path
        self._start = time.monotonic()
        self._lines = []

    def now(self):
        return time.monotonic() - self._start

    def add(self, text):
        line = f"{self.now():8.3f}  {text}"
        self._lines.append(line)
        print(line, flush=True)

    def save(self):
        self._path.write_text("\n".join(self._lines) + "\n")


class Process:
    """One gateway or loan server."""

    def __init__(self, name, module, settings, folder, record):
        self.name = name
        self._module = module
        self.settings = settings
        self._folder = folder
        self._record = record
        self.process = None

    async def start(self, *, is_first):
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps({**self.settings, "is_first_start": is_first}))
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                self._module,
                str(path),
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": "target/deps:.",
                    "UV_USE_IO_URING": "0",
                },
            )

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self._record.add(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def wait(self):
        await self.process.wait()


class Gateway(Process):
    """A gateway process with its addresses."""

    def __init__(self, name, zone, store, folder, record, *, zones):
        self.zone = zone
        self.callers, self.readiness, self.peers, self.relay, self.metrics = (
            f"127.0.0.1:{find_free_port()}" for _ in range(5)
        )
        # As deploy/node.json.template gives them on poklopac-prod.
        settings = {
            "node": {"name": name, "zone": zone, "vm": name},
            "listen": {
                "callers": self.callers,
                "readiness": self.readiness,
                "peers": self.peers,
                "relay": self.relay,
                "metrics": self.metrics,
            },
            "store": {"address": store, "writes_per_second": 400},
            "rates": {"window": 5, "overshoot": 0.1, "slack": 20},
            "memory": {"vm_mb": 260},
            "regions": dict.fromkeys(zones, "kontinent"),
            "max_disk_losses": 1,
            "stop_grace": 8,
        }
        super().__init__(name, "fireflyspread.gateway", settings, folder, record)

    def set_store(self, address):
        """Call the store at another address; before the start."""
        self.settings["store"]["address"] = address

    async def is_ready(self):
        with contextlib.suppress(OSError, EOFError, ValueError):
            answer = await request(
                self.readiness, "GET", "/v1/readiness", {}, timeout=1.0
            )
            return answer.status == 200
        return False

    async def read_state(self):
        """Return the dump of the process's state."""
        answer = await request(self.metrics, "GET", "/state", {}, timeout=2.0)
        return json.loads(answer.body)


class Deployment:
    """Store, gateways and loan servers."""

    def __init__(self, record, *, gateways, loan_servers=3, zones=("z1", "z2", "z3")):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = MetadataStoreStandIn()
        self._counts = gateways, loan_servers
        self._zones = zones
        self.gateways = []
        self.loan_servers = []

    async def __aenter__(self):
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _start(self):
        await self.store.start()
        address = self.store.url.removeprefix("http://")
        gateways, loan_servers = self._counts
        for n in range(gateways):
            zone = self._zones[n % len(self._zones)]
            self.gateways.append(
                Gateway(
                    f"front-{n}",
                    zone,
                    address,
                    self.folder,
                    self.record,
                    zones=self._zones,
                )
            )
        for n in range(loan_servers):
            name, zone = f"store-{n}", self._zones[n % len(self._zones)]
            data = self.folder / f"{name}-data"
            data.mkdir()
            settings = {
                "node": {"name": name, "zone": zone, "vm": name},
                "peers": f"127.0.0.1:{find_free_port()}",
                "store": {"address": address},
                "data_folder": str(data),
            }
            self.loan_servers.append(
                Process(
                    name, "fireflyspread.loans", settings, self.folder, self.record
                )
            )

    async def start_all(self):
        """Start all processes and wait until each is ready and knows the others."""
        for process in (*self.loan_servers, *self.gateways):
            await process.start(is_first=True)
        await self.wait_complete()
        self.record.add("all processes are ready")

    async def wait_complete(self, timeout=25.0):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            if await self._is_complete():
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the processes are not ready")

    async def _is_complete(self):
        for gateway in self.gateways:
            if not await gateway.is_ready():
                return False
            state = await gateway.read_state()
            if len(state["members"]) < len(self.gateways):
                return False
            if len(state["loan_keepers"]) < len(self.loan_servers):
                return False
        return True

    def put_config(self, config):
        self.store.put("op/config", json.dumps(config).encode())

    def register(self, replica, service, *, state="ready", zone="z1"):
        self.store.put(
            f"servers/{replica.instance}",
            json.dumps(
                {
                    "service": service,
                    "address": replica.address,
                    "zone": zone,
                    "version": "v1",
                    "slots": 16,
                    "state": state,
                    "coldRemainingMs": 0,
                    "sequence": 1,
                    "born": replica.born,
                }
            ).encode(),
        )

    def grep_logs(self, text):
        """Return the log lines of all processes that contain a text."""
        return [
            f"{path.stem}: {line}"
            for path in sorted(self.folder.glob("*.log"))
            for line in path.read_text(errors="replace").splitlines()
            if text in line
        ]

    async def __aexit__(self, *exc):
        for process in (*self.gateways, *self.loan_servers):
            if process.process is not None and process.process.returncode is None:
                process.process.send_signal(signal.SIGCONT)
                process.process.kill()
                await process.process.wait()
        await self.store.stop()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    """Answer to a request; ``is_complete`` by its own framing."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.seconds = 0.0


class Connection:
    """A client's connection, which writes and reads bytes itself."""

    @classmethod
    async def open(cls, address):
        self = cls()
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        return self

    async def send(self, method, path, headers, body=b""):
        self.writer.write(make_head(method, path, headers, len(body)) + body)
        await self.writer.drain()

    async def read_answer(self, *, timeout, on_data=None):
        """Read one answer; what broke it off is in ``error``."""
        answer, start = Answer(), time.monotonic()
        try:
            async with asyncio.timeout(timeout):
                await self._read(answer, on_data)
        except TimeoutError:
            answer.error = "no end of the answer in time"
        except asyncio.IncompleteReadError:
            answer.error = "connection closed"
        except OSError as exc:
            answer.error = f"connection broke: {type(exc).__name__}"
        answer.seconds = time.monotonic() - start
        return answer

    async def _read(self, answer, on_data):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        answer.status = int(first.split(" ")[1])
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                data = await self.reader.readexactly(size)
                await self.reader.readexactly(2)
                answer.body += data
                if on_data is not None:
                    on_data(data)
            await self.reader.readexactly(2)
        else:
            length = int(answer.headers.get("content-length", 0))
            answer.body = await self.reader.readexactly(length)
        answer.is_complete = True

    def close(self):
        self.writer.close()


def make_head(method, path, headers, length=0):
    lines = [f"{method} {path} HTTP/1.1"]
    if "Host" not in headers:
        lines.append(f"Host: {HOST}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length or method != "GET":
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def request(address, method, path, headers, body=b"", *, timeout):
    """Send a request on a new connection and return the answer."""
    connection = await Connection.open(address)
    try:
        await connection.send(method, path, headers, body)
        return await connection.read_answer(timeout=timeout)
    finally:
        connection.close()


class Run:
    """A request that reached a replica."""

    def __init__(self, request, headers, body, at):
        self.request = request
        self.headers = headers
        self.body = body
        self.at = at
        self.is_refused = False


class Replica:
    """A sound replica: streams on paths with "turn", plain answers elsewhere.

    Parameters
    ----------
    events : int
        Events of a whole stream.
    gap : float
        Seconds between events.
    work : float
        Seconds of a plain request.
    is_quiet : bool
        Whether the record has no line for each run.

    Attributes
    ----------
    arrivals : list of Run
        All requests.
    is_leaving : bool
        Whether answers say that the replica is leaving.
    """

    def __init__(self, instance, record, *, events=8, gap=0.01, work=0.02, is_quiet=False):
        self.instance = instance
        self.born = int(time.time() * 1000)
        self.record = record
        self.events, self.gap, self.work = events, gap, work
        self._is_quiet = is_quiet
        self.arrivals = []
        self.is_leaving = False
        self._streams = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    @property
    def address(self):
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    def stop(self):
        self._server.close()

    def reset_streams(self):
        """Reset the connections of the streams that run."""
        for writer in tuple(self._streams):
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER)
            writer.transport.abort()
        return len(self._streams)

    async def _serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.split("\r\n")
                _, path, _ = first.split(" ")
                headers = {}
                for line in filter(None, lines):
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                await self._answer(writer, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            return
        finally:
            writer.close()

    async def _answer(self, writer, path, headers, body):
        number = headers.get("fireflyspread-request-id", "")
        target = headers.get("fireflyspread-target-instance", self.instance)
        fields = {
            "Fireflyspread-Request-Id": number,
            "Fireflyspread-Response-Stamp": f"{self.instance}.{len(self.arrivals)}",
            "Fireflyspread-Server-Load": f"{len(self._streams)},0,16",
        }
        if self.is_leaving:
            fields["Server-Leaving"] = "1"
        run = Run(number, headers, body, self.record.now())
        self.arrivals.append(run)
        if target != self.instance:
            run.is_refused = True
            await self._write(writer, 421, fields, b"")
            return
        after = headers.get("last-event-id")
        if not self._is_quiet:
            self.record.add(
                f"{self.instance} runs {number}"
                + (f" after event {after}" if after else "")
            )
        if "turn" not in path:
            await asyncio.sleep(self.work)
            await self._write(writer, 200, fields, b"done " + number.encode())
            return
        fields["Content-Type"] = "text/event-stream"
        fields["Transfer-Encoding"] = "chunked"
        writer.write(self.make_head(200, fields))
        self._streams.add(writer)
        try:
            for n in range(int(after or 0) + 1, self.events + 1):
                await asyncio.sleep(self.gap)
                event = f"id: {n}\ndata: {number} {n}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self._streams.discard(writer)

    async def _write(self, writer, status, fields, body):
        fields["Content-Length"] = str(len(body))
        writer.write(self.make_head(status, fields) + body)
        await writer.drain()

    def make_head(self, status, fields):
        """Return the bytes before the body of an answer."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


def run_script(path, main):
    """Run ``main(record)``, write the record and exit with the code returned."""
    record = Record(path)
    record.add(f"TROUBLE={int(has_trouble())}")
    try:
        code = asyncio.run(asyncio.wait_for(main(record), 110))
    except Exception as exc:
        record.add(f"the case could not run: {type(exc).__name__}: {exc}")
        code = CANNOT_RUN
    record.add(f"exit code {code}")
    record.save()
    sys.exit(code)
