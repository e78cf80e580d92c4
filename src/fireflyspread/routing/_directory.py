"""Directory of the replicas that have registered themselves."""

import logging
from collections.abc import Callable, Mapping

from attrs import field, frozen

from fireflyspread.bundle import Replica, Target, TargetKind
from fireflyspread.clock import Clock
from fireflyspread.routing._replica_record import ReplicaRecord, make_replica

__all__ = ["ReplicaDirectory"]

_LOG = logging.getLogger(__name__)

# The platform guarantees that live replicas register again within this time after an
# outage of the store.
_REREGISTRATION_SECONDS = 2.0
# Seconds for which a version counts as recent after its last replica is gone. Streams
# that it began may be taken up until their callers' deadlines.
_VERSION_RETENTION = 30.0
# Processes that are remembered as leaving, and as replaced; one that is forgotten is
# told again by the next answer.
_MAX_REMEMBERED = 4096
# Seconds for which a replica gets no requests after another one has answered at its
# address. Its entry expires within 3 s unless the store is unavailable.
_ABSENCE_SECONDS = 2.0
# Concurrency of a service without configured slots while it has no replicas.
_DEFAULT_SLOTS = 8


@frozen
class _Missing:
    """A replica whose entry was missing after an outage.

    Attributes
    ----------
    drop_at : float
        Monotonic seconds.
    """

    record: ReplicaRecord
    drop_at: float = field()


class ReplicaDirectory:
    """Keeps the replicas of all services and their targets.

    A replica whose entry disappears is dropped at once, except shortly after an
    outage of the store: registrations expire during an outage and are renewed after
    it.

    Parameters
    ----------
    on_change : callable
        Called with the names of the services whose replicas changed.
    on_loss : callable or None
        Called with a replica that is gone, or has restarted, without draining before.
    on_replaced : callable or None
        Called with a replica at whose address another process runs now.
    """

    def __init__(
        self,
        clock: Clock,
        on_change: Callable[[set[str]], None],
        on_loss: Callable[[Replica], None] | None = None,
        on_replaced: Callable[[Replica], None] | None = None,
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._on_loss = on_loss
        self._on_replaced = on_replaced
        # Until when a process gets no requests because another one answered at its
        # address, in monotonic seconds.
        self._absent_until: dict[str, float] = {}
        # Processes at whose address another one runs, oldest first.
        self._replaced: dict[str, None] = {}
        self._records: dict[str, ReplicaRecord] = {}
        self._instances_at: dict[str, set[str]] = {}
        self._missing: dict[str, _Missing] = {}
        self._grace_until = 0.0
        self._slots: dict[str, int] = {}
        # When a service last had a replica of a version, in monotonic seconds.
        self._versions_seen: dict[tuple[str, str], float] = {}
        self._targets: dict[str, Target] = {}
        # When processes said in an answer that they are leaving, in monotonic seconds;
        # in the order in which this node learned it.
        self._leaving: dict[str, float] = {}
        self._leaving_listeners: list[Callable[[], None]] = []
        self._evacuated_zones: frozenset[str] = frozenset()

    def set_slots(self, slots: Mapping[str, int]) -> None:
        """Set the slots per replica that the configuration gives for services."""
        self._slots = dict(slots)
        self._targets.clear()

    def handle_reconnect(self) -> None:
        """Start the grace period after a reconnect to the store."""
        self._grace_until = self._clock.read_monotonic() + _REREGISTRATION_SECONDS

    def replace_all(self, records: Mapping[str, ReplicaRecord]) -> None:
        """Replace all entries by a complete list."""
        for instance in self._records.keys() - records.keys():
            self.remove(instance)
        for record in records.values():
            self.put(record)

    def put(self, record: ReplicaRecord) -> None:
        """Add or update a registration."""
        self._missing.pop(record.instance, None)
        known = self._records.get(record.instance)
        if known == record:
            return
        if known is not None:
            self._note_version(known)
            self._forget_address(known)
        self._records[record.instance] = record
        self._instances_at.setdefault(record.address, set()).add(record.instance)
        _LOG.info(
            "replica registered",
            extra={
                "replica": record.instance,
                "target": record.service,
                "replica_version": record.version,
                "draining": record.is_draining,
                "born": record.born,
            },
        )
        if known is not None and known.born != record.born:
            self._report_loss(known)
            self._report_replaced(known)
        for instance in tuple(self._instances_at[record.address]):
            other = self._records[instance]
            if 0 < other.born < record.born:
                # Its entry goes when it expires.
                self._report_other_process(other)
        self._notify({record.service} | ({known.service} if known else set()))

    def _forget_address(self, record: ReplicaRecord) -> None:
        instances = self._instances_at[record.address]
        instances.discard(record.instance)
        if not instances:
            del self._instances_at[record.address]

    def _report_other_process(self, record: ReplicaRecord) -> None:
        """Report once that a process is gone, because another has its address."""
        if not self.is_replaced(make_replica(record)):
            self._report_loss(record)
            self._report_replaced(record)

    def record_other_instance(self, replica: Replica) -> None:
        """Record that another replica has answered at the address of ``replica``.

        While the store is unavailable nothing else tells that it is gone. It gets no
        requests for a while, and then one again: the answer may have come from its
        predecessor, on a connection that was open still.
        """
        record = self._records.get(replica.name)
        if record is None or make_replica(record) != replica:
            return
        if not self.is_replaced(replica):
            _LOG.info(
                "another replica answered at the address of a replica",
                extra={"replica": replica.name, "target": record.service},
            )
            self._report_other_process(record)
        until = self._clock.read_monotonic() + _ABSENCE_SECONDS
        self._absent_until[replica.vm] = until
        self._notify({record.service})

    def _report_replaced(self, record: ReplicaRecord) -> None:
        replica = make_replica(record)
        self._replaced[replica.vm] = None
        if len(self._replaced) > _MAX_REMEMBERED:
            del self._replaced[next(iter(self._replaced))]
        if self._on_replaced is not None:
            self._on_replaced(replica)

    def has_restarted(self, replica: Replica) -> bool:
        """Return whether a later process has registered under the replica's name."""
        record = self._records.get(replica.name)
        return record is not None and make_replica(record).vm != replica.vm

    def is_replaced(self, replica: Replica) -> bool:
        """Return whether another process is known to run at the replica's address."""
        return replica.vm in self._replaced

    def _report_loss(self, record: ReplicaRecord) -> None:
        replica = make_replica(record)
        is_expected = record.is_draining or self.is_leaving(replica)
        is_expected |= self.is_replaced(replica)
        if self._on_loss is not None and not is_expected:
            self._on_loss(replica)

    def add_leaving_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when one more registered replica is known to be leaving."""
        self._leaving_listeners.append(listener)

    def mark_leaving(self, replica: Replica) -> None:
        """Record that a replica has said that it is leaving.

        It gets no new requests from this node, whatever its registration says, until it
        has registered as another process.
        """
        if self.is_leaving(replica):
            return
        self._remember_leaving(replica.vm, self._clock.read_monotonic())
        record = self._records.get(replica.name)
        service = None if record is None else record.service
        _LOG.info(
            "replica is leaving, as its answer says",
            extra={"replica": replica.name, "target": service},
        )
        if service is not None:
            self._notify_leaving({service})

    def merge_leaving(self, node: str, ages: Mapping[str, float]) -> None:
        """Take over which replicas another node knows to be leaving.

        Parameters
        ----------
        ages : mapping of str to float
            Seconds since the replica said so, by process.
        """
        now = self._clock.read_monotonic()
        added = ages.keys() - self._leaving.keys()
        if not added:
            return
        for process in sorted(added)[:_MAX_REMEMBERED]:
            self._remember_leaving(process, now - max(0.0, ages[process]))
        services = set()
        for record in self._records.values():
            if make_replica(record).vm in added:
                services.add(record.service)
                _LOG.info(
                    "replica is leaving, as another node says",
                    extra={
                        "replica": record.instance,
                        "target": record.service,
                        "node": node,
                    },
                )
        self._notify_leaving(services)

    def _remember_leaving(self, process: str, at: float) -> None:
        self._leaving[process] = at
        if len(self._leaving) > _MAX_REMEMBERED:
            del self._leaving[next(iter(self._leaving))]

    def _notify_leaving(self, services: set[str]) -> None:
        if services:
            self._notify(services)
            for listener in self._leaving_listeners:
                listener()

    def read_leaving_ages(self) -> dict[str, float]:
        """Return the registered processes that are leaving, and for how long."""
        now = self._clock.read_monotonic()
        processes = (make_replica(record).vm for record in self._records.values())
        return {
            process: max(0.0, now - self._leaving[process])
            for process in processes
            if process in self._leaving
        }

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether a replica has said that it is leaving, here or elsewhere."""
        return replica.vm in self._leaving

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Set the zones whose replicas get no new requests."""
        self._evacuated_zones = zones
        self._notify(self.list_services())

    def is_evacuated(self, replica: Replica) -> bool:
        """Return whether the zone of a replica is being evacuated."""
        return replica.zone in self._evacuated_zones

    def list_evacuated(self) -> list[str]:
        """Return the registered replicas in zones that are being evacuated."""
        return [
            record.instance
            for record in self._records.values()
            if record.zone in self._evacuated_zones
        ]

    def find_exclusion(self, replica: Replica) -> str:
        """Return why a replica gets no new requests whatever its registration says.

        Empty if it does get some.
        """
        if self.is_leaving(replica):
            return "is leaving"
        if self.is_evacuated(replica):
            return f"is in zone {replica.zone}, which is being evacuated"
        return ""

    def list_leaving(self) -> list[str]:
        """Return the registered replicas that have said that they are leaving."""
        return [
            record.instance
            for record in self._records.values()
            if self.is_leaving(make_replica(record))
        ]

    def remove(self, instance: str) -> None:
        """Remove a replica whose entry is gone, after the grace period if one runs."""
        record = self._records.get(instance)
        if record is None or instance in self._missing:
            return
        if self._clock.read_monotonic() < self._grace_until:
            self._missing[instance] = _Missing(record, self._grace_until)
            return
        self._drop(record)

    def expire(self) -> None:
        """Drop the replicas that did not register again after an outage.

        Those that got no requests for a while may get some again.
        """
        now = self._clock.read_monotonic()
        if any(until <= now for until in self._absent_until.values()):
            self._absent_until = {
                process: until
                for process, until in self._absent_until.items()
                if until > now
            }
            self._notify(self.list_services())
        for instance, missing in tuple(self._missing.items()):
            if now >= missing.drop_at:
                del self._missing[instance]
                self._drop(missing.record)

    def _note_version(self, record: ReplicaRecord) -> None:
        now = self._clock.read_monotonic()
        self._versions_seen[record.service, record.version] = now

    def _drop(self, record: ReplicaRecord) -> None:
        self._note_version(record)
        if self._records.pop(record.instance, None) is not None:
            self._forget_address(record)
        self._report_loss(record)
        _LOG.info(
            "replica removed",
            extra={"replica": record.instance, "target": record.service},
        )
        self._notify({record.service})

    def _notify(self, services: set[str]) -> None:
        for service in services:
            self._targets.pop(service, None)
        self._on_change(services)

    def get_target(self, service: str) -> Target:
        """Return the target of ``service`` with the replicas that take requests."""
        target = self._targets.get(service)
        if target is None:
            target = self._targets[service] = self._build_target(service)
        return target

    def _build_target(self, service: str) -> Target:
        records = [
            record
            for record in self._records.values()
            if record.service == service and not self._find_state(record)
        ]
        slots = self._slots.get(service, 0) or max(
            (record.slots for record in records), default=_DEFAULT_SLOTS
        )
        return Target(
            name=service,
            kind=TargetKind.ENGINE if service in self._slots else TargetKind.SERVICE,
            half="all",
            replicas=tuple(
                make_replica(record)
                for record in sorted(records, key=lambda each: each.instance)
            ),
            concurrency=max(1, slots),
        )

    def _find_state(self, record: ReplicaRecord) -> str:
        """Return why a replica takes no requests; empty if it takes them."""
        replica = make_replica(record)
        if record.is_draining:
            return "draining"
        if self.is_leaving(replica):
            return "leaving"
        if self.is_evacuated(replica):
            return "evacuated"
        if replica.vm in self._absent_until:
            return "replaced"
        return ""

    def list_excluded(self, service: str) -> list[tuple[Replica, str]]:
        """Return the replicas of ``service`` that take no requests, and why."""
        return [
            (make_replica(record), state)
            for record in sorted(self._records.values(), key=lambda r: r.instance)
            if record.service == service and (state := self._find_state(record))
        ]

    def list_versions(self, service: str) -> set[str]:
        """Return the software versions that ``service`` has or recently had."""
        oldest = self._clock.read_monotonic() - _VERSION_RETENTION
        self._versions_seen = {
            key: at for key, at in self._versions_seen.items() if at >= oldest
        }
        recent = {v for name, v in self._versions_seen if name == service}
        return recent | {
            record.version
            for record in self._records.values()
            if record.service == service
        }

    def has_version(self, replica: Replica) -> bool:
        """Return whether ``replica`` has the version that it was placed for.

        A replica may restart under its name as another version. One that is unknown
        has not registered as another version.
        """
        record = self._records.get(replica.name)
        return record is None or record.version == replica.version

    def find_replica(self, instance: str) -> Replica | None:
        """Return a registered replica; None if it is unknown."""
        record = self._records.get(instance)
        return None if record is None else make_replica(record)

    def find_service(self, instance: str) -> str | None:
        """Return the service of a registered replica; None if it is unknown."""
        record = self._records.get(instance)
        return None if record is None else record.service

    def list_services(self) -> set[str]:
        """Return the services that have a replica."""
        return {record.service for record in self._records.values()}

    def dump(self) -> dict[str, object]:
        """Return the state for a state dump, in JSON types."""
        return {
            record.instance: {
                "service": record.service,
                "address": record.address,
                "draining": record.is_draining,
                "leaving": self.is_leaving(make_replica(record)),
                "missing": record.instance in self._missing,
            }
            for record in self._records.values()
        }
