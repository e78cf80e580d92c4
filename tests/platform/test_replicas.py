"""Tests of the client of the platform's replicas."""

from fireflyspread.bundle import Replica
from fireflyspread.clock import SystemClock
from fireflyspread.forwarding import Dispatch, ForwardRequest
from fireflyspread.platform import ReplicaClient
from standins.platform_replica import PlatformReplica


class TestRefusedRequests:
    async def test_is_sent_again_on_another_connection(self):
        """Guards against a repeated refusal that has the id of the second send."""
        replica = PlatformReplica(instance="o-1")
        await replica.start()
        replica.faults.refuse = 1
        replica.faults.repeat_refusals = "named"
        client = ReplicaClient(SystemClock())
        request = ForwardRequest(
            id="r1",
            method="POST",
            host="h",
            path="/orders/1",
            request_target="/orders/1",
            headers=[("Fireflyspread-Request-Id", "r1")],
            body=b"two lids",
            received_at=0.0,
        )
        target = Replica(name="o-1", url=replica.url, zone="z1", vm="o-1")
        dispatch = Dispatch(
            remaining=4.0,
            priority=None,
            team=None,
            last_event_id=None,
            is_repeatable=False,
        )
        try:
            statuses = []
            for _ in range(2):
                reply = await client.send(request, target, dispatch)
                statuses.append(reply.status)
                async for _ in reply.iterate():
                    pass
                await reply.close()
            assert statuses == [503, 200]
        finally:
            await client.close()
            await replica.stop()
