"""Tests of finding the version at which a stream may go on, without a network."""

import asyncio
from collections.abc import Mapping, Sequence

import pytest

from fireflyspread.clock import SystemClock
from fireflyspread.exceptions import PeerError, StreamVersionError
from fireflyspread.forwarding import (
    FoundStream,
    StreamOrigin,
    StreamVersionPeers,
    StreamVersions,
)

_OLD = StreamOrigin("models", "v1")


class Nodes(StreamVersionPeers):
    """Nodes that see the same or different versions of one target."""

    def __init__(self, versions: Mapping[str, set[str]]) -> None:
        self.versions = dict(versions)
        self.lost: set[str] = set()
        self.nodes = {name: self._make(name) for name in versions}

    def _make(self, name: str) -> StreamVersions:
        return StreamVersions(
            self,
            node=name,
            clock=SystemClock(),
            list_members=lambda: list(self.versions),
            list_versions=lambda target: self.versions[name],
        )

    def set_versions(self, *versions: str) -> None:
        """Let all nodes see new versions."""
        for name, node in self.nodes.items():
            self.versions[name] = set(versions)
            node.update(["models"])

    def _get(self, node: str) -> StreamVersions:
        if node in self.lost:
            raise PeerError(f"{node} is lost")
        return self.nodes[node]

    async def report(
        self,
        node: str,
        origins: Mapping[str, StreamOrigin],
        versions: Mapping[str, Sequence[str]],
    ) -> Mapping[str, Sequence[str]]:
        self._get(node).add_reported(origins)
        return {}

    async def find(self, node: str, request: str, target: str) -> FoundStream:
        return self._get(node).look_up(request, target)


def make_nodes(*versions: str, count: int = 5) -> Nodes:
    """Return nodes that all see the same versions."""
    nodes = Nodes({f"n{number}": set(versions) for number in range(count)})
    nodes.set_versions(*versions)
    return nodes


async def wait_reported() -> None:
    """Wait until the streams begun so far are reported."""
    await asyncio.sleep(0.05)


class TestFind:
    """StreamVersions.find."""

    @pytest.mark.parametrize("request_id", [f"r{number}" for number in range(8)])
    async def test_survives_the_loss_of_two_nodes(self, request_id):
        """Guards against a version that only lost nodes remember."""
        nodes = make_nodes("v1", "v2")
        nodes.nodes["n0"].record(request_id, _OLD)
        await wait_reported()
        nodes.lost = {"n0", "n1"}
        for name in ("n2", "n3", "n4"):
            assert await nodes.nodes[name].find(request_id, "models") == "v1"

    async def test_streams_begun_before_a_second_version_are_known(self):
        """Guards against streams that are lost because a release begins."""
        nodes = make_nodes("v1")
        nodes.nodes["n0"].record("r1", _OLD)
        nodes.set_versions("v1", "v2")
        await wait_reported()
        nodes.lost = {"n0"}
        assert await nodes.nodes["n1"].find("r1", "models") == "v1"

    async def test_unknown_stream_of_two_versions_is_refused(self):
        """Guards against a guess between two versions."""
        nodes = make_nodes("v1", "v2")
        with pytest.raises(StreamVersionError) as caught:
            await nodes.nodes["n1"].find("r1", "models")
        assert caught.value.status == 503

    async def test_unknown_stream_of_one_version_goes_on(self):
        """Guards against streams that are lost where nothing can be mixed."""
        nodes = make_nodes("v1")
        assert await nodes.nodes["n1"].find("r1", "models") == "v1"
        assert await nodes.nodes["n1"].find(None, "models") == "v1"

    async def test_another_node_that_saw_a_second_version_counts(self):
        """Guards against a node whose view of the replicas is behind."""
        nodes = make_nodes("v1")
        for name in ("n1", "n2", "n3", "n4"):
            nodes.versions[name] = {"v1", "v2"}
        with pytest.raises(StreamVersionError):
            await nodes.nodes["n0"].find("r1", "models")

    async def test_node_cut_off_from_all_does_not_guess(self):
        """Guards against a second version that a partitioned node cannot know."""
        nodes = make_nodes("v1")
        assert await nodes.nodes["n0"].find("r1", "models") == "v1"
        nodes.lost = {"n1", "n2", "n3", "n4"}
        with pytest.raises(StreamVersionError):
            await nodes.nodes["n0"].find("r2", "models")

    async def test_node_out_of_step_does_not_guess(self):
        """Guards against a node that was cut off or stood still while v2 joined.

        It does not know yet that its view of the store is old.
        """
        nodes = make_nodes("v1")
        for name in ("n1", "n2", "n3", "n4"):
            nodes.versions[name] = {"v1", "v2"}
        nodes.nodes["n1"].record("r1", StreamOrigin("models", "v2"))
        nodes.lost = {"n1", "n2", "n3", "n4"}
        with pytest.raises(StreamVersionError):
            await nodes.nodes["n0"].find("r1", "models")

    async def test_version_stays_when_the_route_moves(self):
        """Guards against two versions in a stream whose route moved to a target."""
        nodes = make_nodes("v1", "v2")
        nodes.nodes["n0"].record("r1", StreamOrigin("others", "v7"))
        assert await nodes.nodes["n0"].find("r1", "models") == "v7"

    async def test_second_attempt_is_known_after_a_release(self):
        """Guards against a stream that is refused when it is taken up again."""
        nodes = make_nodes("v1")
        assert await nodes.nodes["n1"].find("r1", "models") == "v1"
        nodes.set_versions("v1", "v2")
        await wait_reported()
        nodes.lost = {"n1"}
        assert await nodes.nodes["n2"].find("r1", "models") == "v1"
