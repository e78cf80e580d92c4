"""Tests of gateway processes with requests that crash replicas beside other trouble."""

import random

import pytest

from tests.effort import scale_examples
from tests.gateway.crash_play import (
    MAX_LATE_SENDS,
    Trouble,
    Variant,
    check,
    play_variant,
)

_SEEDS = range(1, 1 + scale_examples(4))
_INTERVAL = 0.4  # seconds
_CRASH_SECONDS = 2.0


def _make_variant(**fields) -> Variant:
    options = {
        "replicas": 6,
        "interval": _INTERVAL,
        "crash_seconds": _CRASH_SECONDS,
        "max_wait": 5.0,
        "patience": 5.0,
        **fields,
    }
    return Variant(**options)


async def _play_and_check(folder, **fields) -> None:
    play, records = await play_variant(folder, _make_variant(**fields))
    check(play, records)


class TestSilentEnds:
    @pytest.mark.parametrize("returns_as", ["new", "same"])
    @pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
    async def test_replicas_whose_connections_stay_open_are_crashed_by_few_requests(
        self, tmp_path, kind, returns_as
    ):
        """Guards against crashes that are noticed only when a caller's time is over."""
        await _play_and_check(
            tmp_path, kind=kind, returns_as=returns_as, silent=True, stays_silent=True
        )

    @pytest.mark.parametrize("kind", ["safe", "stream"])
    async def test_replicas_are_crashed_by_few_requests_at_many_nodes(
        self, tmp_path, kind
    ):
        """Guards against nodes each of which counts its own crashes alone."""
        await _play_and_check(
            tmp_path, kind=kind, nodes=8, replicas=12, silent=True, stays_silent=True
        )

    @pytest.mark.parametrize("trouble", [Trouble.STORE_REFUSES, Trouble.STORE_HANGS])
    @pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
    async def test_replicas_are_crashed_by_few_requests_beside_a_failing_store(
        self, tmp_path, kind, trouble
    ):
        """Guards against ends of replicas that only the store would tell."""
        await _play_and_check(
            tmp_path, kind=kind, trouble=trouble, silent=True, stays_silent=True
        )

    async def test_replicas_are_crashed_by_few_requests_whose_callers_leave(
        self, tmp_path
    ):
        """Guards against silent ends after the caller has left."""
        await _play_and_check(
            tmp_path,
            kind="safe",
            trouble=Trouble.STORE_HANGS,
            silent=True,
            stays_silent=True,
            patience=0.3,
            delay=0.5,
        )


class TestLateCrashes:
    @pytest.mark.parametrize(
        ("kind", "delay", "patience"),
        [("stream", 5.0, 0.3), ("safe", 6.0, 5.0), ("safe", 4.0, 0.6)],
    )
    async def test_equal_requests_at_once_crash_few_replicas(
        self, tmp_path, kind, delay, patience
    ):
        """Guards against copies that are sent on while others still run."""
        await _play_and_check(
            tmp_path, kind=kind, delay=delay, patience=patience, copies=4
        )


class TestRandomMixes:
    @pytest.mark.parametrize("seed", _SEEDS)
    async def test_a_request_crashes_few_replicas_in_any_mix(self, tmp_path, seed):
        """Guards against a combination that no other test plays."""
        rng = random.Random(seed)
        is_silent = rng.random() < 0.5
        identities = ["new", "same"] if is_silent else ["new", "same", "unregistered"]
        _, records = await play_variant(
            tmp_path,
            _make_variant(
                kind=rng.choice(["safe", "unsafe", "stream"]),
                replicas=rng.choice([1, 2, 6, 12]),
                nodes=rng.choice([3, 3, 8]),
                returns_as=rng.choice(identities),
                silent=is_silent,
                stays_silent=is_silent and rng.random() < 0.8,
                delay=rng.choice([0.0, 0.0, 0.5, 1.0, 4.0, 5.0, 6.0]),
                patience=rng.choice([0.3, 0.6, 1.0, 5.0, 5.0]),
                copies=rng.choice([1, 1, 4, 6]),
                is_spread=rng.random() < 0.5,
                trouble=rng.choice(list(Trouble)),
            ),
        )
        for record in records:
            assert record.count_late_sends() <= MAX_LATE_SENDS, record.describe()
