"""Incremental parsing of successive bundle versions."""

from typing import Any

from attrs import fields

from fireflyspread._structuring import decode_json, make_converter
from fireflyspread.bundle._model import Bundle, Key, Route, Target, Team
from fireflyspread.exceptions import BundleError

__all__ = ["BundleReader"]

# Class of the items of each section and the field that identifies an item.
_SECTIONS: dict[str, tuple[type, str]] = {
    "teams": (Team, "name"),
    "keys": (Key, "digest"),
    "targets": (Target, "name"),
    "routes": (Route, "name"),
}


class BundleReader:
    """Parses the contents of rolled bundles and reuses items that did not change.

    Structuring a bundle of 1 MB takes about 0.2 s. With 13,000 versions a day, most
    of which change a single item, that would be 3% of a core on every node.

    Items are compared as decoded JSON, where ``1`` and ``true`` are equal in Python.
    The digest of the contents must therefore have been verified: it shows that they
    were drafted from a valid bundle, so each field has the type of its class.
    """

    def __init__(self) -> None:
        self._converter = make_converter()
        self._cached: dict[str, dict[str, tuple[Any, Any]]] = {
            section: {} for section in _SECTIONS
        }

    def read(self, data: bytes) -> Bundle:
        """Return the bundle in ``data``; raises ``BundleError``."""
        try:
            config = decode_json(data)
        except ValueError as exc:
            raise BundleError(f"bundle refused: {exc}") from exc
        parsed = self._parse_items(config)
        if parsed is None:
            # The full validation reports which field is invalid and why.
            return Bundle.from_config(config)
        sections = {
            section: tuple(item for _, item in items.values())
            for section, items in parsed.items()
        }
        bundle = Bundle(**sections)
        self._cached = parsed
        return bundle

    def _parse_items(self, config: Any) -> dict[str, dict[str, tuple[Any, Any]]] | None:
        """Return raw and structured items by section and name, or None if invalid."""
        if not isinstance(config, dict) or config.keys() != _SECTIONS.keys():
            return None
        parsed = {}
        try:
            for section, (cls, key) in _SECTIONS.items():
                cached = self._cached[section]
                items = parsed[section] = {
                    raw[key]: self._structure(raw, cached.get(raw[key]), cls)
                    for raw in config[section]
                }
                if len(items) < len(config[section]):
                    return None
        except Exception:
            return None
        return parsed

    def _structure(
        self, raw: Any, cached: tuple[Any, Any] | None, cls: type
    ) -> tuple[Any, Any]:
        if cached is not None and cached[0] == raw:
            return cached
        return raw, self._converter.structure(raw, cls)


assert _SECTIONS.keys() == {field.name for field in fields(Bundle)}
