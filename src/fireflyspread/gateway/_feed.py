"""Changes of the store that a few nodes watch for all."""

import random

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError
from fireflyspread.nodes import (
    ChangesFetched,
    FetchChanges,
    Message,
    PeerClient,
    PeerServer,
)
from fireflyspread.recovery import (
    Change,
    Entry,
    FeedAnswer,
    FeedChoice,
    FeedPeers,
    FeedSource,
    FeedStatus,
    NodeAddress,
    Roster,
    SnapshotStore,
    compute_batch_delay,
)

__all__ = ["NodeFeed"]

# Seconds beyond its wait after which a feeder's answer is late. The latency between
# nodes is a few milliseconds; a busy process delays an answer by some 100 ms.
_ANSWER_MARGIN_SECONDS = 0.25
# Messages that a feeder handles at a time beside the questions that it holds.
_OTHER_MESSAGES = 16
# Questions that it holds at most; a node asks one for each prefix.
_MAX_HELD = 256
# Longest delay in which feeders, and then the nodes that follow them, collect changes.
# A draining replica must get no request 3 s after the store has acknowledged it; a
# failure of the feeder takes up to 2 s of that.
_MAX_BATCH_DELAY_SECONDS = 0.3


class _NodeFeedPeers(FeedPeers):
    """Asks feeders over the messages between nodes."""

    def __init__(self, client: PeerClient, *, node: str) -> None:
        self._client = client
        self._node = node

    async def fetch(
        self, feeder: NodeAddress, prefix: str, after: int, *, wait: float
    ) -> FeedAnswer:
        message = FetchChanges(node=self._node, prefix=prefix, after=after, wait=wait)
        answer = await self._client.ask(
            feeder.peers, message, timeout=wait + _ANSWER_MARGIN_SECONDS
        )
        if not isinstance(answer, ChangesFetched):
            raise PeerError(f"{feeder.name} answered {type(answer).__name__}")
        return _decode(answer)


class NodeFeed:
    """Feed of a gateway node: follows feeders, or is one.

    Attributes
    ----------
    source : FeedSource
        Source of the changes that are fed.
    """

    def __init__(
        self,
        store: SnapshotStore,
        client: PeerClient,
        server: PeerServer,
        roster: Roster,
        *,
        node: str,
        zone: str,
        threshold: int,
        heartbeat_prefix: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._server = server
        self._roster = roster
        self._node = node
        self._choice = FeedChoice(
            node=node, zone=zone, threshold=threshold, clock=clock
        )
        self.source = FeedSource(
            store,
            _NodeFeedPeers(client, node=node),
            self._choice,
            heartbeat_prefix=heartbeat_prefix,
            list_members=roster.list_live,
            clock=clock,
            rng=rng,
        )
        server.register(FetchChanges, self._serve)

    async def _serve(self, message: FetchChanges) -> Message:
        if self.source.held >= _MAX_HELD:
            return ChangesFetched(node=self._node, status=FeedStatus.OFF.value)
        self._server.raise_concurrency(_OTHER_MESSAGES + self.source.held + 1)
        answer = await self.source.serve(
            message.prefix, message.after, wait=message.wait
        )
        return ChangesFetched(
            node=self._node,
            status=answer.status.value,
            changes=tuple(map(_encode, answer.changes)),
            revision=answer.revision,
            age=answer.age,
        )

    def get_batch_delay(self, shortest: float, *, is_fed: bool) -> float:
        """Return the seconds for which to collect the changes of a prefix.

        Parameters
        ----------
        shortest : float
            Seconds in a small fleet; 0 for changes that must not wait.
        is_fed : bool
            Whether the changes of the prefix are fed.
        """
        if not shortest:
            return 0.0
        members = self._roster.list_live()
        delay = compute_batch_delay(len(members), shortest)
        if is_fed and self._choice.is_enabled(members):
            return min(delay, _MAX_BATCH_DELAY_SECONDS)
        return delay

    def list_gauges(self) -> list[tuple[str, float]]:
        """Return names and values of the gauges."""
        is_feeder = self._choice.is_delegate(self._roster.list_live())
        return [
            ("feed.feeder", float(is_feeder)),
            ("feed.followed", self.source.count_followed()),
            ("feed.age", self.source.read_age()),
            ("feed.losses", self.source.losses),
            ("feed.held", self.source.held),
        ]


def _encode(change: Change) -> tuple[str, bytes | None, int]:
    entry = change.entry
    revision = change.revision if entry is None else entry.revision
    return change.key, None if entry is None else entry.value, revision


def _decode(answer: ChangesFetched) -> FeedAnswer:
    try:
        status = FeedStatus(answer.status)
    except ValueError as exc:
        raise PeerError(f"{answer.node} answered an unknown state: {exc}") from exc
    return FeedAnswer(
        status=status,
        changes=tuple(
            Change(
                key, None if value is None else Entry(key, value, revision), revision
            )
            for key, value, revision in answer.changes
        ),
        revision=answer.revision,
        age=answer.age,
    )
