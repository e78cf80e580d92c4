"""The bundle in force on this node."""

import asyncio
import logging
from collections.abc import Callable

from fireflyspread.bundle._model import ActiveBundle
from fireflyspread.exceptions import NoAuthorityError

__all__ = ["BundleHolder"]

_LOG = logging.getLogger(__name__)


class BundleHolder:
    """Holds the newest bundle seen by this node; its version never decreases."""

    def __init__(self) -> None:
        self._active: ActiveBundle | None = None
        self._listeners: list[Callable[[ActiveBundle], None]] = []
        self._arrived = asyncio.Event()

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return 0 if self._active is None else self._active.version

    def get_active(self) -> ActiveBundle:
        """Return the bundle in force.

        Raises
        ------
        NoAuthorityError
            No bundle has reached this node yet.
        """
        if self._active is None:
            raise NoAuthorityError("no bundle is in force yet; try another node")
        return self._active

    def offer(self, bundle: ActiveBundle) -> bool:
        """Put ``bundle`` in force if it is newer; return whether it was."""
        if bundle.version <= self.version:
            return False
        self._active = bundle
        self._arrived.set()
        for listener in self._listeners:
            try:
                listener(bundle)
            except Exception:
                # The other listeners must still learn of withdrawn keys.
                _LOG.exception(
                    "bundle listener failed", extra={"version": bundle.version}
                )
        return True

    def add_listener(self, listener: Callable[[ActiveBundle], None]) -> None:
        """Call ``listener`` with each bundle put in force from now on."""
        self._listeners.append(listener)

    async def wait_first(self) -> None:
        """Return once a bundle is in force."""
        await self._arrived.wait()
