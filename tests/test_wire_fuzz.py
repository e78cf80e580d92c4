"""Decoders raise only their documented errors, whatever the input."""

import contextlib
import json
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyspread.bundle import Bundle
from fireflyspread.callers._bodies import (
    ChatBody,
    EndBody,
    OpenBody,
    TurnBody,
    decode_body,
    decode_messages,
)
from fireflyspread.engines import DONE_EVENT, extract_answer, extract_partial
from fireflyspread.engines._sse import EventSplitter
from fireflyspread.exceptions import (
    BundleError,
    CrossedAnswerError,
    FireflyError,
    PeerError,
    RequestError,
    SettingsError,
    TargetError,
)
from fireflyspread.nodes import Hello, encode_message
from fireflyspread.nodes._messages import decode_message
from fireflyspread.recovery import SessionHeld
from fireflyspread.recovery._records import decode_records, encode_records
from fireflyspread.settings import Settings
from tools.cluster import load_bundle

FUZZ = settings(max_examples=400, derandomize=True, deadline=None, database=None)

SCALARS = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=12)
    | st.sampled_from(["127.0.0.1:80", "10.0.0.1:99999", "[::1]:0", "\ud800", "\x00"])
)
ANY = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
ADDRESS = "127.0.0.1:0"
CONFIG: dict[str, Any] = {
    "node": {"name": "entry-1", "zone": "a", "vm": "vm-1"},
    "listen": dict.fromkeys(("callers", "internal", "peers", "operators"), ADDRESS),
    "platform": {"store": "http://127.0.0.1:1", "vm_list": "http://127.0.0.1:2"},
    "node_secret": "0123456789abcdef",
    "operator_keys": {"olga": "0" * 64},
    "approvals_needed": 1,
    "data_folder": None,
    "statsd": ADDRESS,
    "tls": {"certificate": "c", "private_key": "p", "authority": "a"},
    "advertise": {"internal": ADDRESS, "peers": ADDRESS},
    "timing": {"lease_ttl": 5, "authority_ttl": 2.0, "renew_interval": 0.5},
    "limits": {"body_bytes": 1000},
    "logging": {"format": "json", "level": "INFO"},
}
BUNDLE = load_bundle("poklopac")
HELLO = encode_message(
    Hello(
        node="entry-1",
        incarnation="i",
        epoch=1,
        bundle_version=2,
        leaving=(),
    )
)
RECORDS = encode_records([SessionHeld(slot=1, subject="p", replica="r")])
ANSWER = b"".join(
    b"data: " + msgspec.json.encode({"id": "r1", **extra}) + b"\n\n"
    for extra in (
        {"choices": [{"delta": {"content": "a\n\nb"}}]},
        {"choices": [], "usage": {"prompt_tokens": 1, "completion_tokens": 2}},
    )
)


def list_paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the path of each value within a JSON value, including itself."""
    paths = [path]
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        paths += list_paths(inner, (*path, key))
    return paths


@st.composite
def mutate_json(draw: st.DrawFn, valid: dict[str, Any]) -> Any:
    """Replace or remove parts of a valid value."""
    changed = json.loads(json.dumps(valid))
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(list_paths(changed)))
        new = draw(ANY)
        if not path:
            return new
        container = changed
        for key in path[:-1]:
            container = container[key]
        if draw(st.booleans()):
            container[path[-1]] = new
        else:
            del container[path[-1]]
        if not isinstance(changed, dict) or not changed:
            break
    return changed


@st.composite
def mutate_bytes(draw: st.DrawFn, valid: bytes) -> bytes:
    """Replace a part of valid bytes by other bytes."""
    start = draw(st.integers(0, len(valid)))
    end = draw(st.integers(start, min(len(valid), start + 8)))
    return valid[:start] + draw(st.binary(max_size=8)) + valid[end:]


class TestMessages:
    """decode_message."""

    @given(st.binary(max_size=60) | mutate_bytes(HELLO))
    @FUZZ
    def test_bytes_raise_documented_errors(self, data: bytes) -> None:
        """Guards against an invalid message that ends the task of its connection."""
        with contextlib.suppress(PeerError):
            decode_message(data)

    @given(mutate_json(msgspec.msgpack.decode(HELLO)))
    @FUZZ
    def test_values_raise_documented_errors(self, value: Any) -> None:
        """Guards against messages of other releases that end a connection's task."""
        try:
            data = msgspec.msgpack.encode(value)
        except (OverflowError, UnicodeEncodeError):
            return
        with contextlib.suppress(PeerError):
            decode_message(data)

    def test_deep_nesting_raises_documented_errors(self) -> None:
        """Guards against a deeply nested message that exhausts the stack."""
        for prefix in (b"\x91", b"\x81\xa1x"):
            with pytest.raises(PeerError):
                decode_message(prefix * 100_000)


class TestRecords:
    """decode_records."""

    @given(st.binary(max_size=60) | mutate_bytes(RECORDS))
    @FUZZ
    def test_bytes_raise_documented_errors(self, data: bytes) -> None:
        """Guards against a damaged journal value that breaks off a takeover.

        That happens when decoding raises an undocumented error.
        """
        with contextlib.suppress(msgspec.DecodeError):
            decode_records(data)


class TestBundle:
    """Bundle.from_json."""

    @given(st.binary(max_size=60) | mutate_bytes(json.dumps(BUNDLE).encode()))
    @FUZZ
    def test_bytes_raise_documented_errors(self, data: bytes) -> None:
        """Guards against an internal error in response to an invalid draft."""
        with contextlib.suppress(BundleError):
            Bundle.from_json(data)

    @given(mutate_json(BUNDLE))
    @FUZZ
    def test_values_raise_documented_errors(self, value: Any) -> None:
        """Guards against an internal error in response to a field of a wrong type."""
        data = json.dumps(value).encode()
        with contextlib.suppress(BundleError):
            bundle = Bundle.from_json(data)
            assert Bundle.from_json(bundle.to_json()) == bundle

    def test_deep_nesting_raises_documented_errors(self) -> None:
        """Guards against a deeply nested draft that exhausts the stack."""
        with pytest.raises(BundleError):
            Bundle.from_json(b"[" * 100_000)


class TestSettings:
    """Settings.from_config."""

    @given(ANY | mutate_json(CONFIG))
    @FUZZ
    def test_values_raise_documented_errors(self, value: Any) -> None:
        """Guards against a traceback in response to a mistake in the file."""
        with contextlib.suppress(SettingsError):
            Settings.from_config(value)

    def test_example_is_valid(self) -> None:
        """Guards against mutations of a value that is invalid from the start."""
        assert Settings.from_config(CONFIG).node.name == "entry-1"


BODIES = {
    OpenBody: {"budget": 5, "model": "m"},
    EndBody: {"reason": "r"},
    TurnBody: {
        "turn": 1,
        "model": "m",
        "messages": [{"role": "user", "content": [{"type": "text", "text": "t"}]}],
        "max_tokens": 3,
        "stream": True,
    },
    ChatBody: {"model": "m", "messages": [{"role": "user", "content": "x"}]},
}


@pytest.mark.parametrize("kind", list(BODIES))
class TestBodies:
    """decode_body and decode_messages."""

    @given(data=st.data())
    @FUZZ
    def test_bytes_raise_documented_errors(
        self, kind: type[Any], data: st.DataObject
    ) -> None:
        """Guards against an internal error in response to an invalid body."""
        valid = json.dumps(BODIES[kind]).encode()
        body = data.draw(st.binary(max_size=60) | mutate_bytes(valid))
        self._decode(body, kind)

    @given(data=st.data())
    @FUZZ
    def test_values_raise_documented_errors(
        self, kind: type[Any], data: st.DataObject
    ) -> None:
        """Guards against an internal error in response to a field of a wrong type."""
        value = data.draw(mutate_json(BODIES[kind]))
        self._decode(json.dumps(value).encode(), kind)

    def test_deep_nesting_raises_documented_errors(self, kind: type[Any]) -> None:
        """Guards against a deeply nested body that exhausts the stack."""
        deep = b"[" * 100_000
        self._decode(deep, kind)
        self._decode(b'{"model":"m","turn":1,"messages":' + deep, kind)
        closed = deep + b"]" * 100_000
        self._decode(b'{"model":"m","turn":1,"messages":' + closed + b"}", kind)

    def _decode(self, body: bytes, kind: type[Any]) -> None:
        with contextlib.suppress(RequestError):
            decoded = decode_body(body, kind)
            if hasattr(decoded, "messages"):
                decode_messages(decoded.messages)


class TestEvents:
    """EventSplitter, extract_answer and extract_partial."""

    @given(
        st.binary(max_size=60) | mutate_bytes(ANSWER + DONE_EVENT),
        st.lists(st.integers(0, 200), max_size=4),
    )
    @FUZZ
    def test_bytes_raise_documented_errors(self, data: bytes, cuts: list[int]) -> None:
        """Guards against an invalid event that raises an undocumented error."""
        splitter = EventSplitter("r1", "x")
        output = b""
        bounds = [0, *sorted(cuts), len(data)]
        try:
            for start, end in zip(bounds, bounds[1:], strict=False):
                output += splitter.feed(data[start:end])
        except (TargetError, CrossedAnswerError):
            pass
        assert data.startswith(output)
        extract_partial(output)
        with contextlib.suppress(TargetError):
            text, _ = extract_answer(output)
            assert text == extract_partial(output)[0]

    def test_deep_nesting_raises_documented_errors(self) -> None:
        """Guards against a deeply nested event that exhausts the stack."""
        deep = b"[" * 100_000 + b"]" * 100_000
        event = b'data: {"id":"r1","x":' + deep + b"}\n\n"
        assert extract_partial(ANSWER + event) == ("a\n\nb", 1)
        with pytest.raises(TargetError):
            extract_answer(event + ANSWER)

    @given(mutate_json({"id": "r1", "choices": [{"delta": {"content": "a"}}]}))
    @FUZZ
    def test_values_raise_documented_errors(self, value: Any) -> None:
        """Guards against an event of wrong types that raises an undocumented error."""
        event = b"data: " + json.dumps(value).encode() + b"\n\n"
        extract_partial(event + ANSWER)
        with contextlib.suppress(FireflyError):
            extract_answer(event + ANSWER)
