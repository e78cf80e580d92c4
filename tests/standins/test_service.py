"""The service stand-in records what ran, whatever its answer was."""

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
    """What ran and what did not."""

    async def test_lost_answer_ran(
        self, service: ServiceStandIn, client: aiohttp.ClientSession
    ) -> None:
        """A call whose answer is lost counts as run."""
        service.faults.lose_answers = 1
        with pytest.raises(aiohttp.ClientError):
            await client.post(service.url + "/orders", data=b"1")
        assert [effect.path for effect in service.effects] == ["/orders"]

    async def test_refusal_did_not_run(
        self, service: ServiceStandIn, client: aiohttp.ClientSession
    ) -> None:
        """A refused call says so and leaves no effect."""
        service.faults.refuse_next = 1
        async with client.post(service.url + "/orders", data=b"1") as answer:
            assert answer.headers["X-Not-Run"] == "true"
        assert not service.effects

    async def test_counts_repeats(
        self, service: ServiceStandIn, client: aiohttp.ClientSession
    ) -> None:
        """A key that ran twice is reported, which proofs of at-most-once need."""
        for _ in range(2):
            headers = {"Idempotency-Key": "k"}
            async with client.post(service.url + "/o", data=b"1", headers=headers):
                pass
        async with client.get(service.control_url + "/effects") as answer:
            assert (await answer.json())["repeated_keys"] == {"k": 2}

    async def test_faults_over_http(
        self, service: ServiceStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Switches are set over the control port while the service is down."""
        url = service.control_url + "/faults"
        async with client.put(url, json={"down": "refuse"}) as answer:
            assert answer.status == 200
        with pytest.raises(aiohttp.ClientError):
            await client.post(service.url + "/o")
        async with client.put(url, json={"dwon": "refuse"}) as answer:
            assert answer.status == 400


class TestPlatform:
    """The small stand-ins."""

    async def test_vm_list_lags(self, client: aiohttp.ClientSession) -> None:
        """A change is hidden for the lag and then shown."""
        live = {"name": "v", "zone": "a", "state": "live"}
        async with VmListStandIn(vms=[live]) as vms:
            vms.faults.lag = 3600.0
            vms.set_state("v", "leaving")
            async with client.get(vms.url + "/v1/vms") as answer:
                assert (await answer.json())[0]["state"] == "live"
            vms.faults.lag = 0.0
            async with client.get(vms.url + "/v1/vms") as answer:
                assert (await answer.json())[0]["state"] == "leaving"

    async def test_weight_store_limits(self, client: aiohttp.ClientSession) -> None:
        """Requests above the rate are refused."""
        async with WeightStoreStandIn(rate=0.001) as store:
            statuses = []
            for _ in range(2):
                async with client.get(store.url + "/v1/weights/m") as answer:
                    statuses.append(answer.status)
        assert statuses == [200, 429]

    async def test_statsd_counts(self) -> None:
        """Names and sums are counted from datagrams."""
        async with StatsdStandIn() as statsd:
            statsd.take(b"a.b:2|c\na.b:3|c\nt:1.5|ms")
            assert (statsd.names["a.b"], statsd.sums["a.b"]) == (2, 5)
