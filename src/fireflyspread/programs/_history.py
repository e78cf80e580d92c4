"""History of one program, with a hash chain over the messages of its turns."""

import hashlib

from fireflyspread.exceptions import HistoryMismatchError

__all__ = ["History", "compute_digest"]


def compute_digest(*parts: bytes) -> str:
    """Return the SHA-256 of length-prefixed ``parts`` as 64 hex digits."""
    state = hashlib.sha256()
    for part in parts:
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()


class History:
    """Messages of a program, as the JSON arrays that its turns added.

    The arrays are shared with the turn records and not copied.

    Parameters
    ----------
    program : str
        Program id. The chain starts from it, so that histories of different
        programs never have the same digest.
    """

    def __init__(self, program: str) -> None:
        self._arrays: list[bytes] = []
        self._chain = compute_digest(program.encode())

    @property
    def chain(self) -> str:
        """Digest over all messages added so far."""
        return self._chain

    def preview(self, added: bytes) -> str:
        """Return the digest that the chain would have after ``extend(added)``."""
        return compute_digest(self._chain.encode(), added)

    def extend(self, added: bytes, *, chain: str) -> None:
        """Add a JSON array of messages.

        Raises
        ------
        HistoryMismatchError
            ``chain`` is not the digest of this history with ``added``.
        """
        if self.preview(added) != chain:
            raise HistoryMismatchError(
                "the digest of a recorded turn does not match the history before it; "
                "the history is not served"
            )
        self._chain = chain
        self._arrays.append(added)

    def render(self, new: bytes = b"[]") -> bytes:
        """Return a JSON array of all messages followed by those in ``new``."""
        parts = (array.strip()[1:-1].strip() for array in (*self._arrays, new))
        return b"[" + b",".join(part for part in parts if part) + b"]"
