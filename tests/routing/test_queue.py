"""The fair queue shares service by weight and starves no request."""

from itertools import count

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyspread.routing import FairQueue, Work
from fireflyspread.routing._queue import QueueEntry

_NUMBERS = count()
_COSTS = st.floats(1.0, 100.0)
_MAX_COST = 100.0


def make_entry(
    team: str = "t",
    *,
    cost: float = 1.0,
    weight: float = 1.0,
    at: float = 0.0,
    is_interactive: bool = False,
    attained_tokens: float = 0.0,
) -> QueueEntry:
    """Return a queue entry of a program of its own."""
    name = f"w{next(_NUMBERS)}"
    work = Work(
        request=name,
        team=team,
        weight=weight,
        program=name,
        fingerprint=name,
        cost=cost,
        deadline=1e9,
        is_interactive=is_interactive,
        attained_tokens=attained_tokens,
    )
    return QueueEntry(work=work, enqueued_at=at)


def serve_next(queue: FairQueue) -> QueueEntry:
    """Take the first request."""
    entry = next(queue.scan())
    queue.take(entry)
    return entry


def serve_backlogged(weights: list[float], costs: list[float]) -> list[float]:
    """Serve one request per item of ``costs`` while every team has one waiting.

    Returns the cost served for each team.
    """
    queue = FairQueue()
    served = [0.0] * len(weights)
    for i, weight in enumerate(weights):
        queue.push(make_entry(str(i), cost=costs[i % len(costs)], weight=weight))
    for cost in costs:
        work = serve_next(queue).work
        served[int(work.team)] += work.cost
        queue.push(make_entry(work.team, cost=cost, weight=work.weight))
    return served


class TestShares:
    """Service of teams that always have requests waiting."""

    @given(st.integers(2, 8), st.lists(_COSTS, min_size=1, max_size=150))
    @settings(derandomize=True)
    def test_equal_weights_within_one_request(
        self, teams: int, costs: list[float]
    ) -> None:
        """Guards against service that differs from the share by over a request."""
        served = serve_backlogged([1.0] * teams, costs)
        share = sum(served) / teams
        assert all(abs(one - share) <= _MAX_COST + 1e-6 for one in served)

    @given(
        st.lists(st.floats(0.5, 16.0), min_size=2, max_size=8),
        st.lists(_COSTS, min_size=1, max_size=150),
    )
    @settings(derandomize=True)
    def test_weights(self, weights: list[float], costs: list[float]) -> None:
        """Guards against service that differs from the weights by over a request.

        Bounds a team's excess over its entitlement, and the difference between any
        two teams.
        """
        served = serve_backlogged(weights, costs)
        for one, weight in zip(served, weights, strict=True):
            entitled = sum(served) * weight / sum(weights)
            assert one <= entitled + _MAX_COST + 1e-6
            for other, other_weight in zip(served, weights, strict=True):
                apart = abs(one / weight - other / other_weight)
                assert apart <= _MAX_COST / min(weight, other_weight) + 1e-6

    def test_idle_team_saves_nothing_up(self) -> None:
        """Guards against an idle team that later gets all service to catch up."""
        queue = FairQueue()
        queue.push(make_entry("idle"))
        for _ in range(50):
            queue.push(make_entry("busy"))
        for _ in range(25):
            serve_next(queue)
        for _ in range(10):
            queue.push(make_entry("idle"))
        teams = [serve_next(queue).work.team for _ in range(10)]
        assert teams.count("busy") >= 4

    def test_settled_cost_counts(self) -> None:
        """Guards against a team that exceeds its share with understated costs."""
        queue = FairQueue()
        for team in ("a", "b"):
            for _ in range(40):
                queue.push(make_entry(team))
        served = {"a": 0.0, "b": 0.0}
        for _ in range(24):
            work = serve_next(queue).work
            used = 3.0 if work.team == "a" else 1.0
            queue.settle(work, used)
            served[work.team] += used
        assert abs(served["a"] - served["b"]) <= 3.0


class TestOrderInsideTeam:
    """Requests of one team."""

    @given(
        st.lists(
            st.tuples(st.booleans(), st.floats(0.0, 1e9), st.floats(0.0, 5.0)),
            min_size=1,
            max_size=60,
        )
    )
    @settings(derandomize=True)
    def test_nothing_starves(self, arrivals: list[tuple[bool, float, float]]) -> None:
        """Guards against a request that others overtake without a bound."""
        queue = FairQueue(max_attained_delay=5.0, interactive_lead=30.0)
        now = 0.0
        for is_interactive, attained_tokens, gap in arrivals:
            now += gap
            queue.push(
                make_entry(
                    at=now,
                    is_interactive=is_interactive,
                    attained_tokens=attained_tokens,
                )
            )
        newest = 0.0
        while len(queue):
            entry = serve_next(queue)
            newest = max(newest, entry.enqueued_at)
            assert newest - entry.enqueued_at <= 35.0 + 1e-6

    def test_interactive_first_then_least_attained(self) -> None:
        """Guards against interactive requests and short programs behind long ones."""
        queue = FairQueue(max_attained_delay=5.0)
        long = make_entry(attained_tokens=1e6)
        short = make_entry(at=1.0)
        interactive = make_entry(at=2.0, is_interactive=True, attained_tokens=1e6)
        for entry in (long, short, interactive):
            queue.push(entry)
        assert [serve_next(queue) for _ in range(3)] == [interactive, short, long]


class TestRemove:
    """FairQueue.remove."""

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=40))
    @settings(derandomize=True)
    def test_keeps_the_rest(self, pushes: list[tuple[str, bool]]) -> None:
        """Guards against losing or repeating other requests when one is removed."""
        queue = FairQueue()
        entries = [make_entry(team) for team, _ in pushes]
        for each in entries:
            queue.push(each)
        kept = []
        for each, (_, is_removed) in zip(entries, pushes, strict=True):
            if is_removed:
                queue.remove(each)
                queue.remove(each)
            else:
                kept.append(each)
        served = [serve_next(queue) for _ in range(len(queue))]
        assert sorted(map(id, served)) == sorted(map(id, kept))
