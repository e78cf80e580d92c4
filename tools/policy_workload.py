"""Random programs of two deployments for the comparison of policies."""

import random

from attrs import evolve, frozen

__all__ = [
    "DEPLOYMENTS",
    "SimulatedDeployment",
    "SimulatedStep",
    "TeamLoad",
    "draw_program",
]


@frozen(kw_only=True)
class SimulatedStep:
    """A pause followed by a model turn or by a call of the service.

    Attributes
    ----------
    new_tokens, completion_tokens : int
        Tokens of the new message and of the answer; 0 for a call.
    pause : float
        Seconds before the step.
    tool : str
        Kind of tool that runs during the pause.
    call_seconds : float
        Service time of a call; 0 for a turn.
    """

    pause: float
    tool: str = ""
    new_tokens: int = 0
    completion_tokens: int = 0
    call_seconds: float = 0.0
    is_interactive: bool = False


@frozen
class TeamLoad:
    """Load of a team; ``share`` is its fraction of the arrivals without the flood."""

    name: str
    weight: float
    share: float


@frozen(kw_only=True)
class SimulatedDeployment:
    """Sizes and load of a deployment.

    Attributes
    ----------
    rate : float
        Programs per second of all teams without the flood.
    latency : float
        Network latency in seconds.
    cache_tokens : int
        Tokens of KV cache of each replica.
    flooding_team : str
        Team that sends eight times its normal load during the flood.
    shapes : dict of str to float
        Relative frequency of each kind of program.
    """

    name: str
    engines: int
    services: int
    latency: float
    rate: float
    cache_tokens: int
    flooding_team: str
    teams: tuple[TeamLoad, ...]
    shapes: dict[str, float]


_WEIGHTS = (4.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0)
_SHARES = (0.28, 0.18, 0.16, 0.1, 0.08, 0.08, 0.06, 0.06)


def _make_teams(*names: str) -> tuple[TeamLoad, ...]:
    return tuple(map(TeamLoad, names, _WEIGHTS, _SHARES))


DEPLOYMENTS = {
    "poklopac": SimulatedDeployment(
        name="poklopac",
        engines=5,
        services=3,
        latency=0.001,
        rate=0.9,
        cache_tokens=400_000,
        flooding_team="reorders",
        teams=_make_teams(
            "sourcing",
            "reorders",
            "pricing",
            "quality",
            "logistics",
            "catalogue",
            "marketing",
            "audit",
        ),
        shapes={"long": 2.0, "medium": 4.0, "interactive": 3.0, "call": 1.0},
    ),
    "asociacion": SimulatedDeployment(
        name="asociacion",
        engines=4,
        services=3,
        latency=0.0005,
        rate=0.6,
        cache_tokens=800_000,
        flooding_team="clinic-b",
        teams=_make_teams(
            "clinic-a",
            "clinic-b",
            "pathology",
            "research",
            "couriers",
            "billing",
            "teaching",
            "archive",
        ),
        shapes={"history": 1.6, "medium": 2.0, "interactive": 4.0, "call": 2.0},
    ),
}


def draw_program(rng: random.Random, shape: str) -> list[SimulatedStep]:
    """Return the steps of a random program of a kind."""
    if shape == "call":
        return [SimulatedStep(pause=0.0, call_seconds=rng.expovariate(10.0))]
    if shape == "interactive":
        return [
            SimulatedStep(pause=0.0, call_seconds=0.05),
            _draw_turn(rng, 0.0, (300, 1500), (40, 120), True),
        ]
    if shape == "medium":
        first = _draw_turn(rng, 0.0, (1000, 3000), (80, 200))
        call = SimulatedStep(pause=0.1, call_seconds=rng.expovariate(10.0))
        return [first, call, _draw_turn(rng, 0.5, (100, 400), (80, 200)), call]
    first_tokens = (20_000, 60_000) if shape == "history" else (4_000, 12_000)
    steps = [_draw_turn(rng, 0.0, first_tokens, (80, 250))]
    for _ in range(rng.randint(8, 30)):
        # Most tools take about a second; some wait for a person.
        tool, mean_seconds = ("tool", 1.5) if rng.random() < 0.85 else ("person", 20.0)
        pause = min(120.0, rng.expovariate(1 / mean_seconds))
        turn = _draw_turn(rng, pause, (200, 2000), (60, 250))
        steps.append(evolve(turn, tool=tool))
        if rng.random() < 0.2:
            seconds = rng.expovariate(10.0)
            steps.append(SimulatedStep(pause=0.0, call_seconds=seconds))
    return steps


def _draw_turn(
    rng: random.Random,
    pause: float,
    new_tokens: tuple[int, int],
    completion_tokens: tuple[int, int],
    is_interactive: bool = False,
) -> SimulatedStep:
    return SimulatedStep(
        pause=pause,
        new_tokens=rng.randint(*new_tokens),
        completion_tokens=rng.randint(*completion_tokens),
        is_interactive=is_interactive,
    )
