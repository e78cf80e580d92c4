"""The active configuration of a node."""

import logging
from collections.abc import Callable

from fireflyspread.exceptions import NoAuthorityError
from fireflyspread.forwarding._config import ForwardingConfig

__all__ = ["ConfigHolder"]

_LOG = logging.getLogger(__name__)

# With more teams, only their number is logged, to limit the length of the log line.
_MAX_LOGGED_TEAMS = 100


class ConfigHolder:
    """Holds the newest configuration seen; older versions are ignored."""

    def __init__(self) -> None:
        self._active: ForwardingConfig | None = None
        self._listeners: list[Callable[[ForwardingConfig], None]] = []

    @property
    def version(self) -> int:
        """Active version; -1 if there is none yet."""
        return -1 if self._active is None else self._active.version

    def get(self) -> ForwardingConfig:
        """Return the active configuration.

        Raises
        ------
        NoAuthorityError
            The node has not received a configuration yet.
        """
        if self._active is None:
            raise NoAuthorityError(
                "the node has no configuration yet; try another node", retry_after=0.5
            )
        return self._active

    def offer(self, config: ForwardingConfig, *, source: str) -> bool:
        """Activate ``config`` if it is newer; return whether it was."""
        if config.version <= self.version:
            return False
        _LOG.info(
            "configuration activated",
            extra={
                "version": config.version,
                "before": self.version,
                "source": source,
                "routes": len(config.routes),
                "rates": {
                    name: (team.rate, team.burst)
                    for name, team in config.team_limits.items()
                }
                if len(config.team_limits) <= _MAX_LOGGED_TEAMS
                else len(config.team_limits),
            },
        )
        self._active = config
        for listener in self._listeners:
            listener(config)
        return True

    def add_listener(self, listener: Callable[[ForwardingConfig], None]) -> None:
        """Call ``listener`` with each configuration when it becomes active."""
        self._listeners.append(listener)
