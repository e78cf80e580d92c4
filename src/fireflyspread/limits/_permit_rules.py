"""How permits for requests to a replica follow from the rate that it takes."""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from fireflyspread.bundle import Team

__all__ = ["KnownRates", "PermitRules"]


class KnownRates(Protocol):
    """Requests per second that replicas take, by replica process."""

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""

    def find(self, process: str) -> float | None:
        """Return the requests per second of a process; None if it is unlimited."""

    def list_rates(self) -> dict[str, float]:
        """Return the rates of all processes that are limited."""


@frozen(kw_only=True)
class PermitRules:
    """Rules of one kind of limit.

    Attributes
    ----------
    prefix : str
        Begins the share names of this kind, so that the home nodes tell kinds apart.
    make_share : callable
        Returns the rate and burst of all nodes together for a share name and the
        requests per second that the replica takes.
    limits_delay : float
        Seconds after a change of the rate in which the smaller share counts.
    starts_full : bool
        Whether the permits of the burst are available when a limit becomes known, and
        when a node becomes a home.
    attempts : float
        Attempts of all nodes together for each request that the limit allows.
    burst_for_each_home, max_homes
        See ``MembersView``.
    """

    make_share: Callable[[str, float], Team]
    prefix: str = ""
    limits_delay: float
    starts_full: bool
    attempts: float
    burst_for_each_home: float
    max_homes: int
