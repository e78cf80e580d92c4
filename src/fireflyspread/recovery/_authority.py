"""Time-limited permission of this node to admit, spend and acknowledge."""

from fireflyspread.clock import Clock
from fireflyspread.exceptions import NoAuthorityError

__all__ = ["Authority"]


class Authority:
    """Permission to act until a deadline that renewals extend.

    Parameters
    ----------
    ttl : float
        Seconds that a renewal lasts, from the time at which it was sent.
    """

    def __init__(self, clock: Clock, ttl: float = 2.0) -> None:
        self._clock = clock
        self._ttl = ttl
        self._deadline = float("-inf")
        self._is_revoked = False

    @property
    def ttl(self) -> float:
        """Seconds that a renewal lasts, from the time at which it was sent."""
        return self._ttl

    @property
    def remaining(self) -> float:
        """Seconds until the deadline; negative once it has passed."""
        return self._deadline - self._clock.read_monotonic()

    @property
    def is_held(self) -> bool:
        """Whether the deadline has not passed."""
        return self.remaining > 0

    def check(self) -> None:
        """Check that the node may act.

        Raises
        ------
        NoAuthorityError
            The deadline has passed; nothing may be admitted or acknowledged.
        """
        if not self.is_held:
            raise NoAuthorityError(
                "neither the store nor the monitor has renewed this node's authority; "
                "retry through another node"
            )

    def renew(self, sent_at: float, seconds: float | None = None) -> None:
        """Extend the deadline after the answer to a renewal.

        Parameters
        ----------
        sent_at : float
            When the renewal was sent, in monotonic seconds.
        seconds : float or None
            Seconds granted from then on, at most ``ttl``; None takes ``ttl``.
        """
        # A renewal sent before the node was removed may be answered afterwards.
        if self._is_revoked:
            return
        granted = self._ttl if seconds is None else min(seconds, self._ttl)
        self._deadline = max(self._deadline, sent_at + granted)

    def revoke(self) -> None:
        """End the authority and ignore renewals until ``reset``."""
        self._deadline = float("-inf")
        self._is_revoked = True

    def reset(self) -> None:
        """Accept renewals again, for a new incarnation."""
        self._is_revoked = False
