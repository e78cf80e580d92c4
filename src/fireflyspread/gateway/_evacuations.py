"""Orders of operators to evacuate zones."""

from fireflyspread.recovery import Change, Entry, PrefixListener
from fireflyspread.routing import ZoneEvacuations

__all__ = ["EvacuationListener"]


class EvacuationListener(PrefixListener):
    """Passes the evacuated zones in the store on.

    A change takes effect only with the revision that the watch has reached, because
    the deletion of a key has none of its own.

    Parameters
    ----------
    prefix : str
        Prefix of the keys, which is followed by the name of the zone.
    """

    def __init__(self, evacuations: ZoneEvacuations, *, prefix: str) -> None:
        self._evacuations = evacuations
        self._prefix = prefix
        self._zones: set[str] = set()

    def replace(self, entries: tuple[Entry, ...]) -> None:
        self._zones = {entry.key.removeprefix(self._prefix) for entry in entries}

    def apply(self, change: Change) -> None:
        zone = change.key.removeprefix(self._prefix)
        if change.entry is None:
            self._zones.discard(zone)
        else:
            self._zones.add(zone)

    def handle_revision(self, revision: int) -> None:
        self._evacuations.offer(self._zones, revision, source="store")
