"""Interfaces of the administration API to the rest of the process."""

import abc
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from attrs import frozen

__all__ = [
    "MemberLister",
    "MemberVersion",
    "ProgramAdmin",
    "ProgramView",
    "StateDumper",
]


@frozen(kw_only=True)
class MemberVersion:
    """Bundle version that a member has confirmed.

    Attributes
    ----------
    bundle_version : int
        0 when the member has not confirmed any.
    age : float or None
        Seconds since the last message from the member; None if there was none.
    """

    node: str
    zone: str
    bundle_version: int
    age: float | None = None


@frozen(kw_only=True)
class ProgramView:
    """A program without its history.

    Attributes
    ----------
    state : str
        For example ``idle``, ``running`` or ``ended``.
    turns : int
        Completed turns.
    budget, spent, reserved : int
        Tokens.
    idle : float
        Seconds since the last call.
    node : str
        Node that owns the program.
    """

    id: str
    team: str
    state: str
    turns: int
    budget: int
    spent: int
    reserved: int
    idle: float
    node: str
    parent: str | None = None


MemberLister = Callable[[], Sequence[MemberVersion]]
StateDumper = Callable[[], Mapping[str, Any]]


class ProgramAdmin(abc.ABC):
    """The programs that this node owns."""

    @abc.abstractmethod
    async def list_programs(
        self, *, team: str | None = None, limit: int = 100
    ) -> Sequence[ProgramView]:
        """Return open programs, those with the longest idle time first."""

    @abc.abstractmethod
    async def read_program(self, program: str) -> ProgramView:
        """Return one program.

        Raises
        ------
        NotFoundError
            This node does not own the program.
        """

    @abc.abstractmethod
    async def end_program(self, program: str, *, operator: str) -> ProgramView:
        """End a program, cancel its turn and release its engine memory.

        Raises
        ------
        NotFoundError
            This node does not own the program.
        ProgramEndedError
            The program has ended already.
        """
