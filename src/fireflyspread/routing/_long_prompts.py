"""Long prompts beside short ones: which replica computes a long prompt.

A replica computes prompts in chunks between the tokens of its running requests. While
it computes a long prompt, short prompts wait for their turn and all tokens take longer.
"""

from attrs import define, field, frozen

__all__ = ["LongPromptPolicy", "PromptTokens"]


@define(eq=False)
class PromptTokens:
    """Prompt tokens of this node's requests that a replica has yet to compute."""

    _prompts: dict[str, tuple[float, int]] = field(factory=dict)

    def add(self, request: str, tokens: int, now: float) -> None:
        """Record that a prompt with uncached ``tokens`` is sent."""
        self._prompts[request] = (now, tokens)

    def remove(self, request: str) -> None:
        """Record that an answer has begun or will not come."""
        self._prompts.pop(request, None)

    def count(self, now: float, rate: float) -> float:
        """Return the tokens left if the replica computes ``rate`` tokens per second.

        Each prompt is counted down by itself, which is too fast if several are computed
        at a time.
        """
        return sum(
            max(0.0, tokens - (now - sent_at) * rate)
            for sent_at, tokens in self._prompts.values()
        )


@frozen(kw_only=True)
class LongPromptPolicy:
    """Spreads long prompts over replicas.

    Prompts in flight delay a request that comes after them, so placement adds the time
    that they take: short prompts avoid replicas that compute long ones. A replica that
    computes prompts gets a long one only within a limit.

    Parameters
    ----------
    min_tokens : int
        Uncached tokens from which a prompt is long: two chunks of an engine.
    max_tokens_in_flight : int
        Uncached tokens that this node has one replica compute at a time, as long as
        another replica has room. A prompt that is longer by itself needs a replica
        without any.
    """

    min_tokens: int = 4096
    max_tokens_in_flight: int = 16_384

    def is_long(self, uncached_tokens: int) -> bool:
        """Return whether a prompt with this many uncached tokens is a long one."""
        return uncached_tokens >= self.min_tokens

    def has_room(self, uncached_tokens: int, tokens_in_flight: float) -> bool:
        """Return whether a replica may get a prompt beside those it computes."""
        if not self.is_long(uncached_tokens) or tokens_in_flight <= 0:
            return True
        return tokens_in_flight + uncached_tokens <= self.max_tokens_in_flight
