"""The fair queue shares service by weight and starves nobody."""

from itertools import count

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyspread.routing import FairQueue, Work
from fireflyspread.routing._queue import Waiting

_NUMBERS = count()
_COSTS = st.floats(1.0, 100.0)
_LARGEST = 100.0


def make_waiting(
    team: str = "t",
    *,
    cost: float = 1.0,
    weight: float = 1.0,
    at: float = 0.0,
    is_interactive: bool = False,
    attained: float = 0.0,
) -> Waiting:
    """Return a waiting request."""
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
        attained=attained,
    )
    return Waiting(work=work, enqueued_at=at)


def serve_next(queue: FairQueue) -> Waiting:
    """Take the first request."""
    waiting = next(queue.scan())
    queue.take(waiting)
    return waiting


def serve_backlogged(weights: list[float], costs: list[float]) -> list[float]:
    """Serve one request for each of ``costs`` while every team has one waiting."""
    queue = FairQueue()
    served = [0.0] * len(weights)
    for i, weight in enumerate(weights):
        queue.push(make_waiting(str(i), cost=costs[i % len(costs)], weight=weight))
    for cost in costs:
        work = serve_next(queue).work
        served[int(work.team)] += work.cost
        queue.push(make_waiting(work.team, cost=cost, weight=work.weight))
    return served


class TestShares:
    """Service of teams that always have requests waiting."""

    @given(st.integers(2, 8), st.lists(_COSTS, min_size=1, max_size=150))
    @settings(derandomize=True)
    def test_equal_weights_within_one_request(
        self, teams: int, costs: list[float]
    ) -> None:
        """A team gets more or less than its share by more than one request."""
        served = serve_backlogged([1.0] * teams, costs)
        share = sum(served) / teams
        assert all(abs(one - share) <= _LARGEST + 1e-6 for one in served)

    @given(
        st.lists(st.floats(0.5, 16.0), min_size=2, max_size=8),
        st.lists(_COSTS, min_size=1, max_size=150),
    )
    @settings(derandomize=True)
    def test_weights(self, weights: list[float], costs: list[float]) -> None:
        """A team gets more than its entitlement, or less than another by weight."""
        served = serve_backlogged(weights, costs)
        for one, weight in zip(served, weights, strict=True):
            entitled = sum(served) * weight / sum(weights)
            assert one <= entitled + _LARGEST + 1e-6
            for other, other_weight in zip(served, weights, strict=True):
                apart = abs(one / weight - other / other_weight)
                assert apart <= _LARGEST / min(weight, other_weight) + 1e-6

    def test_idle_team_saves_nothing_up(self) -> None:
        """A team that was idle gets everything until it has caught up."""
        queue = FairQueue()
        queue.push(make_waiting("idle"))
        for _ in range(50):
            queue.push(make_waiting("busy"))
        for _ in range(25):
            serve_next(queue)
        for _ in range(10):
            queue.push(make_waiting("idle"))
        teams = [serve_next(queue).work.team for _ in range(10)]
        assert teams.count("busy") >= 4

    def test_settled_cost_counts(self) -> None:
        """A team whose requests use more than expected gets more than its share."""
        queue = FairQueue()
        for team in ("a", "b"):
            for _ in range(40):
                queue.push(make_waiting(team))
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
        """A request is overtaken for ever by interactive or short programs."""
        queue = FairQueue(attained_delay=5.0, interactive_lead=30.0)
        now = 0.0
        for is_interactive, attained, gap in arrivals:
            now += gap
            queue.push(
                make_waiting(at=now, is_interactive=is_interactive, attained=attained)
            )
        newest = 0.0
        while len(queue):
            waiting = serve_next(queue)
            newest = max(newest, waiting.enqueued_at)
            assert newest - waiting.enqueued_at <= 35.0 + 1e-6

    def test_interactive_first_then_least_attained(self) -> None:
        """A person waits behind batch work, or a short program behind a long one."""
        queue = FairQueue(attained_delay=5.0)
        long = make_waiting(attained=1e6)
        short = make_waiting(at=1.0)
        person = make_waiting(at=2.0, is_interactive=True, attained=1e6)
        for waiting in (long, short, person):
            queue.push(waiting)
        assert [serve_next(queue) for _ in range(3)] == [person, short, long]


class TestRemove:
    """FairQueue.remove."""

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=40))
    @settings(derandomize=True)
    def test_keeps_the_rest(self, pushes: list[tuple[str, bool]]) -> None:
        """Removing a request loses or repeats another one."""
        queue = FairQueue()
        waiting = [make_waiting(team) for team, _ in pushes]
        for each in waiting:
            queue.push(each)
        kept = []
        for each, (_, is_removed) in zip(waiting, pushes, strict=True):
            if is_removed:
                queue.remove(each)
                queue.remove(each)
            else:
                kept.append(each)
        served = [serve_next(queue) for _ in range(len(queue))]
        assert sorted(map(id, served)) == sorted(map(id, kept))
