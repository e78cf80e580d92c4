"""Cancellation of running requests for withdrawn keys and ended programs."""

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
class _TrackedRequest:
    identity: Identity
    program: str
    error: FireflyError | None = None


class RequestGuard:
    """Cancels running requests by their key or program."""

    def __init__(self) -> None:
        self._requests: dict[asyncio.Task[object], _TrackedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    @contextmanager
    def track(self, identity: Identity, program: str = "") -> Iterator[None]:
        """Make the current task's request cancellable while the block runs.

        Raises
        ------
        KeyWithdrawnError
            The key was withdrawn.
        ProgramEndedError
            An operator ended the program.
        NoAuthorityError
            The node has been without authority for too long.
        """
        task = asyncio.current_task()
        assert task is not None
        self._requests[task] = _TrackedRequest(identity, program)
        try:
            yield
        except asyncio.CancelledError:
            error = self.take_error()
            if error is None:
                raise
            raise error from None
        finally:
            self._requests.pop(task, None)

    def take_error(self) -> FireflyError | None:
        """Return the reason of the current task's cancellation and undo it.

        None when the task was not cancelled by this guard.
        """
        task = asyncio.current_task()
        request = self._requests.get(task) if task is not None else None
        if task is None or request is None or request.error is None:
            return None
        task.uncancel()
        return request.error

    def apply(self, bundle: ActiveBundle) -> None:
        """Cancel the requests whose key is not in ``bundle``."""

        def is_withdrawn(request: _TrackedRequest) -> bool:
            key = request.identity.key_digest
            return bool(key) and bundle.keys.get(key) != request.identity.team

        self._stop(
            is_withdrawn,
            lambda: KeyWithdrawnError(
                "the key was withdrawn; ask your operator for a new one"
            ),
        )

    def stop_program(self, program: str) -> None:
        """Cancel the requests of a program that an operator ends."""
        self._stop(
            lambda request: request.program == program,
            lambda: ProgramEndedError(
                "an operator ended the program; open a new one",
                outcome=Outcome.MAY_HAVE_RUN,
            ),
        )

    def stop_all(self) -> None:
        """Cancel all requests, because this node no longer learns of withdrawn keys."""
        self._stop(
            lambda request: True,
            lambda: NoAuthorityError(
                "this node lost contact with the other nodes; repeat the request "
                "through another node",
                outcome=Outcome.MAY_HAVE_RUN,
            ),
        )

    def _stop(
        self,
        matches: Callable[[_TrackedRequest], bool],
        make_error: Callable[[], FireflyError],
    ) -> None:
        for task, request in list(self._requests.items()):
            if request.error is None and matches(request):
                request.error = make_error()
                task.cancel()
