"""Zones whose replicas get no more requests."""

import logging
from collections.abc import Callable, Iterable

__all__ = ["ZoneEvacuations"]

_LOG = logging.getLogger(__name__)


class ZoneEvacuations:
    """The zones being evacuated, with the revision of the store at which they were.

    The set is always replaced as a whole by one of a later revision, whether it comes
    from the store or from another node. The end of an evacuation thus needs no record
    of its own, and an old message cannot start an evacuation again.

    Parameters
    ----------
    on_change : callable
        Called with the zones after each change of the set.

    Attributes
    ----------
    zones : frozenset of str
        Zones being evacuated.
    revision : int
        Revision of the store up to which ``zones`` is complete; -1 before the first.
    """

    def __init__(self, on_change: Callable[[frozenset[str]], None]) -> None:
        self._on_change = on_change
        self._listeners: list[Callable[[], None]] = []
        self.zones: frozenset[str] = frozenset()
        self.revision = -1

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the set."""
        self._listeners.append(listener)

    def offer(self, zones: Iterable[str], revision: int, *, source: str) -> None:
        """Take over the zones unless those of the same or a later revision are known.

        Parameters
        ----------
        source : str
            Node that told them, or "store".
        """
        if revision <= self.revision:
            return
        self.revision = revision
        known, self.zones = self.zones, frozenset(zones)
        if known == self.zones:
            return
        for zone in sorted(self.zones - known):
            _LOG.info(
                "evacuation of a zone began",
                extra={"zone": zone, "source": source, "revision": revision},
            )
        for zone in sorted(known - self.zones):
            _LOG.info(
                "evacuation of a zone ended",
                extra={"zone": zone, "source": source, "revision": revision},
            )
        self._on_change(self.zones)
        for listener in self._listeners:
            listener()
