"""Turns that callers can continue from, and the text of their chains."""

import msgspec

from fireflyspread._decoding import decode_msgpack
from fireflyspread._event_stream import iterate_fields

__all__ = ["CLOCK_MARGIN", "Turn", "decode_turn", "encode_turn", "extract_data"]

# Seconds by which the clocks of two processes may differ.
CLOCK_MARGIN = 10.0


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """A complete turn together with all turns that it continues from.

    Attributes
    ----------
    id : str
        Id of the request.
    team : str
        Team that may continue from the turn; empty on routes open to all.
    parts : tuple of bytes
        Inputs and outputs of the chain by turns, oldest first.
    ended_at : float
        Unix seconds.
    retention : float
        Seconds after its end for which the turn can be continued.
    zones : tuple of str or None
        Zones of the nodes that may hold the turn; None allows all.
    """

    id: str
    team: str
    parts: tuple[bytes, ...]
    ended_at: float
    retention: float
    zones: tuple[str, ...] | None = None

    @property
    def size(self) -> int:
        """Bytes of the chain."""
        return sum(map(len, self.parts))

    @property
    def chain_length(self) -> int:
        """Number of turns in the chain."""
        return len(self.parts) // 2

    def may_be_in(self, zone: str) -> bool:
        """Return whether a node in a zone may hold the turn."""
        return self.zones is None or zone in self.zones

    def has_expired(self, now: float) -> bool:
        """Return whether the retention is certainly over.

        Parameters
        ----------
        now : float
            Unix seconds, by a clock that may differ from that of ``ended_at``.
        """
        return now > self.ended_at + self.retention + CLOCK_MARGIN


def extract_data(events: bytes) -> bytes:
    """Return the data lines of events, each followed by a line feed."""
    return b"".join(
        value + b"\n" for name, value in iterate_fields(events) if name == b"data"
    )


def encode_turn(turn: Turn) -> bytes:
    """Return ``turn`` as MessagePack."""
    return msgspec.msgpack.encode(turn)


def decode_turn(data: bytes) -> Turn:
    """Return the turn in ``data``.

    Raises
    ------
    ValueError
        The bytes are not a turn.
    """
    return decode_msgpack(data, Turn)
