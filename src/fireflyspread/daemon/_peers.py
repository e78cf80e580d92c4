"""Messages that recovery sends to other nodes, over pynng."""

from collections.abc import Callable

from fireflyspread.exceptions import PeerError
from fireflyspread.nodes import (
    AuthorityRenewed,
    HoldRecords,
    PeerClient,
    RecordsTaken,
    RenewAuthority,
    TakeRecords,
)
from fireflyspread.recovery import Member, Peers, RenewalResponse

__all__ = ["NodePeers", "RecordHolder"]

# Seconds. The renewal timeout leaves time for a second attempt within the authority of
# 2 s.
_RENEW_TIMEOUT = 0.4
_TAKE_RECORDS_TIMEOUT = 2.0
_HOLD_RECORDS_TIMEOUT = 1.0


class NodePeers(Peers):
    """Sends messages to the addresses in the members document."""

    def __init__(self, client: PeerClient) -> None:
        self._client = client
        self.read_member: Callable[[], Member] | None = None

    async def renew_authority(
        self, member: Member, epoch: int, bundle_version: int
    ) -> RenewalResponse:
        own_member = self._read_own_member()
        message = RenewAuthority(
            node=own_member.name,
            incarnation=own_member.incarnation,
            epoch=epoch,
            bundle_version=bundle_version,
        )
        answer = await self._client.ask(member.peers, message, timeout=_RENEW_TIMEOUT)
        if not isinstance(answer, AuthorityRenewed):
            raise PeerError(f"node {member.name} did not answer RenewAuthority")
        return RenewalResponse(
            granted=answer.granted,
            seconds=answer.seconds,
            epoch=answer.epoch,
            bundle_version=answer.bundle_version,
            document=answer.document,
            revision=answer.revision,
        )

    async def take_held_records(
        self, member: Member, journal: str
    ) -> tuple[bytes, ...]:
        message = TakeRecords(journal=journal)
        answer = await self._client.ask(
            member.peers, message, timeout=_TAKE_RECORDS_TIMEOUT
        )
        if not isinstance(answer, RecordsTaken):
            raise PeerError(f"node {member.name} did not answer TakeRecords")
        return answer.records

    def _read_own_member(self) -> Member:
        if self.read_member is None:
            raise PeerError("this node has not joined the cluster yet")
        return self.read_member()


class RecordHolder:
    """Stores journal records on another node while the store is unavailable.

    Parameters
    ----------
    get_members : callable
        Returns all members.
    """

    def __init__(
        self,
        client: PeerClient,
        *,
        name: str,
        zone: str,
        get_members: Callable[[], tuple[Member, ...]],
    ) -> None:
        self._client = client
        self._name = name
        self._zone = zone
        self._get_members = get_members

    async def hold(self, journal: str, position: int, records: bytes) -> None:
        """Send records to one node, preferably in another zone.

        Empty records go to all other nodes, which then release what they hold of the
        journal before ``position``.

        Raises
        ------
        PeerError
            No node accepted the records.
        SealedError
            A node has handed earlier records to a new owner.
        """
        message = HoldRecords(journal=journal, position=position, records=records)
        others = [m for m in self._get_members() if m.name != self._name]
        others.sort(key=lambda member: (member.zone == self._zone, member.name))
        last_error: PeerError | None = None
        for member in others:
            try:
                await self._client.ask(
                    member.peers, message, timeout=_HOLD_RECORDS_TIMEOUT
                )
            except PeerError as exc:
                last_error = exc
                continue
            if records:
                return
        if records:
            raise last_error or PeerError(
                "there is no other node that could hold the records"
            )
