"""Incremental parsing gives the same bundles as parsing each version alone."""

import json
import random
from typing import Any

import pytest

from fireflyspread.bundle import Bundle
from fireflyspread.bundle._reader import BundleReader
from fireflyspread.exceptions import BundleError
from tests.bundle.examples import make_bundle, make_config


def change(config: dict[str, Any], rng: random.Random) -> None:
    """Change, add, remove or reorder an item; the result may be invalid."""
    section = config[rng.choice(["teams", "keys", "targets", "routes"])]
    match rng.randrange(6):
        case 0:
            config["teams"][0]["rate"] = rng.randrange(-1, 4)
        case 1:
            section.append({**rng.choice(section), "name": f"n{rng.randrange(3)}"})
        case 2 if len(section) > 1:
            section.pop(rng.randrange(len(section)))
        case 3:
            rng.shuffle(section)
        case 4:
            config["targets"][0]["half"] = rng.choice(["north", "south", "a/b"])
        case _:
            config["routes"][0]["target"] = rng.choice(["matcher", "quotes", "x"])


class TestBundleReader:
    """BundleReader.read."""

    @pytest.mark.parametrize("seed", range(20))
    def test_agrees_with_full_check(self, seed: int) -> None:
        """Guards against reuse that keeps an old value or accepts an invalid bundle."""
        rng, reader, config = random.Random(seed), BundleReader(), make_config()
        for _ in range(40):
            before = json.dumps(config)
            change(config, rng)
            data = json.dumps(config).encode()
            try:
                expected = Bundle.from_json(data)
            except BundleError as exc:
                with pytest.raises(BundleError) as caught:
                    reader.read(data)
                assert str(caught.value).split(" @")[0] in str(exc)
                config = json.loads(before)
                continue
            assert reader.read(data) == expected

    def test_reuses_unchanged_items(self) -> None:
        """Guards against structuring all items when one team has changed."""
        reader = BundleReader()
        old = reader.read(make_bundle().to_json())
        new = reader.read(make_bundle(rate=2.0).to_json())
        assert new.teams[0] != old.teams[0]
        assert new.teams[1] is old.teams[1] and new.targets[0] is old.targets[0]
