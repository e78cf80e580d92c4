"""Tests of the client of the platform's replicas."""

import asyncio

import pytest

from fireflyspread.bundle import Replica
from fireflyspread.clock import SystemClock
from fireflyspread.exceptions import ReplicaCrashedError
from fireflyspread.forwarding import Dispatch, ForwardRequest
from fireflyspread.platform import ReplicaClient
from standins.platform_replica import PlatformReplica

_DISPATCH = Dispatch(
    remaining=4.0,
    priority=None,
    team=None,
    last_event_id=None,
    is_repeatable=False,
)


def _make_request() -> ForwardRequest:
    return ForwardRequest(
        id="r1",
        method="POST",
        host="h",
        path="/orders/1",
        request_target="/orders/1",
        headers=[("Fireflyspread-Request-Id", "r1")],
        body=b"two lids",
        received_at=0.0,
    )


class TestRefusedRequests:
    async def test_is_sent_again_on_another_connection(self):
        """Guards against a repeated refusal that has the id of the second send."""
        replica = PlatformReplica(instance="o-1")
        await replica.start()
        replica.faults.refuse = 1
        replica.faults.repeat_refusals = "named"
        client = ReplicaClient(SystemClock())
        target = Replica(name="o-1", url=replica.url, zone="z1", vm="o-1")
        try:
            statuses = []
            for _ in range(2):
                reply = await client.send(_make_request(), target, _DISPATCH)
                statuses.append(reply.status)
                async for _ in reply.iterate():
                    pass
                await reply.close()
            assert statuses == [503, 200]
        finally:
            await client.close()
            await replica.stop()


class TestWaitDisconnected:
    @pytest.mark.parametrize("is_warm", [False, True])
    async def test_end_of_a_replica_ends_the_wait(self, is_warm):
        """Guards against crashes that nothing in flight shows."""
        replica = PlatformReplica(instance="o-1")
        await replica.start()
        client = ReplicaClient(SystemClock())
        target = Replica(name="o-1", url=replica.url, zone="z1", vm="o-1")
        try:
            if is_warm:
                reply = await client.send(_make_request(), target, _DISPATCH)
                async for _ in reply.iterate():
                    pass
                await reply.close()
            assert not await client.wait_disconnected(target, timeout=0.2)
            waiting = asyncio.create_task(
                client.wait_disconnected(target, timeout=10.0)
            )
            await asyncio.sleep(0.1)
            replica.crash(5.0)
            assert await asyncio.wait_for(waiting, 5.0)
            assert await client.wait_disconnected(target, timeout=5.0)
            assert not await client.accepts_connection(target)
        finally:
            await client.close()
            await replica.stop()


class TestCloseConnections:
    @pytest.mark.parametrize("delay", [0.5, 1.2])
    async def test_silent_connections_of_a_replaced_process_are_not_used_again(
        self, delay
    ):
        """Guards against requests that wait on connections nobody answers."""
        replica = PlatformReplica(instance="o-1")
        await replica.start()
        client = ReplicaClient(SystemClock())
        target = Replica(name="o-1", url=replica.url, zone="z1", vm="o-1")
        replica.faults.update({"crashes_silently": True, "stays_silent": True})
        replica.faults.returns_as = "same"
        try:
            await (await client.send(_make_request(), target, _DISPATCH)).close()
            replica.crash(0.1)
            waiting = asyncio.create_task(
                client.send(_make_request(), target, _DISPATCH)
            )
            await asyncio.sleep(delay)
            assert not waiting.done()
            client.close_connections(target)
            with pytest.raises(ReplicaCrashedError):
                await asyncio.wait_for(waiting, 5.0)
            reply = await asyncio.wait_for(
                client.send(_make_request(), target, _DISPATCH), 1.0
            )
            assert reply.status == 200
            await reply.close()
        finally:
            await client.close()
            await replica.stop()

    async def test_request_that_was_just_sent_goes_on(self):
        """Guards against cutting off requests that the next process runs."""
        replica = PlatformReplica(instance="o-1")
        await replica.start()
        replica.faults.work = 0.5
        client = ReplicaClient(SystemClock())
        target = Replica(name="o-1", url=replica.url, zone="z1", vm="o-1")
        try:
            running = asyncio.create_task(
                client.send(_make_request(), target, _DISPATCH)
            )
            await asyncio.sleep(0.2)
            client.close_connections(target)
            reply = await running
            assert reply.status == 200
            await reply.close()
        finally:
            await client.close()
            await replica.stop()
