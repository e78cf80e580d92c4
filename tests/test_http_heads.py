"""Tests of the rules for the heads of answers."""

import asyncio
import re
from typing import Any

import pytest
from aiohttp.client_proto import ResponseHandler
from hypothesis import given
from hypothesis import strategies as st

from fireflyspread._http_heads import are_known_codings, find_head, is_valid_status
from fireflyspread._http_protocol import LimitedProtocol

_READ_BUFFER_BYTES = 16
_FIELDS = ((b"X-A", b"v"), (b"Content-Length", b"2"))
_HEAD = b"HTTP/1.1 200 OK\r\nX-A: v\r\nContent-Length: 2\r\n\r\n"
_WELL_FORMED = {
    "usual": _HEAD,
    "LF alone": _HEAD.replace(b"\r\n", b"\n"),
    "no reason": _HEAD.replace(b" OK", b""),
    "empty reason": _HEAD.replace(b"OK", b""),
    "other bytes in the reason": _HEAD.replace(b"OK", b"d'accord \xe9"),
    "blanks around a value": _HEAD.replace(b" v", b"\t v \t"),
    "no blank before a value": _HEAD.replace(b" v", b"v"),
    "HTTP/1.0": _HEAD.replace(b"1.1", b"1.0"),
    "behind a blank line": b"\r\n" + _HEAD,
    "behind an interim head": b"HTTP/1.1 103 Early Hints\r\nX-A: v\r\n\r\n" + _HEAD,
    "behind other fields": _HEAD.replace(b"v", b"w") + _HEAD,
}
_MALFORMED = {
    "nothing": b"",
    "part": _HEAD[:-2],
    "blank behind a name": _HEAD.replace(b"X-A", b"X-A "),
    "blank inside a name": _HEAD.replace(b"X-A", b"X A"),
    "blank before a name": _HEAD.replace(b"X-A", b" X-A"),
    "continuation line": _HEAD.replace(b"v\r\n", b"\r\n v\r\n"),
    "control byte in a name": _HEAD.replace(b"X-A", b"X\x01A"),
    "control byte in a value": _HEAD.replace(b"v", b"v\x01"),
    "control byte in the reason": _HEAD.replace(b"OK", b"\x01"),
    "other protocol": _HEAD.replace(b"HTTP/1.1", b"RTSP/1.0"),
    "other version": _HEAD.replace(b"1.1", b"2.0"),
    "no name": _HEAD.replace(b"X-A", b""),
    "no colon": _HEAD.replace(b"X-A: v", b"X-A"),
    "other status": _HEAD.replace(b"200", b"204"),
    "other value": _HEAD.replace(b"v", b"w"),
    "one field more": _HEAD.replace(b"X-A", b"X-B: v\r\nX-A"),
}


class TestStatus:
    @pytest.mark.parametrize("status", [100, 103, 199, 200, 304, 499, 599])
    def test_is_valid(self, status):
        """Guards against answers of sound servers that are dropped."""
        assert is_valid_status(status)

    @pytest.mark.parametrize("status", [0, 1, 99, 101, 600, 999])
    def test_is_invalid(self, status):
        """Guards against statuses that no caller understands."""
        assert not is_valid_status(status)


class TestCodings:
    @pytest.mark.parametrize("values", [[], ["chunked"], ["Chunked"], ["identity"]])
    def test_are_known(self, values):
        """Guards against answers of sound servers that are dropped."""
        assert are_known_codings(values)

    @pytest.mark.parametrize(
        "values", [["gzip"], ["gzip, chunked"], ["chunked", "chunked"], ["x"], [""]]
    )
    def test_are_unknown(self, values):
        """Guards against a body that is passed on without being decoded."""
        assert not are_known_codings(values)


class TestFindHead:
    @pytest.mark.parametrize("data", _WELL_FORMED.values(), ids=_WELL_FORMED)
    def test_well_formed_head_is_found(self, data):
        """Guards against answers of sound servers that are dropped."""
        found = find_head(data + b"ok", status=200, fields=_FIELDS)
        assert found == len(data)

    @pytest.mark.parametrize("data", _MALFORMED.values(), ids=_MALFORMED)
    def test_malformed_head_is_not_found(self, data):
        """Guards against heads that others read otherwise."""
        assert find_head(data, status=200, fields=_FIELDS) == -1


def _read(
    kind: type[ResponseHandler], parts: list[bytes]
) -> list[tuple[int, tuple[tuple[bytes, bytes], ...]]]:
    """Return status and fields of the answers that a protocol makes of the bytes."""

    async def read() -> list[Any]:
        protocol = kind(loop=asyncio.get_running_loop())
        protocol.connection_made(_Transport())
        protocol.set_response_params(
            read_until_eof=True, auto_decompress=False, read_bufsize=_READ_BUFFER_BYTES
        )
        for part in parts:
            if protocol.is_connected():
                protocol.data_received(part)
        messages = []
        while protocol._buffer:
            message, payload = await protocol.read()
            messages.append(message)
            while payload._buffer:
                payload.read_nowait()
        return messages

    return [(each.code, each.raw_headers) for each in asyncio.run(read())]


class _Transport(asyncio.Transport):
    """Transport that only keeps whether it is closed."""

    is_closed = False

    def is_closing(self) -> bool:
        return self.is_closed

    def close(self) -> None:
        self.is_closed = True

    abort = close

    def pause_reading(self) -> None:
        """Do nothing, as data comes from the test."""

    resume_reading = pause_reading


def _is_strict(head: bytes) -> bool:
    """Return whether each line is as RFC 9112 has it, read line by line."""
    first, *lines, blank, _ = re.split(rb"\r?\n", head)
    return (
        not blank
        and re.fullmatch(rb"HTTP/1\.[01] [1-5]\d\d( [^\0-\x08\x0a-\x1f\x7f]*)?", first)
        is not None
        and all(
            re.fullmatch(rb"[-!#$%&'*+.^_`|~\w]+:[^\0-\x08\x0a-\x1f\x7f]*", line)
            for line in lines
        )
    )


_BYTES = st.sampled_from([b" ", b"\t", b"\r\n ", b"\r\n", b"\x01", b":", b"\0", b"7"])


class TestReadHeads:
    @given(
        st.lists(
            st.tuples(st.integers(0, len(_HEAD) - 4), _BYTES), min_size=1, max_size=2
        ),
        st.integers(1, 40),
    )
    def test_only_strict_ones_are_passed_on(self, changes, size):
        """Guards against heads that only the lenient parser takes, however split."""
        head = _HEAD
        for position, inserted in changes:
            head = head[:position] + inserted + head[position:]
        parts = [head[n : n + size] for n in range(0, len(head), size)]
        found = _read(ResponseHandler, parts)
        end = re.search(rb"\r?\n\r?\n", head.lstrip(b"\r\n"))
        is_strict = end is not None and _is_strict(head.lstrip(b"\r\n")[: end.end()])
        assert _read(LimitedProtocol, parts) == (found if is_strict else [])

    @pytest.mark.parametrize("size", [1, 7, 5000])
    @pytest.mark.parametrize(
        "body",
        [
            b"Content-Length: 2\r\n\r\nok",
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            # The parser pauses inside this one until it is read.
            b"Content-Length: 2000\r\n\r\n" + b"x" * 2000,
        ],
        ids=["length", "chunks", "long"],
    )
    def test_head_behind_another_answer_is_checked(self, body, size):
        """Guards against malformed heads behind a body in the same bytes."""
        first = b"HTTP/1.1 200 OK\r\n" + body
        for head, count in ((_HEAD, 2), (_MALFORMED["continuation line"], 1)):
            data = first + head + b"ok"
            parts = [data[n : n + size] for n in range(0, len(data), size)]
            assert len(_read(ResponseHandler, parts)) == 2
            assert len(_read(LimitedProtocol, parts)) == count
