"""Tests of gateway processes with replicas whose answers have malformed heads."""

import asyncio
import contextlib
import re
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from soak.cluster import Cluster, make_headers, make_turn_headers
from standins.raw_replica import MalformedReplica
from tests.gateway.test_process import STREAM_BODY

_ORDER_BODY = b"done two lids"
_MAX_WAIT_SECONDS = 6.0
_REQUESTS = 4
# Status line and fields of an answer as a caller must get it.
_HEAD = re.compile(
    rb"HTTP/1\.1 ([2-5][0-9]{2}) [\x20-\x7e]*\r\n"
    rb"((?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r\n)*)\r\n"
)
_STATUSES = (b"000", b"099", b"101", b"600", b"999")
_LENGTH = b"Content-Length: 2\r\n"
# Lines after the status line, and whether the body is sent in chunks.
_LINES = {
    "blank inside a name": (_LENGTH + b"X A: v", False),
    "control byte in a name": (_LENGTH + b"X\x01A: v", False),
    "blank behind the length": (b"Content-Length : 2", False),
    "blank behind the coding": (b"Transfer-Encoding : chunked", True),
    "blank behind another name": (_LENGTH + b"Connection : close", False),
    "blank before the first name": (b" Transfer-Encoding: chunked", True),
    "blank before a name": (b"X-A: v\r\n Transfer-Encoding: chunked", True),
    "tab before a name": (b"X-A: v\r\n\tTransfer-Encoding: chunked", True),
    "control byte in a value": (_LENGTH + b"X-A: a\x01b", False),
}


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, nodes=2, replicas=2, viewed=True) as found:
        yield found


async def _send(cluster: Cluster, path: str, request: str) -> tuple[int, bytes]:
    """Return status and body of an answer; (0, b"") if the connection only ends.

    Raises
    ------
    AssertionError
        The bytes are no valid answer.
    """
    headers = make_headers(request)
    if path.startswith("/turns/"):
        headers = make_turn_headers(request, f"p-{request}")
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    host, _, port = cluster.nodes[0].callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            f"POST {path} HTTP/1.1\r\n{''.join(lines)}Content-Length: 8\r\n"
            "Connection: close\r\n\r\ntwo lids".encode()
        )
        async with asyncio.timeout(_MAX_WAIT_SECONDS):
            answer = await reader.read()
    except ConnectionError:
        return 0, b""
    finally:
        writer.close()
    return _parse(answer) if answer else (0, b"")


def _parse(answer: bytes) -> tuple[int, bytes]:
    head = _HEAD.match(answer)
    assert head is not None, answer
    body = answer[head.end() :]
    fields = head[2].lower()
    if length := re.search(rb"^content-length: ([0-9]+)\r$", fields, re.MULTILINE):
        assert len(body) == int(length[1])
    elif b"transfer-encoding: chunked\r\n" in fields:
        body, end = _join_chunks(body)
        assert end == b"0\r\n\r\n"
    return int(head[1]), body


def _join_chunks(data: bytes) -> tuple[bytes, bytes]:
    """Return the body and the bytes from the last chunk on."""
    body = b""
    while match := re.match(rb"([0-9a-f]+)\r\n", data, re.IGNORECASE):
        size = int(match[1], 16)
        if not size:
            break
        body += data[match.end() : match.end() + size]
        data = data[match.end() + size + 2 :]
    return body, data


async def _send_all(
    cluster: Cluster, path: str, prefix: str
) -> list[tuple[int, bytes]]:
    return [await _send(cluster, path, f"{prefix}{n}") for n in range(_REQUESTS)]


async def _register(
    cluster: Cluster, replica: MalformedReplica, service: str, *, is_relayed: bool
) -> None:
    cluster.store.put(f"servers/{replica.instance}", replica.make_registration(service))
    await asyncio.sleep(0.3)
    if is_relayed:
        # The first node reaches replicas only through the other one, and learns this
        # from the requests that fail.
        cluster.views[0].cut(resets=True)
        await asyncio.sleep(1.0)
        await _send(cluster, "/prices/1", f"before-{replica.instance}")


async def _check_answers(
    cluster: Cluster, head: bytes, body: bytes, *, closes: bool, is_relayed: bool
) -> None:
    """Check what callers get while replicas answer so, beside sound ones and alone."""
    async with contextlib.AsyncExitStack() as stack:
        model, order, last_order = [
            await stack.enter_async_context(
                MalformedReplica(head, body=body, closes=closes, instance=name)
            )
            for name in ("e-1", "e-2", "e-3")
        ]
        await _register(cluster, order, "orders", is_relayed=is_relayed)
        prices = await _send_all(cluster, "/prices/1", "safe")
        assert prices == [(200, _ORDER_BODY)] * _REQUESTS
        await _register(cluster, model, "models", is_relayed=is_relayed)
        streams = await _send_all(cluster, "/turns/stream", "stream")
        # The route allows one replica.
        assert all(each == (200, STREAM_BODY) or each[0] == 502 for each in streams)
        for replica in (*cluster.orders, order):
            cluster.store.remove(f"servers/{replica.instance}")
        # Unlike the one before, this one is not ejected yet.
        await _register(cluster, last_order, "orders", is_relayed=is_relayed)
        orders = await _send_all(cluster, "/orders/1", "order")
        assert {status for status, _ in orders} <= {0, 502, 503}
        runs = Counter(last_order.requests)
        assert any(f"order{n}" in runs for n in range(_REQUESTS))
        assert all(runs[f"order{n}"] <= 1 for n in range(_REQUESTS))


@pytest.mark.parametrize("is_relayed", [False, True])
class TestStatus:
    @pytest.mark.parametrize("status", _STATUSES)
    async def test_that_is_no_final_one_does_not_reach_callers(
        self, cluster, status, is_relayed
    ):
        """Guards against answers that are none in HTTP."""
        head = b"HTTP/1.1 %s X\r\nContent-Length: 2" % status
        await _check_answers(cluster, head, b"ok", closes=False, is_relayed=is_relayed)


class TestFields:
    @pytest.mark.parametrize("name", _LINES)
    async def test_malformed_lines_do_not_reach_callers(self, cluster, name):
        """Guards against lines that are passed on, and bodies read by other framing."""
        lines, is_chunked = _LINES[name]
        body = b"2\r\nok\r\n0\r\n\r\n" if is_chunked else b"ok"
        await _check_answers(
            cluster, b"HTTP/1.1 200 OK\r\n" + lines, body, closes=True, is_relayed=False
        )

    async def test_relayed_ones_do_not_reach_callers(self, cluster):
        """Guards against lines that are only checked where the caller is served."""
        await _check_answers(
            cluster,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked",
            b"2\r\nok\r\n0\r\n\r\n",
            closes=False,
            is_relayed=True,
        )


class TestProtocol:
    @pytest.mark.parametrize("version", [b"RTSP/1.0", b"ICE/1.0", b"HTTP/2.0"])
    async def test_answers_of_another_one_do_not_reach_callers(self, cluster, version):
        """Guards against answers that are none in HTTP/1.0 or 1.1."""
        await _check_answers(
            cluster,
            version + b" 200 OK\r\nContent-Length: 2",
            b"ok",
            closes=True,
            is_relayed=False,
        )


class TestTransferCodings:
    @pytest.mark.parametrize("codings", [b"gzip, chunked", b"chunked, gzip", b"gzip"])
    async def test_coded_body_does_not_reach_callers(self, cluster, codings):
        """Guards against a body that is still coded, or still has its chunk sizes."""
        await _check_answers(
            cluster,
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codings,
            b"2\r\nok\r\n0\r\n\r\n",
            closes=True,
            is_relayed=False,
        )
