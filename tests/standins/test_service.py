"""Tests of the service, VM list, weight store and statsd stand-ins."""

from collections.abc import AsyncIterator

import aiohttp
import pytest

from standins.service import ServiceStandIn
from standins.statsd import StatsdStandIn
from standins.vm_list import VmListStandIn
from standins.weight_store import WeightStoreStandIn


@pytest.fixture
async def service() -> AsyncIterator[ServiceStandIn]:
    async with ServiceStandIn() as started:
        yield started


@pytest.fixture
async def client() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


class TestEffects:
    """Record of the calls that took effect."""

    async def test_lost_answer_is_recorded_as_run(
        self, service: ServiceStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against effects that are not recorded because their answer is lost."""
        service.faults.lose_answers = 1
        with pytest.raises(aiohttp.ClientError):
            await client.post(service.url + "/orders", data=b"1")
        assert [effect.path for effect in service.effects] == ["/orders"]

    async def test_refused_call_did_not_run(
        self, service: ServiceStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against a refused call that is recorded or lacks ``X-Not-Run``."""
        service.faults.refuse_next = 1
        async with client.post(service.url + "/orders", data=b"1") as answer:
            assert answer.headers["X-Not-Run"] == "true"
        assert not service.effects

    async def test_repeated_key_is_reported(
        self, service: ServiceStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against repeated effects that checks of at-most-once would miss."""
        for _ in range(2):
            headers = {"Idempotency-Key": "k"}
            async with client.post(service.url + "/o", data=b"1", headers=headers):
                pass
        async with client.get(service.control_url + "/effects") as answer:
            assert (await answer.json())["repeated_keys"] == {"k": 2}

    async def test_faults_are_set_while_down(
        self, service: ServiceStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against a control port that is down together with the service."""
        url = service.control_url + "/faults"
        async with client.put(url, json={"down": "refuse"}) as answer:
            assert answer.status == 200
        with pytest.raises(aiohttp.ClientError):
            await client.post(service.url + "/o")
        async with client.put(url, json={"dwon": "refuse"}) as answer:
            assert answer.status == 400


class TestPlatform:
    """VM list, weight store and statsd."""

    async def test_vm_list_shows_changes_after_lag(
        self, client: aiohttp.ClientSession
    ) -> None:
        """Guards against a VM list that shows changes at once or never."""
        live = {"name": "v", "zone": "a", "state": "live"}
        async with VmListStandIn(vms=[live]) as vms:
            vms.faults.lag = 3600.0
            vms.set_state("v", "leaving")
            async with client.get(vms.url + "/v1/vms") as answer:
                assert (await answer.json())[0]["state"] == "live"
            vms.faults.lag = 0.0
            async with client.get(vms.url + "/v1/vms") as answer:
                assert (await answer.json())[0]["state"] == "leaving"

    async def test_weight_store_refuses_above_rate(
        self, client: aiohttp.ClientSession
    ) -> None:
        """Guards against a weight store that serves requests above its rate."""
        async with WeightStoreStandIn(rate=0.001) as store:
            statuses = []
            for _ in range(2):
                async with client.get(store.url + "/v1/weights/m") as answer:
                    statuses.append(answer.status)
        assert statuses == [200, 429]

    async def test_statsd_counts_metrics(self) -> None:
        """Guards against metrics of a datagram that are lost or counted wrongly."""
        async with StatsdStandIn() as statsd:
            statsd.receive(b"a.b:2|c\na.b:3|c\nt:1.5|ms")
            assert (statsd.names["a.b"], statsd.sums["a.b"]) == (2, 5)
