"""Decoding of values that another process, or a damaged store, may have written."""

from typing import Any, TypeVar

import msgspec

__all__ = ["decode_json", "decode_msgpack"]

_Value = TypeVar("_Value")

# msgspec raises them for values that are nested too deeply, for text that is not UTF-8
# and for numbers with too many digits.
_MALFORMED = (RecursionError, ValueError, OverflowError)


def decode_json(data: bytes, kind: type[_Value]) -> _Value:
    """Return the value in ``data``.

    Raises
    ------
    msgspec.DecodeError
        The bytes are not JSON of this type, whatever is wrong with them.
    """
    return _decode(msgspec.json.decode, data, kind)


def decode_msgpack(data: bytes, kind: type[_Value]) -> _Value:
    """Return the value in ``data``; raises as ``decode_json`` does."""
    return _decode(msgspec.msgpack.decode, data, kind)


def _decode(decode: Any, data: bytes, kind: type[_Value]) -> _Value:
    try:
        return decode(data, type=kind)
    except msgspec.DecodeError:
        raise
    except _MALFORMED as exc:
        raise msgspec.DecodeError(f"{type(exc).__name__}: {exc}") from exc
