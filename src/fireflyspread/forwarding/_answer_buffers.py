"""Limits what the answers of all requests together hold back in memory."""

from types import TracebackType

__all__ = ["AnswerBuffer", "AnswerBuffers"]

# Bytes of one answer that are held back while another replica may still be tried.
_MAX_ANSWER_BYTES = 1 << 20
# Bytes of all answers together. The smallest entry VM has 260 MB.
_MAX_TOTAL_BYTES = 32 << 20
# Bytes that are passed on at once.
_PART_BYTES = 1 << 16


class AnswerBuffers:
    """Shares the memory for answers among all requests of a process.

    An answer that is held back can be replaced by that of another replica. Beyond the
    limits, answers are passed on as they arrive.

    Parameters
    ----------
    max_answer_bytes : int
        Bytes that one answer may hold back.
    max_total_bytes : int
        Bytes that all answers may hold back together, apart from ``part_bytes`` each.
    part_bytes : int
        Bytes that are passed on at once.

    Attributes
    ----------
    held_bytes : int
        Bytes held back now.
    """

    def __init__(
        self,
        *,
        max_answer_bytes: int = _MAX_ANSWER_BYTES,
        max_total_bytes: int = _MAX_TOTAL_BYTES,
        part_bytes: int = _PART_BYTES,
    ) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.max_total_bytes = max_total_bytes
        self.part_bytes = part_bytes
        self.held_bytes = 0

    def open(self) -> "AnswerBuffer":
        """Return an empty buffer; use it as a context manager."""
        return AnswerBuffer(self)


class AnswerBuffer:
    """The bytes of one answer that have not been passed on."""

    def __init__(self, buffers: AnswerBuffers) -> None:
        self._buffers = buffers
        self._data = bytearray()
        self._is_passed_on = False

    def __enter__(self) -> "AnswerBuffer":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._buffers.held_bytes -= len(self._data)
        self._data.clear()

    def __len__(self) -> int:
        return len(self._data)

    def add(self, data: bytes) -> None:
        """Add bytes that have arrived."""
        self._data += data
        self._buffers.held_bytes += len(data)

    @property
    def is_due(self) -> bool:
        """Whether bytes have to be passed on before more may arrive."""
        size = len(self._data)
        if size < self._buffers.part_bytes:
            return False
        return (
            self._is_passed_on
            or size >= self._buffers.max_answer_bytes
            or self._buffers.held_bytes >= self._buffers.max_total_bytes
        )

    def take_part(self) -> bytes:
        """Take out the next bytes to pass on; empty if there are none."""
        self._is_passed_on = True
        part = bytes(self._data[: self._buffers.part_bytes])
        del self._data[: len(part)]
        self._buffers.held_bytes -= len(part)
        return part
