"""The administration API over HTTP."""

import asyncio
import logging
from collections.abc import AsyncIterator
from typing import Any

import pytest
from aiohttp import ClientSession
from attrs import frozen

from fireflyspread.operators import MemberVersion
from tests.bundle.examples import KEY, make_bundle
from tests.operators.admin_node import ANA_KEY, BEN_KEY, AdminNode


@frozen
class ApiClient:
    """Client of one administration API."""

    session: ClientSession
    url: str

    @property
    def port(self) -> int:
        """Port of the API."""
        return int(self.url.rpartition(":")[2])

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: Any = None,
        data: bytes | None = None,
        key: str | None = ANA_KEY,
    ) -> tuple[int, Any]:
        """Return status and decoded body of one request."""
        headers = {} if key is None else {"Authorization": f"Bearer {key}"}
        async with self.session.request(
            method, f"{self.url}/admin/v1{path}", json=body, data=data, headers=headers
        ) as response:
            return response.status, await response.json()

    async def roll(self, data: bytes, version: int) -> str:
        """Draft, approve and roll a bundle."""
        _, draft = await self.call("POST", "/bundles", data=data)
        path = f"/bundles/{draft['digest']}"
        await self.call("POST", f"{path}/approvals")
        body = {"expected_version": version}
        status, answer = await self.call("POST", f"{path}/roll", body=body)
        assert status == 200, answer
        return draft["digest"]


@pytest.fixture
def node() -> AdminNode:
    """A node that accepts request bodies of up to 10,000 bytes."""
    return AdminNode(max_body_bytes=10_000)


@pytest.fixture
async def client(node: AdminNode) -> AsyncIterator[ApiClient]:
    """A client of the running API of ``node``."""
    api = node.make_api()
    await api.start()
    async with ClientSession() as session:
        yield ApiClient(session, f"http://{api.address}")
    await api.stop()


class TestAuthentication:
    """Authentication of requests by an operator's key."""

    @pytest.mark.parametrize("key", [None, "wrong", KEY, "schlüssel"])
    async def test_refuses_other_keys(self, client: ApiClient, key: str | None) -> None:
        """Guards against access with no key, an unknown key or a caller's key."""
        status, answer = await client.call("GET", "/state", key=key)
        assert (status, answer["code"]) == (401, "key_unknown")
        assert "wrong" not in answer["message"]

    async def test_refuses_header_that_is_not_utf_8(self, client: ApiClient) -> None:
        """Guards against an internal error for a header that is not UTF-8."""
        reader, writer = await asyncio.open_connection("127.0.0.1", client.port)
        writer.write(b"GET /admin/v1/state HTTP/1.1\r\nHost: x\r\n")
        writer.write(b"Connection: close\r\nAuthorization: Bearer \xff\r\n\r\n")
        assert b" 401 " in await reader.readline()
        writer.close()

    async def test_hides_unknown_paths(self, client: ApiClient) -> None:
        """Guards against revealing which paths exist to clients without a key."""
        assert (await client.call("GET", "/nothing", key=None))[0] == 401


class TestErrors:
    """Error responses."""

    async def test_names_unknown_path(self, client: ApiClient) -> None:
        """Guards against errors for unknown paths in a format of their own."""
        status, answer = await client.call("GET", "/nothing")
        assert status == 404
        assert answer["code"] == "not_found" and answer["outcome"] == "not_run"

    async def test_refuses_large_body(self, client: ApiClient) -> None:
        """Guards against reading bodies of any size into memory."""
        status, answer = await client.call("POST", "/bundles", data=b" " * 10_001)
        assert (status, answer["code"]) == (413, "payload_too_large")

    async def test_returns_retry_after_while_store_is_down(
        self, node: AdminNode, client: ApiClient
    ) -> None:
        """Guards against refusals during an outage without the time of a retry."""
        node.store.is_down = True
        status, answer = await client.call("GET", "/bundles/current")
        assert (status, answer["code"]) == (503, "store_unavailable")
        assert answer["retry_after"] == 1.0

    async def test_reports_unexpected_error_as_uncertain(
        self, node: AdminNode, client: ApiClient, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against reporting a request as not run after an unexpected error."""
        node.members = None  # type: ignore[assignment]
        with caplog.at_level(logging.CRITICAL):
            status, answer = await client.call("GET", "/rollout")
        assert (status, answer["outcome"]) == (500, "may_have_run")


class TestBundles:
    """Drafting, approval and roll of bundles, and withdrawal of keys."""

    async def test_rolls_approved_bundle(self, client: ApiClient) -> None:
        """Guards against a roll that puts another bundle in force than approved."""
        assert (await client.call("GET", "/bundles/current"))[0] == 404
        digest = await client.roll(make_bundle().to_json(), 0)
        _, current = await client.call("GET", "/bundles/current")
        assert (current["version"], current["digest"]) == (1, digest)
        assert current["rolled_by"] == "ana"
        assert current["fences"] == {"matcher": 1, "quotes": 1}

    async def test_shows_differences(self, client: ApiClient) -> None:
        """Guards against approvals without sight of what the bundle changes."""
        await client.roll(make_bundle().to_json(), 0)
        data = make_bundle(half="south").to_json()
        _, draft = await client.call("POST", "/bundles", data=data)
        _, shown = await client.call("GET", f"/bundles/{draft['digest']}", key=BEN_KEY)
        (change,) = shown["differences"]
        assert change["changes_owner"] and shown["compared_with"] == 1
        assert shown["bundle"]["targets"][1]["half"] == "south"

    async def test_refuses_unapproved(self, client: ApiClient) -> None:
        """Guards against a roll of a bundle that nobody approved."""
        data = make_bundle().to_json()
        _, draft = await client.call("POST", "/bundles", data=data)
        path = f"/bundles/{draft['digest']}/roll"
        status, answer = await client.call("POST", path, body={"expected_version": 0})
        assert (status, answer["code"]) == (409, "bundle_not_approved")

    async def test_conflict_names_other_roll(self, client: ApiClient) -> None:
        """Guards against a conflict that names neither operator nor version."""
        digest = await client.roll(make_bundle().to_json(), 0)
        path = f"/bundles/{digest}/roll"
        body = {"expected_version": 0}
        status, answer = await client.call("POST", path, body=body, key=BEN_KEY)
        assert (status, answer["code"]) == (409, "bundle_conflict")
        assert "ana rolled version 1" in answer["message"]

    async def test_names_wrong_field(self, client: ApiClient) -> None:
        """Guards against errors that do not name the misspelt field of a request."""
        path = f"/bundles/{'0' * 64}/roll"
        status, answer = await client.call("POST", path, body={"expected": 0})
        assert status == 400 and "expected" in answer["message"]

    async def test_withdraws_key(self, client: ApiClient) -> None:
        """Guards against a withdrawal that leaves the key in the bundle in force."""
        await client.roll(make_bundle().to_json(), 0)
        digest = make_bundle().keys[0].digest
        status, roll = await client.call("POST", f"/keys/{digest}/withdraw")
        assert (status, roll["version"]) == (200, 2)
        _, current = await client.call("GET", "/bundles/current")
        assert digest not in [key["digest"] for key in current["bundle"]["keys"]]

    async def test_error_does_not_repeat_key(self, client: ApiClient) -> None:
        """Guards against an error with the key that was sent instead of its digest."""
        status, answer = await client.call("POST", f"/keys/{KEY}/withdraw")
        assert status == 400 and KEY not in answer["message"]


class TestRollout:
    """GET /admin/v1/rollout."""

    async def test_lists_missing_members(
        self, node: AdminNode, client: ApiClient
    ) -> None:
        """Guards against a rollout that counts members without confirmation."""
        await client.roll(make_bundle().to_json(), 0)
        node.members = [
            MemberVersion(node="entry-1", zone="a", bundle_version=1, age=0.1),
            MemberVersion(node="entry-2", zone="b", bundle_version=0),
        ]
        _, answer = await client.call("GET", "/rollout")
        assert [m["node"] for m in answer["confirmed"]] == ["entry-1"]
        assert [m["node"] for m in answer["missing"]] == ["entry-2"]

    async def test_answers_while_store_is_down(
        self, node: AdminNode, client: ApiClient
    ) -> None:
        """Guards against a rollout that cannot be read while the store is down."""
        node.members = [MemberVersion(node="entry-1", zone="a", bundle_version=4)]
        node.store.is_down = True
        _, answer = await client.call("GET", "/rollout")
        assert (answer["version"], answer["is_store_up"]) == (4, False)


class TestPrograms:
    """Programs and state of the node."""

    async def test_lists_by_team(self, client: ApiClient) -> None:
        """Guards against programs of other teams in the list."""
        _, answer = await client.call("GET", "/programs?team=orders")
        assert answer == {"programs": []}

    @pytest.mark.parametrize("limit", ["0", "x", "1001", "²"])
    async def test_refuses_invalid_limit(self, client: ApiClient, limit: str) -> None:
        """Guards against lists of any length and internal errors for invalid limits."""
        assert (await client.call("GET", f"/programs?limit={limit}"))[0] == 400

    async def test_ends_program(self, client: ApiClient) -> None:
        """Guards against a program that is still found after its end."""
        assert (await client.call("DELETE", "/programs/p1"))[1]["id"] == "p1"
        assert (await client.call("GET", "/programs/p1"))[0] == 404

    async def test_dumps_state(self, client: ApiClient) -> None:
        """Guards against a state dump that differs from the state of the process."""
        assert await client.call("GET", "/state") == (200, {"epoch": 3})
