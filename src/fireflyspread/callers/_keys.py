"""Ends running requests whose key has been withdrawn."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from fireflyspread.bundle import ActiveBundle
from fireflyspread.exceptions import FireflyError, KeyWithdrawnError, NoAuthorityError
from fireflyspread.nodes import Identity

__all__ = ["KeyGuard"]


class KeyGuard:
    """Connections with a running request, by the key they presented."""

    def __init__(self) -> None:
        self._running: dict[asyncio.Task[object], Identity] = {}
        self._errors: dict[asyncio.Task[object], FireflyError] = {}

    def __len__(self) -> int:
        return len(self._running)

    @contextmanager
    def hold(self, identity: Identity) -> Iterator[None]:
        """End the current task's request when its key is withdrawn meanwhile.

        Raises
        ------
        KeyWithdrawnError
            The key was withdrawn.
        NoAuthorityError
            The node lost its authority for too long.
        """
        task = asyncio.current_task()
        assert task is not None
        self._running[task] = identity
        try:
            yield
        except asyncio.CancelledError:
            error = self._errors.get(task)
            if error is None:
                raise
            task.uncancel()
            raise error from None
        finally:
            self._running.pop(task, None)
            self._errors.pop(task, None)

    def apply(self, bundle: ActiveBundle) -> None:
        """End the requests whose key is not in ``bundle``."""
        for task, identity in list(self._running.items()):
            if not identity.key_digest:
                continue
            if bundle.keys.get(identity.key_digest) != identity.team:
                self._stop(
                    task,
                    KeyWithdrawnError(
                        "the key was withdrawn; ask your operator for a new one"
                    ),
                )

    def stop_all(self) -> None:
        """End all requests, because withdrawn keys can no longer be seen here."""
        for task in list(self._running):
            self._stop(
                task,
                NoAuthorityError(
                    "this node lost contact with the others; repeat the request "
                    "through another node"
                ),
            )

    def _stop(self, task: asyncio.Task[object], error: FireflyError) -> None:
        if task not in self._errors:
            self._errors[task] = error
            task.cancel()
