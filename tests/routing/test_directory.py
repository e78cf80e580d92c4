"""Tests of the directory of replicas."""

from fireflyspread.clock import ManualClock
from fireflyspread.routing import ReplicaDirectory, ReplicaRecord


def _make_record(instance: str, **options: object) -> ReplicaRecord:
    values: dict[str, object] = {
        "service": "models",
        "address": "10.0.0.1:80",
        "zone": "z",
        "slots": 4,
    }
    values.update(options)
    return ReplicaRecord(instance=instance, **values)  # type: ignore[arg-type]


class DirectoryFixture:
    """A directory with its clock and its change notifications."""

    def __init__(self, *instances: str) -> None:
        self.clock = ManualClock()
        self.changes: list[set[str]] = []
        self.directory = ReplicaDirectory(self.clock, self.changes.append)
        for instance in instances:
            self.directory.put(_make_record(instance))

    def list_names(self) -> list[str]:
        """Return the replicas that take new requests."""
        return [r.name for r in self.directory.get_target("models").replicas]


class TestLoss:
    """Replicas that are gone without draining."""

    def test_gone_and_restarted_replicas_are_losses(self):
        """Guards against crashes that nobody learns of, and planned ends as crashes."""
        losses: list[str] = []
        directory = ReplicaDirectory(
            ManualClock(),
            lambda changed: None,
            lambda replica: losses.append(replica.vm),
        )
        for instance in ("gone", "restarted", "planned"):
            directory.put(_make_record(instance, born=1))
        directory.put(_make_record("planned", born=1, is_draining=True))
        directory.put(_make_record("restarted", born=2))
        directory.remove("planned")
        directory.remove("gone")
        assert losses == ["restarted/1", "gone/1"]


class TestVersions:
    """Software versions of a service."""

    def test_versions_that_are_gone_count_for_a_while(self):
        """Guards against streams of a replaced version that look like the new one's."""
        fixture = DirectoryFixture()
        directory = fixture.directory
        directory.put(_make_record("a", version="v1"))
        directory.put(_make_record("a", version="v2", born=2))
        directory.put(_make_record("b", version="v3"))
        directory.remove("b")
        assert directory.list_versions("models") == {"v1", "v2", "v3"}
        fixture.clock.advance(31.0)
        assert directory.list_versions("models") == {"v2"}

    def test_replica_that_restarted_as_another_version_is_noticed(self):
        """Guards against a second send to a name that is another version now."""
        fixture = DirectoryFixture()
        fixture.directory.put(_make_record("a", version="v1"))
        (replica,) = fixture.directory.get_target("models").replicas
        assert fixture.directory.has_version(replica)
        fixture.directory.put(_make_record("a", version="v2", born=2))
        assert not fixture.directory.has_version(replica)


class TestReplicaDirectory:
    def test_draining_replica_gets_nothing(self):
        """Guards against requests to a replica that is draining."""
        fixture = DirectoryFixture("a", "b")
        fixture.directory.put(_make_record("a", is_draining=True))
        assert fixture.list_names() == ["b"]

    def test_removed_replica_is_dropped_at_once(self):
        """Guards against requests to a replica that stopped without draining."""
        fixture = DirectoryFixture("a", "b")
        fixture.directory.remove("a")
        assert fixture.list_names() == ["b"]

    def test_expired_entries_are_kept_after_an_outage(self):
        """Guards against dropping all replicas when the store recovers.

        Registrations expire during an outage of the store and are renewed after it.
        """
        fixture = DirectoryFixture("a", "b")
        fixture.directory.handle_reconnect()
        fixture.directory.replace_all({})
        assert fixture.list_names() == ["a", "b"]
        fixture.clock.advance(1.0)
        fixture.directory.put(_make_record("a"))
        fixture.clock.advance(1.1)
        fixture.directory.expire()
        assert fixture.list_names() == ["a"]

    def test_restart_under_the_same_identity_is_another_replica(self):
        """Guards against keeping the state of a replica across its restart."""
        fixture = DirectoryFixture("a")
        before = fixture.directory.get_target("models").replicas[0]
        fixture.directory.put(_make_record("a", born=5))
        after = fixture.directory.get_target("models").replicas[0]
        assert before.vm != after.vm

    def test_move_to_another_service(self):
        """Guards against a replica that stays in the target of its old service."""
        fixture = DirectoryFixture("a")
        fixture.directory.put(_make_record("a", service="orders"))
        assert fixture.list_names() == []
        assert {"models", "orders"} in fixture.changes

    def test_same_entry_changes_nothing(self):
        """Guards against updating targets at each renewal of a registration."""
        fixture = DirectoryFixture("a")
        count = len(fixture.changes)
        fixture.directory.put(_make_record("a"))
        assert len(fixture.changes) == count


class TestLeaving:
    """ReplicaDirectory.mark_leaving."""

    @staticmethod
    def make_directory() -> tuple[ReplicaDirectory, list[str]]:
        """Return a directory with one replica, and the names of lost replicas."""
        lost: list[str] = []
        directory = ReplicaDirectory(
            ManualClock(),
            lambda services: None,
            lambda replica: lost.append(replica.vm),
        )
        directory.put(_make_record("o-1", service="orders", born=1))
        return directory, lost

    def test_replica_stays_out_although_it_registers_again(self) -> None:
        """Guards against a lapsed entry that comes back and is used again."""
        directory, _ = self.make_directory()
        directory.mark_leaving(directory.get_target("orders").replicas[0])
        assert directory.get_target("orders").replicas == ()
        directory.remove("o-1")
        directory.put(_make_record("o-1", service="orders", born=1))
        assert directory.get_target("orders").replicas == ()

    def test_successor_under_the_same_identity_is_used(self) -> None:
        """Guards against a statement that is carried over to another process."""
        directory, lost = self.make_directory()
        directory.mark_leaving(directory.get_target("orders").replicas[0])
        directory.put(_make_record("o-1", service="orders", born=2))
        assert [r.vm for r in directory.get_target("orders").replicas] == ["o-1/2"]
        assert lost == []

    def test_end_of_a_leaving_replica_is_no_loss(self) -> None:
        """Guards against blaming requests for a replica that left as it had said."""
        directory, lost = self.make_directory()
        directory.mark_leaving(directory.get_target("orders").replicas[0])
        directory.remove("o-1")
        assert lost == []

    def test_other_nodes_are_told_with_the_age(self) -> None:
        """Guards against a replica that other nodes go on using."""
        clock = ManualClock()
        first, second = (ReplicaDirectory(clock, lambda services: None) for _ in "ab")
        for directory in (first, second):
            directory.put(_make_record("o-1", service="orders", born=1))
        told: list[dict[str, float]] = []
        first.add_leaving_listener(lambda: told.append(first.read_leaving_ages()))
        first.mark_leaving(first.get_target("orders").replicas[0])
        clock.advance(2.0)
        second.merge_leaving("a", first.read_leaving_ages())
        assert second.get_target("orders").replicas == ()
        assert told == [{"o-1/1": 0.0}]
        assert second.read_leaving_ages() == {"o-1/1": 2.0}

    def test_merge_ends_when_all_is_known(self) -> None:
        """Guards against nodes that tell each other the same again and again."""
        directory, _ = self.make_directory()
        calls: list[None] = []
        directory.add_leaving_listener(lambda: calls.append(None))
        for _ in range(3):
            directory.merge_leaving("a", {"o-1/1": 1.0})
        assert len(calls) == 1

    def test_process_that_registers_after_it_was_told_stays_out(self) -> None:
        """Guards against a statement that is lost because it came before the entry."""
        directory, _ = self.make_directory()
        directory.merge_leaving("a", {"o-1/2": 1.0})
        assert len(directory.get_target("orders").replicas) == 1
        assert directory.read_leaving_ages() == {}
        directory.put(_make_record("o-1", service="orders", born=2))
        assert directory.get_target("orders").replicas == ()

    def test_gone_process_is_told_no_more(self) -> None:
        """Guards against messages that grow with each release."""
        directory, _ = self.make_directory()
        directory.mark_leaving(directory.get_target("orders").replicas[0])
        directory.remove("o-1")
        assert directory.read_leaving_ages() == {}


class TestReplaced:
    """Processes at whose address another one runs."""

    def _make_directory(self) -> tuple[ReplicaDirectory, list[str], list[str]]:
        losses: list[str] = []
        replaced: list[str] = []
        directory = ReplicaDirectory(
            ManualClock(),
            lambda changed: None,
            lambda replica: losses.append(replica.vm),
            lambda replica: replaced.append(replica.vm),
        )
        return directory, losses, replaced

    def test_later_replica_at_the_address_ends_the_earlier_one(self):
        """Guards against a dead replica that is a loss only when its entry expires."""
        directory, losses, replaced = self._make_directory()
        directory.put(_make_record("first", born=1))
        directory.put(_make_record("second", born=2))
        directory.put(_make_record("second", born=2, is_draining=True))
        assert losses == replaced == ["first/1"]

    def test_replica_at_another_address_ends_nothing(self):
        """Guards against addresses that a replica had before."""
        directory, losses, _ = self._make_directory()
        directory.put(_make_record("first", born=1, address="10.0.0.2:80"))
        directory.put(_make_record("first", born=1))
        directory.remove("first")
        losses.clear()
        directory.put(_make_record("second", born=2))
        directory.put(_make_record("third", born=3, address="10.0.0.2:80"))
        assert losses == []

    def test_restart_under_the_same_identity_replaces_the_process(self):
        """Guards against connections of the previous process that are used again."""
        directory, losses, replaced = self._make_directory()
        directory.put(_make_record("same", born=1))
        first = directory.get_target("models").replicas[0]
        assert not directory.has_restarted(first)
        directory.put(_make_record("same", born=2))
        assert directory.has_restarted(first) and directory.is_replaced(first)
        assert losses == replaced == ["same/1"]

    def test_replicas_without_a_start_time_replace_nothing(self):
        """Guards against dropping a replica whose order is not known."""
        directory, losses, _ = self._make_directory()
        directory.put(_make_record("first"))
        directory.put(_make_record("second"))
        assert losses == []

    def test_answer_of_another_replica_is_a_loss_once(self):
        """Guards against ends that only the store would tell while it is away."""
        directory, losses, replaced = self._make_directory()
        directory.put(_make_record("gone", born=1))
        replica = directory.get_target("models").replicas[0]
        for _ in range(2):
            directory.record_other_instance(replica)
        assert losses == replaced == ["gone/1"]
        assert directory.is_replaced(replica)

    def test_replica_gets_nothing_after_another_one_has_answered(self):
        """Guards against sends that the next process at the address refuses again."""
        clock = ManualClock()
        directory = ReplicaDirectory(clock, lambda changed: None)
        directory.put(_make_record("gone", born=1))
        directory.put(_make_record("other", born=1, address="10.0.0.2:80"))
        replica = directory.find_replica("gone")
        assert replica is not None
        directory.record_other_instance(replica)
        names = [each.name for each in directory.get_target("models").replicas]
        assert names == ["other"]

    def test_replica_is_tried_again_after_a_while(self):
        """Guards against the answer of a predecessor that ends its successor's work."""
        clock = ManualClock()
        directory = ReplicaDirectory(clock, lambda changed: None)
        directory.put(_make_record("new", born=2))
        replica = directory.get_target("models").replicas[0]
        directory.record_other_instance(replica)
        clock.advance(2.1)
        directory.expire()
        assert directory.get_target("models").replicas == (replica,)
