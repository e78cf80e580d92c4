"""Gateways beside entries of the store that nobody can read."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from soak.cluster import Cluster, make_config, make_headers
from standins.platform_replica import PlatformReplica

_DEEP = 5000
_DIGITS = "9" * 400
_NESTED = b"[" * _DEEP + b"]" * _DEEP


def _make_registration(replica: PlatformReplica, **changes: Any) -> bytes:
    fields = json.loads(replica.make_registration("orders"))
    return json.dumps({**fields, **changes}).encode()


def _make_odd_registrations(replica: PlatformReplica) -> dict[str, bytes]:
    """Return entries that look like a replica and name none, by name.

    Those with a good address would be used if they were read.
    """
    plain = replica.make_registration("orders")
    start, end = plain[:-1], b"}"
    host = replica.url.removeprefix("http://").partition(":")[0]
    addresses = {
        "port-zero": f"{host}:0",
        "port-above": f"{host}:65536",
        "port-large": f"{host}:99999",
        "octet": "999.0.0.1:80",
        "no-port": host,
        "name": "localhost:80",
        "two-lines": f"{host}:80\r\nx: y",
    }
    numbers = {
        "digits": _DIGITS,
        "negative": "-1",
        "word": str(2**64),
        "large": "1000000000",
        "exponent": "1e400",
        "fraction": "1.5",
        "text": '"8"',
        "null": "null",
        "flag": "true",
    }
    return {
        "empty": b"",
        "bytes": b"\xff\xfe\x00\x80",
        "list": b"[]",
        "nested": _NESTED,
        "unclosed": b'{"a":' * _DEEP,
        "nested-unknown": start + b',"other":' + _NESTED + end,
        "nested-slots": start + b',"slots":' + _NESTED + end,
        "surrogate": start + b',"zone":"\\ud800"' + end,
        "bad-text": start + b',"zone":"\xff"' + end,
        "state": _make_registration(replica, state="gone"),
        "no-service": _make_registration(replica, service=None),
        "no-zone": _make_registration(replica, zone=""),
        **{
            f"address-{name}": _make_registration(replica, address=address)
            for name, address in addresses.items()
        },
        **{
            f"{field}-{name}": start + f',"{field}":{text}'.encode() + end
            for field in ("slots", "born")
            for name, text in numbers.items()
            if (field, name) != ("born", "large")
        },
    }


_ODD_VALUES = {
    "empty": b"",
    "bytes": b"\xff\xfe\x00\x80",
    "null": b"null",
    "nested": _NESTED,
    "unknown": b'{"other":' + _NESTED + b"}",
    "digits": b'{"number": ' + _DIGITS.encode() + b"}",
    "text": b'{"name": "\xff"}',
    "address": json.dumps(
        {"name": "x", "zone": "z", "peers": "nowhere", "incarnation": "i"}
    ).encode(),
    "port": json.dumps(
        {
            "name": "y",
            "zone": "z",
            "peers": "127.0.0.1:99999",
            "incarnation": "i",
            "relay": "127.0.0.1:99999",
        }
    ).encode(),
    "cut": b'{"incarnation": "i", "number": 1, "crashes": [{"id": "a#0"',
}
_PREFIXES = (
    "cluster/members/",
    "cluster/alive/",
    "cluster/crashes/",
    "cluster/journals/",
    "cluster/",
    "op/retire/",
    "op/",
)


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, nodes=2) as found:
        yield found


async def _count_served(cluster: Cluster, name: str, count: int = 12) -> int:
    """Return how many of ``count`` requests the nodes serve."""
    served = 0
    async with aiohttp.ClientSession() as session:
        for number in range(count):
            node = cluster.nodes[number % len(cluster.nodes)]
            headers = make_headers(f"{name}-{number}")
            url = f"http://{node.callers}/prices/{name}{number}"
            try:
                async with session.post(url, headers=headers, data=b"x") as response:
                    served += response.status == 200
                    await response.read()
            except aiohttp.ClientError:
                continue
    return served


async def _check(cluster: Cluster, name: str) -> None:
    """Check that requests are served, and replicas and configurations followed."""
    assert await _count_served(cluster, name) == 12
    late = PlatformReplica(instance=f"late-{name}")
    await late.start()
    try:
        cluster.store.put(f"servers/{late.instance}", late.make_registration("orders"))
        version = 100 + len(cluster.store.items)
        cluster.put_config(make_config(version))
        await asyncio.sleep(2.5)
        assert await _count_served(cluster, f"{name}-late") == 12
        # Idle replicas are chosen at random, so that one may get none of 12 requests.
        for attempt in range(10):
            if not late.runs:
                assert await _count_served(cluster, f"{name}-more-{attempt}") == 12
        assert late.runs, "the replica that registered late got no request"
        for node in cluster.nodes:
            assert await _read_version(node.metrics) == version
    finally:
        cluster.store.remove(f"servers/{late.instance}")
        await asyncio.sleep(0.5)
        await late.stop()


async def _read_version(metrics: str) -> int:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{metrics}/state") as response,
    ):
        return json.loads(await response.read())["version"]


def _list_ended(cluster: Cluster) -> list[str]:
    """Return the processes that have ended by themselves."""
    return [
        each.name
        for each in (*cluster.nodes, *cluster.loan_servers)
        if each.process is None or each.process.returncode is not None
    ]


async def _restart(cluster: Cluster) -> None:
    """Restart the nodes, so that the entries are in their first snapshot."""
    for node in cluster.nodes:
        await node.stop(signal.SIGKILL)
    await asyncio.gather(*(node.start(is_first=False) for node in cluster.nodes))


class TestRegistrations:
    async def test_are_followed_beside_odd_ones(self, cluster):
        """Guards against one entry that stops the list of replicas.

        The entries come one by one, and are all there when the nodes restart.
        """
        odd = _make_odd_registrations(cluster.orders[0])
        assert await _count_served(cluster, "before") == 12
        for name, value in odd.items():
            cluster.store.put(f"servers/odd-{name}", value)
            await asyncio.sleep(0.05)
        await asyncio.sleep(0.5)
        state = await _read_replicas(cluster)
        assert not [name for name in state if name.startswith("odd-")]
        await _check(cluster, "watched")
        await _restart(cluster)
        await _check(cluster, "restarted")
        assert _list_ended(cluster) == []

    @pytest.mark.parametrize("name", ["slots-digits", "nested-unknown"])
    async def test_are_followed_beside_a_single_odd_one(self, cluster, name):
        """Guards against an entry that only hurts if no other one does."""
        odd = _make_odd_registrations(cluster.orders[0])
        cluster.store.put(f"servers/odd-{name}", odd[name])
        await asyncio.sleep(0.5)
        await _check(cluster, name)

    async def test_own_entry_that_is_damaged_names_no_replica(self, cluster):
        """Guards against a known replica whose new entry cannot be read."""
        name = cluster.orders[0].instance
        cluster.store.put(f"servers/{name}", b'{"other":' + _NESTED + b"}")
        await asyncio.sleep(0.5)
        assert name not in await _read_replicas(cluster)
        await _check(cluster, "damaged")


class TestOtherEntries:
    async def test_nodes_serve_beside_odd_ones_of_the_cluster(self, cluster):
        """Guards against entries of other writers, or damaged, that end a node."""
        for prefix in _PREFIXES:
            for name, value in _ODD_VALUES.items():
                cluster.store.put(f"{prefix}odd-{name}", value)
        await asyncio.sleep(2.0)
        await _check(cluster, "watched")
        await _restart(cluster)
        await _check(cluster, "restarted")
        assert _list_ended(cluster) == []

    @pytest.mark.parametrize("value", _ODD_VALUES)
    async def test_damaged_configuration_leaves_the_active_one(self, cluster, value):
        """Guards against a configuration whose bytes stop its watch."""
        cluster.store.put("op/config", _ODD_VALUES[value])
        await asyncio.sleep(0.5)
        await _check(cluster, "config")


async def _read_replicas(cluster: Cluster) -> dict[str, Any]:
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{cluster.nodes[0].metrics}/state") as response,
    ):
        return json.loads(await response.read())["replicas"]
