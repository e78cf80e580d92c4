"""Registrations of replicas."""

from attrs import field, frozen

from fireflyspread.bundle import Replica

__all__ = ["ReplicaRecord", "make_replica"]


@frozen(kw_only=True)
class ReplicaRecord:
    """Registration of a replica.

    Attributes
    ----------
    instance : str
        Identity of the replica; unique among live replicas.
    slots : int
        Requests that the replica runs at once.
    version : str
        Version of the replica's software; empty when unknown.
    is_draining : bool
        Whether it takes no new requests.
    born : int
        Start of the process in Unix milliseconds, 0 when unknown. A replica that
        restarts under the same identity has lost its state.
    cold_remaining : float or None
        Seconds for which the replica stays cold; None if it does not say. Records that
        differ only in this or in the revision are equal.
    revision : int
        Revision of the store of the registration.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    version: str = ""
    is_draining: bool = False
    born: int = 0
    cold_remaining: float | None = field(default=None, eq=False)
    revision: int = field(default=0, eq=False)


def make_replica(record: ReplicaRecord) -> Replica:
    """Return the replica that a record describes."""
    return Replica(
        name=record.instance,
        url=f"http://{record.address}",
        zone=record.zone,
        version=record.version,
        vm=f"{record.instance}/{record.born}",
    )
