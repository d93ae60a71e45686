"""Tests of the capacity model and of its tables in docs/CAPACITY.md."""

import pathlib

import pytest

from turmerichall.benchmarks import capacity
from turmerichall.benchmarks import capacity_limits
from turmerichall.benchmarks import capacity_model
from turmerichall.benchmarks import capacity_tables
from turmerichall.benchmarks import slopes

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "CAPACITY.md"


class Costs(dict[str, float]):
    """Slopes of 1e-6, except for those that a test sets."""

    def __missing__(self, key: str) -> float:
        return 1e-6


class TestModel:
    """The arithmetic of the model."""

    def test_log_traffic_follows_starts_and_ends(self) -> None:
        costs = Costs(start_bytes=60.0, end_bytes=40.0)
        entry = capacity_model.Model(costs).entry_instance()
        assert entry.demands[1].traffic == pytest.approx(440 * 100, rel=1e-3)

    def test_authority_pays_for_each_announcement(self) -> None:
        costs = Costs(
            exchange_http=0.001, idle_update_path=0.002, update_path=0.003
        )
        demand = capacity_model.Model(costs).placement_authority().demands[0]
        expected = 79 / 2 * 0.003 + 44 * 0.004
        assert demand.processor == pytest.approx(expected)

    def test_task_reports_and_http_headers_are_counted(self) -> None:
        costs = Costs(exchange_head_bytes=300.0, update_bytes=200.0)
        demand = capacity_model.Model(costs).placement_authority().demands[0]
        reports = 2 * 44 + 890 * 0.35 / 10
        expected = (79 / 2 + 44) * 300 + reports * 200
        assert demand.traffic == pytest.approx(expected, rel=1e-4)

    def test_total_is_the_sum_of_a_role(self) -> None:
        demand = capacity_model.ResourceDemand("a", 0.1, 2.0, 3.0, "b")
        total = capacity_model.Role("r", "s", (demand, demand)).total()
        assert total[1:4] == (0.2, 4.0, 6.0)

    def test_breaking_points_are_ordered_by_size_to_target(self) -> None:
        model = capacity_model.Model(Costs())
        points = capacity_limits.breaking_points(model)
        ratios = [point.size / point.target for point in points]
        assert ratios == sorted(ratios)


class TestPage:
    """The tables of docs/CAPACITY.md."""

    def test_holds_every_table(self) -> None:
        page = PAGE.read_text(encoding="utf-8")
        for role in capacity_model.Model(Costs()).roles():
            assert f"**{role.name}.**" in page
            for demand in role.demands:
                assert f"| {demand.what} |" in page

    def test_replaces_only_text_between_the_markers(self) -> None:
        page = f"before {capacity.BEGIN} old {capacity.END} after"
        updated = capacity.replace_figures(page, "new")
        assert updated.startswith("before ") and updated.endswith(" after")
        assert "new" in updated and "old" not in updated

    def test_exceeded_limit_is_marked(self) -> None:
        demand = capacity_model.ResourceDemand("a", 0.056, 0.0, 0.0, "b")
        role = capacity_model.Role("r", "s", (demand,))
        assert "**over, 2 times**" in capacity_tables.summary_table([role])

    def test_slopes_are_costs_per_call(self) -> None:
        calls: list[int] = []
        slopes.median_processor_seconds(calls.append, 3)
        assert len(calls) == 3 * slopes.ROUNDS
