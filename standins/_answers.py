"""Answers of the engine stand-in, which follow from the history alone.

An answer starts with the digest of all messages, so that a caller that knows its
history can tell an answer that was made from another one.
"""

import hashlib
from typing import Any

__all__ = ["count_tokens", "digest_contents", "make_words", "verify_answer"]

_VOCABULARY = (
    "lid matched gasket order slide scan draft report quote supplier sample status "
    "thread diameter seal batch price case stain tissue label archive courier pickup"
).split()


def read_content(message: dict[str, Any]) -> str:
    """Return the text of a message; parts of other kinds are left out."""
    content = message.get("content") or ""
    if isinstance(content, str):
        return content
    return "\n".join(str(part.get("text", "")) for part in content)


def count_tokens(text: str) -> int:
    """Return the number of words."""
    return len(text.split())


def digest_contents(contents: list[str]) -> str:
    """Return one digest over the contents of all messages, 64 hex digits."""
    state = hashlib.sha256()
    for content in contents:
        state.update(hashlib.sha256(content.encode()).digest())
    return state.hexdigest()


def make_words(digest: str, count: int) -> list[str]:
    """Return the first ``count`` words of the answer to a history."""
    seed = bytes.fromhex(digest)
    size = len(_VOCABULARY)
    words = [f"sha256:{digest}"]
    for index in range(1, count):
        words.append(_VOCABULARY[(seed[index % 32] + index // 32 * 7) % size])
    return words[:count]


def count_natural(digest: str, shortest: int, longest: int) -> int:
    """Return the length of the answer to a history when nothing limits it."""
    return shortest + int(digest[:8], 16) % (longest - shortest + 1)


def verify_answer(contents: list[str], answer: str) -> str | None:
    """Check an answer against the history that it must belong to.

    Returns
    -------
    str or None
        What is wrong, or None.
    """
    words = answer.split(" ")
    wanted = make_words(digest_contents(contents), len(words))
    if words[0] != wanted[0]:
        return f"the answer belongs to another history: {words[0][:24]}"
    if words != wanted:
        place = next(
            i
            for i, pair in enumerate(zip(words, wanted, strict=True))
            if pair[0] != pair[1]
        )
        return f"the answer is wrong from word {place}: {words[place][:24]!r}"
    return None
