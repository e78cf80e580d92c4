"""Invalid bundles are refused with the field and a remedy."""

import json
from typing import Any

import pytest

from fireflyspread.bundle import Bundle, Rollout, hash_key
from fireflyspread.exceptions import BundleError
from tests.bundle.examples import make_bundle, make_config
from tests.bundle.memory_store import MemoryStore


def change(path: str, value: Any) -> dict[str, Any]:
    """Return the example with the field at a dotted path replaced."""
    config: Any = make_config()
    *parents, last = path.split(".")
    item = config
    for name in parents:
        item = item[int(name) if name.isdigit() else name]
    item[last] = value
    return config


class TestFromConfig:
    """Bundle.from_config."""

    @pytest.mark.parametrize(
        ("path", "value", "message"),
        [
            ("teams.0.rate", 0, r"'rate' must be > 0.*teams\[0\]"),
            ("teams.0.rate", "10", r"expected a number, got '10'.*teams\[0\].rate"),
            ("teams.0.rate", float("inf"), "'rate' is inf; write a finite number"),
            ("teams.0.rate", 10**400, "the number is too large"),
            ("teams.0.name", "a/b", "'name' is 'a/b'; use 1 to 128 letters"),
            ("teams.0.color", 1, "unknown field 'color'; use name, rate"),
            ("teams", {}, "expected a list, got dict"),
            ("teams", [3], r"expected a JSON object.*teams\[0\]"),
            ("keys.0.team", "absent", "names the absent team 'absent'; add it"),
            ("targets.0.kind", "db", "'db' is unknown; use one of 'engine', 'service'"),
            ("targets.0.name", "quotes", "target 'quotes' appears twice"),
            ("targets.0.concurrency", 1.5, "expected a whole number, got 1.5"),
            ("targets.0.replicas.0.url", "ftp://x", "'url' is 'ftp://x'; write e.g."),
            ("targets.0.replicas.0.zone", "", "'zone' is ''; use 1 to 255"),
            ("routes.0.target", "absent", "names the absent target 'absent'; add it"),
            ("routes.0.open", "false", "expected true or false, got 'false'"),
            ("routes.0.path", "o", "'path' is 'o'; write a path that starts"),
            ("routes.0.timeout", None, "expected a number, got None"),
        ],
    )
    def test_names_field_and_remedy(self, path: str, value: Any, message: str) -> None:
        """Guards against a wrong value that is converted or ignored."""
        with pytest.raises(BundleError, match=message):
            Bundle.from_config(change(path, value))

    def test_refuses_open_route_that_is_not_idempotent(self) -> None:
        """Guards against callers without a key that get each other's answers."""
        config = make_config()
        config["routes"][0] |= {"open": True, "idempotent": False}
        with pytest.raises(BundleError, match="share their idempotency keys"):
            Bundle.from_config(config)

    def test_names_missing_field(self) -> None:
        """Guards against a default rate for a team without a rate."""
        config = make_config()
        del config["teams"][1]["rate"]
        with pytest.raises(BundleError, match=r"missing; add it @.*teams\[1\].rate"):
            Bundle.from_config(config)

    def test_does_not_repeat_key(self) -> None:
        """Guards against error messages with a key given instead of its digest."""
        with pytest.raises(BundleError, match="key hash") as caught:
            Bundle.from_config(change("keys.0.digest", "secret-key"))
        assert "secret-key" not in str(caught.value)


class TestFromJson:
    """Bundle.from_json."""

    @pytest.mark.parametrize(
        ("data", "message"),
        [
            (b'{"teams": "\xff"}', "byte 11 is not UTF-8"),
            (json.dumps(make_config()).encode("utf-16"), "is not UTF-8"),
            (b'{"teams": [', "not JSON.*line 1 column 12"),
            (b'{"teams": [], "teams": []}', "field 'teams' appears twice"),
            (b'{"teams": [{"rate": NaN}]}', "NaN is not a JSON number"),
            (b"[" * 100_000, "nested too deeply"),
            (b"null", "bundle is not a JSON object"),
        ],
    )
    def test_refuses_broken_text(self, data: bytes, message: str) -> None:
        """Guards against text that is not a bundle and is refused without a reason."""
        with pytest.raises(BundleError, match=message):
            Bundle.from_json(data)

    def test_digest_does_not_depend_on_form(self) -> None:
        """Guards against a digest that depends on spacing or field order."""
        config = dict(reversed(make_config().items()))
        data = json.dumps(config, indent=4).encode()
        assert Bundle.from_json(data).digest == make_bundle().digest

    def test_reads_own_canonical_form(self) -> None:
        """Guards against a stored bundle that changes when it is read back."""
        bundle = make_bundle()
        assert Bundle.from_json(bundle.to_json()) == bundle


class TestSize:
    """Rollout.draft."""

    async def test_refuses_more_than_store_accepts(self) -> None:
        """Guards against a bundle that is sent although the store refuses its size."""
        config = make_config()
        config["keys"] += [
            {"digest": hash_key(str(n)), "team": "lids"} for n in range(11_000)
        ]
        store = MemoryStore()
        with pytest.raises(
            BundleError, match="the store accepts at most 1000000; remove"
        ):
            await Rollout(store).draft(Bundle.from_config(config))
        assert not store.written
