"""Seeded agent programs of the two example deployments."""

import random
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from attrs import field, frozen

__all__ = [
    "Call",
    "Pause",
    "Plan",
    "Step",
    "ChildProgram",
    "Turn",
    "Workload",
    "compute_budget",
]


@frozen
class Turn:
    """A model turn with one new message."""

    model: str
    text: str
    max_tokens: int


@frozen
class Call:
    """A call of a service; ``key`` is the idempotency key of a non-idempotent one."""

    route: str
    body: bytes
    key: str | None = None


@frozen
class Pause:
    """A pause while a tool runs at the caller."""

    seconds: float


@frozen
class ChildProgram:
    """A sub-agent that draws on the budget of its program."""

    steps: "tuple[Step, ...]"


Step = Turn | Call | Pause | ChildProgram


@frozen(kw_only=True)
class Plan:
    """Plan of one program.

    Attributes
    ----------
    budget : int
        Tokens that cover the worst case of all steps; 0 for calls outside of a program.
    shape : str
        Kind of the program, such as ``"reorder"``.
    """

    index: int
    shape: str
    team: str
    steps: tuple[Step, ...]
    budget: int = field(default=0)

    @property
    def pause_seconds(self) -> float:
        """Sum of the pauses in seconds."""
        return _sum_pauses(self.steps)


class _Builder:
    """Draws random steps of one program."""

    def __init__(self, rng: random.Random, name: str) -> None:
        self.rng = rng
        self._name = name
        self._count = 0

    def turn(self, model: str, words: tuple[int, int], max_tokens: int = 96) -> Turn:
        self._count += 1
        count = self.rng.randint(*words)
        text = " ".join(self.rng.choices(_WORDS, k=count))
        # The prefix makes every history unique, so that mixed-up answers are detected.
        return Turn(model, f"[{self._name}/{self._count}] {text}", max_tokens)

    def call(self, route: str, *, has_key: bool = False) -> Call:
        self._count += 1
        name = f"{self._name}/{self._count}"
        body = {"item": name, "amount": self.rng.randint(1, 500)}
        return Call(
            route, msgspec.json.encode(body), f"key-{name}" if has_key else None
        )

    def pause(self, mean_seconds: float) -> Pause:
        return Pause(min(10 * mean_seconds, self.rng.expovariate(1 / mean_seconds)))

    def draw_bool(self, probability: float) -> bool:
        return self.rng.random() < probability


def _make_sourcing(b: _Builder) -> list[Step]:
    steps: list[Step] = [b.turn("lid-matching", (150, 500))]
    for _ in range(b.rng.randint(6, 20)):
        steps.append(b.pause(0.5))
        if b.draw_bool(0.4):
            steps.append(b.call(b.rng.choice(["quotes", "price-check"])))
        if b.draw_bool(0.1):
            child = [b.turn("lid-matching", (40, 120)) for _ in range(3)]
            steps.append(ChildProgram(tuple(child)))
        steps.append(b.turn("lid-matching", (20, 120)))
    if b.draw_bool(0.3):
        steps.append(b.call("supplier-holds", has_key=True))
    return steps


def _make_reorder(b: _Builder) -> list[Step]:
    steps: list[Step] = [b.turn("lid-matching", (40, 120)), b.call("quotes")]
    steps += [b.pause(0.2), b.turn("lid-matching", (20, 60))]
    return [*steps, b.call("orders", has_key=True)]


def _make_price_check(b: _Builder) -> list[Step]:
    return [b.call("price-check"), b.turn("lid-matching-interactive", (10, 40), 48)]


def _make_catalogue(b: _Builder) -> list[Step]:
    return [b.call("catalogue")]


def _make_draft(b: _Builder) -> list[Step]:
    return [b.turn("drafts", (80, 240)) for _ in range(b.rng.randint(1, 2))]


def _make_review(b: _Builder) -> list[Step]:
    steps: list[Step] = [b.turn("case-review", (600, 1500))]
    for _ in range(b.rng.randint(8, 20)):
        steps += [b.pause(0.6), b.turn("case-review", (30, 150))]
        if b.draw_bool(0.1):
            child = [b.turn("summaries", (60, 200)) for _ in range(2)]
            steps.append(ChildProgram(tuple(child)))
    return steps


def _make_charge(b: _Builder) -> list[Step]:
    return [b.turn("summaries", (60, 200)), b.call("charges", has_key=True)]


def _make_pickup(b: _Builder) -> list[Step]:
    return [b.call("courier-pickup", has_key=True)]


def _make_status(b: _Builder) -> list[Step]:
    return [b.call("urgent-status")]


_Shape = tuple[str, float, Callable[[_Builder], list[Step]]]
_SHAPES: dict[str, list[_Shape]] = {
    "poklopac": [
        ("sourcing", 2.0, _make_sourcing),
        ("reorder", 4.0, _make_reorder),
        ("price-check", 3.0, _make_price_check),
        ("catalogue", 1.0, _make_catalogue),
    ],
    "asociacion": [
        ("draft", 4.0, _make_draft),
        ("case-review", 2.0, _make_review),
        ("charge", 2.0, _make_charge),
        ("pickup", 1.0, _make_pickup),
        ("urgent-status", 2.0, _make_status),
    ],
}
_WORDS = (
    "lid jar glass thread diameter gasket supplier batch steel tin order quote slide "
    "scan tissue stain case patient report margin focus archive courier label please "
    "compare check the of and with for next under request"
).split()


class Workload:
    """Reproducible random programs of a deployment.

    Parameters
    ----------
    deployment : str
        ``poklopac`` or ``asociacion``.
    bundle : dict
        Its bundle; teams get programs in proportion to their rate limits.
    seed : int
        The same seed gives the same programs.
    """

    def __init__(self, deployment: str, bundle: dict[str, Any], seed: int) -> None:
        self._deployment = deployment
        self._shapes = _SHAPES[deployment]
        self._teams = [team["name"] for team in bundle["teams"]]
        self._rates = [team["rate"] for team in bundle["teams"]]
        self._seed = seed

    def make_plan(self, index: int) -> Plan:
        """Return the plan of program number ``index``."""
        name = f"{self._deployment}-{self._seed}-{index}"
        rng = random.Random(name)
        weights = [weight for _, weight, _ in self._shapes]
        shape, _, make = rng.choices(self._shapes, weights)[0]
        steps = tuple(make(_Builder(rng, name)))
        is_program = any(isinstance(step, Turn) for step in steps)
        return Plan(
            index=index,
            shape=shape,
            team=rng.choices(self._teams, self._rates)[0],
            steps=steps,
            budget=compute_budget(steps) if is_program else 0,
        )

    def iterate(self) -> Iterator[Plan]:
        """Yield plans without end, from index 0 on."""
        index = 0
        while True:
            yield self.make_plan(index)
            index += 1


def compute_budget(steps: tuple[Step, ...]) -> int:
    """Return a budget that covers the worst case of all steps, in tokens.

    Nodes reserve one token for each byte of a new message.
    """
    total = 0
    for step in steps:
        if isinstance(step, Turn):
            total += 2 * (len(step.text.encode()) + 64 + step.max_tokens)
        elif isinstance(step, ChildProgram):
            total += compute_budget(step.steps)
        else:
            total += 1
    return total + 4096


def _sum_pauses(steps: tuple[Step, ...]) -> float:
    total = 0.0
    for step in steps:
        if isinstance(step, Pause):
            total += step.seconds
        elif isinstance(step, ChildProgram):
            total += _sum_pauses(step.steps)
    return total
