"""Gossip, bundles and fences: messages between this node and the other nodes."""

import random

from fireflyspread.bundle import ActiveBundle, Bundle, BundleFeed, BundleHolder
from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError
from fireflyspread.nodes import (
    BundleFetched,
    FenceGuard,
    FetchBundle,
    Gossip,
    Hello,
    Message,
    PeerClient,
    PeerServer,
)
from fireflyspread.platform import LeavingVms
from fireflyspread.recovery import Member, Membership
from fireflyspread.routing import Quarantine
from fireflyspread.settings import Settings

__all__ = ["Exchange"]

_FETCH_TIMEOUT = 1.0  # seconds


class Exchange:
    """Gossips with the neighbours and exchanges bundles and fence confirmations."""

    def __init__(
        self,
        settings: Settings,
        *,
        client: PeerClient,
        membership: Membership,
        bundles: BundleHolder,
        feed: BundleFeed,
        leaving: LeavingVms,
        quarantine: Quarantine,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._name = settings.node.name
        self._client = client
        self._membership = membership
        self._bundles = bundles
        self._feed = feed
        self._leaving_vms = leaving
        self._quarantine = quarantine
        self.gossip = Gossip(
            client,
            node=self._name,
            make_hello=self._make_hello,
            on_hello=self._handle_hello,
            interval=settings.timing.hello_interval,
            clock=clock,
            rng=rng,
        )

    def register(self, server: PeerServer, fences: FenceGuard) -> None:
        """Register the handlers of messages of other nodes."""

        async def handle_hello(message: Hello) -> Message:
            return self.gossip.receive(message)

        async def send_bundle(message: FetchBundle) -> Message:
            active = self._bundles.get_active()
            return BundleFetched(
                bundle_version=active.version,
                bundle=active.bundle.to_json(),
                fences=active.fences,
            )

        server.register(Hello, handle_hello)
        server.register(FetchBundle, send_bundle)
        fences.register(server)

    async def fetch_bundle(self, node: str) -> ActiveBundle:
        """Return the bundle in force on another node.

        Raises
        ------
        PeerError
            The node is not a member, or sent no bundle before the timeout.
        """
        member = self._find_member(node)
        message = FetchBundle(bundle_version=self._bundles.version)
        answer = await self._client.ask(member.peers, message, timeout=_FETCH_TIMEOUT)
        if not isinstance(answer, BundleFetched):
            raise PeerError(f"node {node} sent no bundle; ask another node")
        return ActiveBundle(
            version=answer.bundle_version,
            bundle=Bundle.from_json(answer.bundle),
            fences=answer.fences,
        )

    def _find_member(self, node: str) -> Member:
        for member in self._membership.members():
            if member.name == node:
                return member
        raise PeerError(f"node {node} is not a member")

    def _make_hello(self) -> Hello:
        return Hello(
            node=self._name,
            epoch=self._membership.epoch,
            bundle_version=self._bundles.version,
            leaving=self._leaving_vms.list_observed(),
            crashes=self._quarantine.make_report(),
        )

    def _handle_hello(self, hello: Hello) -> None:
        self._feed.announce(hello.node, hello.bundle_version)
        self._leaving_vms.merge(hello.leaving)
        self._quarantine.merge(hello.node, hello.crashes)
