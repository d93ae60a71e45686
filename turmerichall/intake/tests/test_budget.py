"""Tests of who gives way when a port's budget is used up."""

import resource

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from turmerichall.intake import budget as budgets
from turmerichall.intake import limits as limits_module

IDLE = budgets.Activity.IDLE
RECEIVING = budgets.Activity.RECEIVING
SENDING = budgets.Activity.SENDING
HANDLING = budgets.Activity.HANDLING
MAX_BYTES = 1_000_000


class _Port:
    """A budget that records who gives way.

    Attributes:
        budget: The budget.
        given_up: Names of the connections that gave way, in order.
        reasons: Reasons that were reported.
    """

    def __init__(self, max_connections: int = 1000):
        self.given_up: list[str] = []
        self.reasons: list[budgets.Reason] = []
        self.budget = budgets.Budget(
            limits_module.Limits(MAX_BYTES, max_connections),
            self.reasons.append,
        )

    def open(self, name: str, now: float) -> budgets.Holding:
        """Open a connection that has room."""
        holding = self.budget.open(lambda: self.given_up.append(name), now)
        assert holding is not None
        return holding

    def receive(self, name: str, size: int, now: float) -> budgets.Holding:
        """Open a connection and receive bytes of a request."""
        holding = self.open(name, now)
        self.budget.update(holding, RECEIVING, size, now)
        return holding


class TestCrowdThatStopsShort:

    # Replays a crowd of unfinished bodies.  Each was within the limits of one
    # connection, and nothing limited their sum.
    def test_sum_stays_within_the_budget(self) -> None:
        port = _Port()
        for number in range(200):
            port.receive(f"crowd-{number}", 60_000, number / 1000)
            assert port.budget.size <= MAX_BYTES
        assert len(port.given_up) > 180
        assert set(port.reasons) == {budgets.Reason.BYTES}

    # A bound that the first comers fill would keep all others out.
    def test_ordinary_request_is_received_and_handled(self) -> None:
        port = _Port()
        for number in range(200):
            port.receive(f"crowd-{number}", 60_000, number / 1000)
            ordinary = port.receive(f"ordinary-{number}", 4000, number / 1000)
            assert port.budget.update(
                ordinary, RECEIVING, 5000, number / 1000 + 0.0005
            )
            assert port.budget.admit(ordinary, 5000, number / 1000 + 0.0006)
            assert port.budget.update(ordinary, SENDING, 100, number / 1000)
            port.budget.close(ordinary)
        assert all(name.startswith("crowd") for name in port.given_up)

    # A crowd of small requests that stop short holds few bytes for long.
    def test_old_small_requests_give_way_to_new_connections(self) -> None:
        port = _Port(max_connections=50)
        for number in range(100):
            port.receive(f"crowd-{number}", 100, float(number))
        port.receive("ordinary", 4000, 100.0)
        assert port.given_up == [f"crowd-{number}" for number in range(51)]


class TestIdleConnections:

    def test_longest_idle_gives_way_first(self) -> None:
        port = _Port(max_connections=3)
        receiving = port.receive("receiving", 100_000, 0.0)
        port.open("idle-1", 1.0)
        port.open("idle-2", 2.0)
        port.open("new", 3.0)
        assert port.given_up == ["idle-1"]
        assert port.reasons == [budgets.Reason.IDLE]
        assert port.budget.update(receiving, RECEIVING, 100_000, 3.0)

    def test_no_bytes_are_freed_by_closing_them(self) -> None:
        port = _Port()
        port.open("idle", 0.0)
        port.receive("large", 900_000, 10.0)
        port.receive("next", 200_000, 11.0)
        assert port.given_up == ["large"]


class TestRequestsBeingHandled:

    # They may have an effect, so that no refusal would be true.
    def test_they_never_give_way(self) -> None:
        port = _Port(max_connections=4)
        for number in range(4):
            holding = port.open(f"handled-{number}", 0.0)
            assert port.budget.admit(holding, 60_000, 0.0)
        assert port.budget.open(lambda: None, 100.0) is None
        assert not port.given_up
        assert port.reasons == [budgets.Reason.CONNECTIONS]

    # Replays complete large requests that wait for a leader.
    def test_large_ones_leave_room_for_small_ones(self) -> None:
        port = _Port()
        admitted = 0
        for number in range(20):
            holding = port.receive(f"large-{number}", 100_000, 0.0)
            admitted += port.budget.admit(holding, 100_000, 0.0)
        assert 0 < admitted < 20
        assert port.budget.handled_size <= MAX_BYTES * budgets.LARGE_SHARE
        small = port.receive("small", 5000, 1.0)
        assert port.budget.admit(small, 5000, 1.0)
        assert port.budget.size <= MAX_BYTES

    # Each further request would have made all that are received give way.
    def test_small_ones_are_received_beside_them(self) -> None:
        port = _Port()
        for number in range(16):
            holding = port.open(f"handled-{number}", 0.0)
            assert port.budget.admit(holding, 20_000, 0.0)
        crowd = port.receive("crowd", 30_000, 1.0)
        small = port.receive("small", 4000, 2.0)
        port.receive("next", 10_000, 2.1)
        assert port.given_up == ["crowd"]
        assert not port.budget.update(crowd, RECEIVING, 30_000, 2.1)
        assert port.budget.update(small, RECEIVING, 4000, 2.1)

    # Otherwise no configuration of 4 MiB would be taken with little memory.
    def test_one_of_any_size_is_handled_alone(self) -> None:
        port = _Port()
        holding = port.receive("large", 600_000, 0.0)
        assert port.budget.admit(holding, 600_000, 1.0)
        other = port.receive("small", 5000, 1.0)
        assert not port.budget.admit(other, 5000, 1.0)


class TestLimits:

    def test_descriptors_are_left_for_other_uses(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        limits = limits_module.Limits.from_memory(10_000)
        monkeypatch.setattr(resource, "getrlimit", lambda _: (256, 256))
        assert limits.connections() == 128
        assert limits.for_probes().connections() == 16
        monkeypatch.setattr(resource, "getrlimit", lambda _: (-1, -1))
        assert limits.connections() == 2048

    # The smallest machine in force, and one request as large as any may be.
    def test_largest_single_requests_are_within_the_defaults(self) -> None:
        port = budgets.Budget(limits_module.Limits.from_memory(160))
        holding = port.open(lambda: None, 0.0)
        assert holding is not None
        for size in (256 * 1024, 4 * 1024 * 1024):
            assert port.update(holding, RECEIVING, size, 3.0)
            assert port.admit(holding, size, 3.0)


class _Machine(stateful.RuleBasedStateMachine):
    """Random series of what connections do, against a plain account."""

    def __init__(self) -> None:
        super().__init__()
        self.port = _Port(max_connections=5)
        self.now = 0.0
        self.all: dict[str, budgets.Holding] = {}

    def _any(self, data: strategies.DataObject) -> budgets.Holding | None:
        if not self.all:
            return None
        return self.all[data.draw(strategies.sampled_from(sorted(self.all)))]

    @stateful.rule(seconds=strategies.floats(0, 2))
    def open(self, seconds: float) -> None:
        """Open a connection a little later."""
        self.now += seconds
        name = f"c{len(self.all)}"
        holding = self.port.budget.open(
            lambda: self.port.given_up.append(name), self.now
        )
        if holding is not None:
            self.all[name] = holding

    @stateful.rule(
        data=strategies.data(),
        activity=strategies.sampled_from([IDLE, RECEIVING, SENDING]),
        size=strategies.integers(0, MAX_BYTES // 2),
    )
    def update(
        self,
        data: strategies.DataObject,
        activity: budgets.Activity,
        size: int,
    ) -> None:
        """Let a connection do something else."""
        holding = self._any(data)
        if holding is not None:
            self.port.budget.update(holding, activity, size, self.now)

    @stateful.rule(
        data=strategies.data(), size=strategies.integers(0, MAX_BYTES // 3)
    )
    def admit(self, data: strategies.DataObject, size: int) -> None:
        """Let a connection have its request handled."""
        holding = self._any(data)
        if holding is not None:
            self.port.budget.admit(holding, size, self.now)

    @stateful.rule(data=strategies.data())
    def close(self, data: strategies.DataObject) -> None:
        """Close a connection."""
        holding = self._any(data)
        if holding is not None:
            self.port.budget.close(holding)

    @stateful.invariant()
    def account_is_right(self) -> None:
        """Check the sums and the limits."""
        budget = self.port.budget
        assert budget.size == sum(each.size for each in budget.holdings)
        assert budget.handled_size == sum(
            each.size for each in budget.holdings if each.activity == HANDLING
        )
        assert len(budget.holdings) <= 5
        assert budget.size <= MAX_BYTES
        assert len(self.port.given_up) == len(set(self.port.given_up))


TestRandomSeries = _Machine.TestCase
TestRandomSeries.settings = hypothesis.settings(
    max_examples=60, deadline=None, derandomize=True
)
