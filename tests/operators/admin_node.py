"""An administration API over an in-memory store, on a loopback port."""

import ssl
from collections.abc import Sequence
from typing import Any

from attrs import field, mutable

from fireflyspread.bundle import Rollout, hash_key
from fireflyspread.exceptions import NotFoundError
from fireflyspread.operators import (
    AdminApi,
    MemberVersion,
    OperatorKeys,
    ProgramAdmin,
    ProgramView,
)
from fireflyspread.settings import Address
from tests.bundle.memory_store import MemoryStore

ANA_KEY = "operator-key-of-ana"
BEN_KEY = "operator-key-of-ben"


def make_program(name: str = "p1", team: str = "lids") -> ProgramView:
    """Return a running program."""
    return ProgramView(
        id=name,
        team=team,
        state="running",
        turns=3,
        budget=1000,
        spent=10,
        reserved=5,
        idle=1.5,
        node="entry-1",
    )


class FakePrograms(ProgramAdmin):
    """Programs in a dictionary."""

    def __init__(self) -> None:
        self.programs = {"p1": make_program()}

    async def list_programs(
        self, *, team: str | None = None, limit: int = 100
    ) -> Sequence[ProgramView]:
        found = [p for p in self.programs.values() if team in (None, p.team)]
        return found[:limit]

    async def read_program(self, program: str) -> ProgramView:
        if program not in self.programs:
            raise NotFoundError(f"program {program!r} is not on this node")
        return self.programs[program]

    async def end_program(self, program: str, *, operator: str) -> ProgramView:
        view = await self.read_program(program)
        del self.programs[program]
        return view


@mutable
class AdminNode:
    """One node's administration API and its dependencies."""

    store: MemoryStore = field(factory=MemoryStore)
    programs: FakePrograms = field(factory=FakePrograms)
    members: list[MemberVersion] = field(factory=list)
    state: dict[str, Any] = field(factory=lambda: {"epoch": 3})
    max_body_bytes: int = 4 << 20

    def make_api(self, *, tls: ssl.SSLContext | None = None) -> AdminApi:
        """Return the API; it listens on a free port."""
        return AdminApi(
            address=Address("127.0.0.1", 0),
            keys=OperatorKeys({"ana": hash_key(ANA_KEY), "ben": hash_key(BEN_KEY)}),
            rollout=Rollout(self.store, max_retry_delay=0.0),
            programs=self.programs,
            list_members=lambda: self.members,
            dump_state=lambda: self.state,
            max_body_bytes=self.max_body_bytes,
            tls=tls,
        )
