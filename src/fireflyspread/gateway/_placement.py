"""Placement of a gateway node and the exchange of loads that it uses."""

import random
from collections.abc import Callable, Sequence

from fireflyspread.clock import Clock
from fireflyspread.gateway._settings import GatewaySettings
from fireflyspread.nodes import LoadExchange, PeerClient
from fireflyspread.recovery import NodeAddress
from fireflyspread.routing import (
    CompletionPlacement,
    EngineTimes,
    PolicyScheduler,
    PromptPlacement,
)

__all__ = ["build_load_exchange", "build_placement"]


def build_placement(
    settings: GatewaySettings, clock: Clock, rng: random.Random
) -> CompletionPlacement:
    """Return the placement of a node."""
    zone, placement = settings.node.zone, settings.placement
    return CompletionPlacement(
        PromptPlacement(rng, zone=zone),
        clock,
        rng,
        zone=zone,
        times=EngineTimes(
            prefill_rate=placement.prefill_rate, step_seconds=placement.step_seconds
        ),
        is_default=placement.expected_completion,
    )


def build_load_exchange(
    settings: GatewaySettings,
    client: PeerClient,
    scheduler: PolicyScheduler,
    clock: Clock,
    *,
    list_members: Callable[[], Sequence[NodeAddress]],
    rng: random.Random,
) -> LoadExchange:
    """Return the exchange of loads of a node."""
    return LoadExchange(
        client,
        scheduler,
        clock,
        node=settings.node.name,
        zone=settings.node.zone,
        list_members=list_members,
        rng=rng,
        interval=settings.placement.exchange_interval,
    )
