"""Grants of rate tokens between nodes."""

import random

import pytest

from fireflyspread.bundle import Team
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import PeerError
from fireflyspread.limits import ReplicaLimiter, ShareLimiter
from fireflyspread.nodes import (
    NodeTokenPeers,
    PeerClient,
    PeerServer,
    register_token_handler,
)
from fireflyspread.recovery import Member
from fireflyspread.settings import Address

TEAM = Team(name="scans", rate=100.0, burst=32.0)


class TestNodeTokenPeers:
    """NodeTokenPeers and register_token_handler."""

    async def test_grants_over_the_network(self) -> None:
        """Guards against messages that lose the granted amount or ``retry_after``."""
        client = PeerClient()
        server = PeerServer(Address(host="127.0.0.1", port=0))
        members: dict[str, Member] = {}
        peers = NodeTokenPeers(
            client, node="entry-2", incarnation="2", find_member=members.get
        )
        home = ShareLimiter(
            "entry-1",
            peers,
            clock=ManualClock(),
            rng=random.Random(1),
            check_authority=lambda: None,
        )
        home.set_teams({"scans": TEAM})
        home.set_members(1, ["entry-1"])
        replicas = ReplicaLimiter(
            "entry-1", peers, clock=ManualClock(), rng=random.Random(1)
        )
        register_token_handler(server, home, replicas, node="entry-1", incarnation="1")
        try:
            address = await server.start()
            with pytest.raises(PeerError, match="member"):
                await peers.acquire("entry-1", "scans", 1.0, 1)
            members["entry-1"] = Member(
                name="entry-1",
                incarnation="1",
                zone="a",
                vm="vm-1",
                internal="",
                peers=str(address),
            )
            first = await peers.acquire("entry-1", "scans", 30.0, 1)
            second = await peers.acquire("entry-1", "scans", 30.0, 1)
        finally:
            await client.close()
            await server.stop()
        assert (first.amount, second.amount) == (30.0, 2.0)
        assert second.retry_after > 0.0
