"""The history of one program as a chain of digests over what each turn added."""

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

    The arrays are the very objects of the turn records, so they are in memory once.

    Parameters
    ----------
    program : str
        Program id; it starts the chain, so that histories of different programs
        never share a digest.
    """

    def __init__(self, program: str) -> None:
        self._arrays: list[bytes] = []
        self._chain = compute_digest(program.encode())

    @property
    def chain(self) -> str:
        """Digest over everything added so far."""
        return self._chain

    def preview(self, added: bytes) -> str:
        """Return the chain value that ``extend(added)`` would lead to."""
        return compute_digest(self._chain.encode(), added)

    def extend(self, added: bytes, *, chain: str) -> None:
        """Add a JSON array of messages.

        Raises
        ------
        HistoryMismatchError
            ``chain`` is not the digest that follows from this history.
        """
        if self.preview(added) != chain:
            raise HistoryMismatchError(
                "a recorded turn does not follow from the history before it; "
                "the history is not served"
            )
        self._chain = chain
        self._arrays.append(added)

    def render(self, new: bytes = b"[]") -> bytes:
        """Return the JSON array of all messages followed by those in ``new``."""
        parts = (array.strip()[1:-1].strip() for array in (*self._arrays, new))
        return b"[" + b",".join(part for part in parts if part) + b"]"
