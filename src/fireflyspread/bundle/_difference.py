"""Differences between two bundles."""

import enum
from collections.abc import Iterable, Mapping
from typing import Any

import attrs
from attrs import frozen

from fireflyspread.bundle._model import Bundle

__all__ = ["Action", "Difference", "FieldChange", "compare"]


class Action(enum.StrEnum):
    """How an item differs between two bundles."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@frozen
class FieldChange:
    """One field with its old and new value."""

    name: str
    old: Any
    new: Any


@frozen(kw_only=True)
class Difference:
    """One item that was added, removed or changed.

    Attributes
    ----------
    section : str
        ``team``, ``key``, ``target``, ``replica`` or ``route``.
    name : str
        Name of the item; for a key its digest.
    fields : tuple of FieldChange
        Fields of a changed item.
    """

    action: Action
    section: str
    name: str
    fields: tuple[FieldChange, ...] = ()

    @property
    def changes_owner(self) -> bool:
        """Whether this change gives a target a new fencing number."""
        if self.section != "target" or self.action is Action.REMOVED:
            return False
        return self.action is Action.ADDED or any(
            change.name == "half" for change in self.fields
        )

    def __str__(self) -> str:
        changes = ", ".join(
            f"{change.name}: {change.old} -> {change.new}" for change in self.fields
        )
        text = f"{self.action} {self.section} {self.name}"
        return f"{text} ({changes})" if changes else text


def compare(old: Bundle | None, new: Bundle) -> tuple[Difference, ...]:
    """Return the differences from ``old`` to ``new``; None is the empty bundle."""
    before = {} if old is None else _index_sections(old)
    differences: list[Difference] = []
    for section, items in _index_sections(new).items():
        differences += _compare_items(section, before.get(section, {}), items)
    return tuple(differences)


def _index_sections(bundle: Bundle) -> dict[str, dict[str, dict[str, Any]]]:
    targets = bundle.targets
    return {
        "team": _index_items(bundle.teams, "name"),
        "key": _index_items(bundle.keys, "digest"),
        "target": _index_items(targets, "name", omit="replicas"),
        "replica": {
            replica.name: {**attrs.asdict(replica), "target": target.name}
            for target in targets
            for replica in target.replicas
        },
        "route": _index_items(bundle.routes, "name"),
    }


def _index_items(
    items: Iterable[Any], key: str, *, omit: str = ""
) -> dict[str, dict[str, Any]]:
    fields = {getattr(item, key): attrs.asdict(item, recurse=False) for item in items}
    for item in fields.values():
        item.pop(omit, None)
    return fields


def _compare_items(
    section: str,
    old: Mapping[str, dict[str, Any]],
    new: Mapping[str, dict[str, Any]],
) -> Iterable[Difference]:
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield Difference(action=Action.ADDED, section=section, name=name)
        elif name not in new:
            yield Difference(action=Action.REMOVED, section=section, name=name)
        elif old[name] != new[name]:
            fields = tuple(
                FieldChange(field, old[name][field], new[name][field])
                for field in new[name]
                if old[name][field] != new[name][field]
            )
            yield Difference(
                action=Action.CHANGED, section=section, name=name, fields=fields
            )
