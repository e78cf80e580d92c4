"""Ends running requests from outside: withdrawn keys, ended programs."""

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define

from fireflyspread.bundle import ActiveBundle
from fireflyspread.exceptions import (
    FireflyError,
    KeyWithdrawnError,
    NoAuthorityError,
    Outcome,
    ProgramEndedError,
)
from fireflyspread.nodes import Identity

__all__ = ["RequestGuard"]


@define
class _Held:
    identity: Identity
    program: str
    error: FireflyError | None = None


class RequestGuard:
    """Tasks of running requests, by the key and the program they belong to."""

    def __init__(self) -> None:
        self._held: dict[asyncio.Task[object], _Held] = {}

    def __len__(self) -> int:
        return len(self._held)

    @contextmanager
    def hold(self, identity: Identity, program: str = "") -> Iterator[None]:
        """Let the current task's request be ended from outside.

        Raises
        ------
        KeyWithdrawnError
            The key was withdrawn.
        ProgramEndedError
            An operator ended the program.
        NoAuthorityError
            The node lost its authority for too long.
        """
        task = asyncio.current_task()
        assert task is not None
        self._held[task] = _Held(identity, program)
        try:
            yield
        except asyncio.CancelledError:
            error = self.take_error()
            if error is None:
                raise
            raise error from None
        finally:
            self._held.pop(task, None)

    def take_error(self) -> FireflyError | None:
        """Return why the current task was cancelled, and undo the cancellation.

        None when the cancellation did not come from this guard.
        """
        task = asyncio.current_task()
        held = self._held.get(task) if task is not None else None
        if task is None or held is None or held.error is None:
            return None
        task.uncancel()
        return held.error

    def apply(self, bundle: ActiveBundle) -> None:
        """End the requests whose key is not in ``bundle``."""

        def is_withdrawn(held: _Held) -> bool:
            key = held.identity.key_digest
            return bool(key) and bundle.keys.get(key) != held.identity.team

        self._stop(
            is_withdrawn,
            lambda: KeyWithdrawnError(
                "the key was withdrawn; ask your operator for a new one"
            ),
        )

    def stop_program(self, program: str) -> None:
        """End the requests of a program, because an operator ends it."""
        self._stop(
            lambda held: held.program == program,
            lambda: ProgramEndedError(
                "an operator ended the program; open a new one",
                outcome=Outcome.MAY_HAVE_RUN,
            ),
        )

    def stop_all(self) -> None:
        """End all requests, because withdrawn keys can no longer be seen here."""
        self._stop(
            lambda held: True,
            lambda: NoAuthorityError(
                "this node lost contact with the others; repeat the request "
                "through another node",
                outcome=Outcome.MAY_HAVE_RUN,
            ),
        )

    def _stop(
        self, matches: Callable[[_Held], bool], make: Callable[[], FireflyError]
    ) -> None:
        for task, held in list(self._held.items()):
            if held.error is None and matches(held):
                held.error = make()
                task.cancel()
