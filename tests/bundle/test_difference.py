"""Differences shown before a roll."""

from fireflyspread.bundle import Bundle, compare
from tests.bundle.examples import make_bundle, make_config


class TestCompare:
    """compare."""

    def test_names_changed_field(self) -> None:
        """Guards against a changed rate that is shown without both values."""
        (change,) = compare(make_bundle(), make_bundle(rate=2.0))
        assert str(change) == "changed team lids (rate: 10.0 -> 2.0)"

    def test_marks_owner_change(self) -> None:
        """Guards against a change of owner that is not marked as one."""
        (change,) = compare(make_bundle(), make_bundle(half="south"))
        assert change.changes_owner

    def test_shows_moved_replica(self) -> None:
        """Guards against a moved replica that is shown as more than one change."""
        config = make_config()
        config["targets"][1]["replicas"] = config["targets"][0].pop("replicas")
        config["targets"][0]["replicas"] = []
        (change,) = compare(make_bundle(), Bundle.from_config(config))
        assert str(change) == "changed replica matcher-1 (target: matcher -> quotes)"

    def test_lists_additions_and_removals(self) -> None:
        """Guards against removed keys or added routes that are not listed."""
        config = make_config()
        digest = config["keys"].pop()["digest"]
        config["routes"].append({"name": "new", "target": "quotes"})
        changes = compare(make_bundle(), Bundle.from_config(config))
        assert [str(c) for c in changes] == [f"removed key {digest}", "added route new"]

    def test_compares_with_nothing(self) -> None:
        """Guards against a first roll that does not show every item as added."""
        assert {c.action.value for c in compare(None, make_bundle())} == {"added"}
