"""Deterministic answers of the engine stand-in.

An answer depends only on the history and starts with the digest of all messages, so
that a caller can detect an answer to another history.
"""

import hashlib
from typing import Any

__all__ = ["count_tokens", "digest_contents", "generate_words", "verify_answer"]

_VOCABULARY = (
    "lid matched gasket order slide scan draft report quote supplier sample status "
    "thread diameter seal batch price case stain tissue label archive courier pickup"
).split()


def read_content(message: dict[str, Any]) -> str:
    """Return the text of a message; parts without text count as empty."""
    content = message.get("content") or ""
    if isinstance(content, str):
        return content
    return "\n".join(str(part.get("text", "")) for part in content)


def count_tokens(text: str) -> int:
    """Return the number of tokens; one word is one token."""
    return len(text.split())


def digest_contents(contents: list[str]) -> str:
    """Return the digest of the contents of all messages, as 64 hex digits."""
    state = hashlib.sha256()
    for content in contents:
        state.update(hashlib.sha256(content.encode()).digest())
    return state.hexdigest()


def generate_words(digest: str, count: int) -> list[str]:
    """Return the first ``count`` words of the answer to a history."""
    seed = bytes.fromhex(digest)
    size = len(_VOCABULARY)
    words = [f"sha256:{digest}"]
    for index in range(1, count):
        words.append(_VOCABULARY[(seed[index % 32] + index // 32 * 7) % size])
    return words[:count]


def choose_answer_tokens(digest: str, min_tokens: int, max_tokens: int) -> int:
    """Return the tokens of the answer to a history, before the request's limit."""
    return min_tokens + int(digest[:8], 16) % (max_tokens - min_tokens + 1)


def verify_answer(contents: list[str], answer: str) -> str | None:
    """Check an answer against its history.

    Returns
    -------
    str or None
        Description of the first difference, or None if the answer is correct.
    """
    words = answer.split(" ")
    expected = generate_words(digest_contents(contents), len(words))
    if words[0] != expected[0]:
        return f"the answer belongs to another history: {words[0][:24]}"
    if words != expected:
        index = next(
            i
            for i, pair in enumerate(zip(words, expected, strict=True))
            if pair[0] != pair[1]
        )
        return f"the answer differs from word {index} on: {words[index][:24]!r}"
    return None
