"""Comparison of placement policies in scenarios: `make bench-placement`.

Examples of use:

    python -m turmerichall.benchmarks.placement
    python -m turmerichall.benchmarks.placement --fleet=ikengwu --seeds=7
"""

import gc
from collections.abc import Callable, Sequence

import fire
import tabulate

from turmerichall.benchmarks import placement_result as results
from turmerichall.benchmarks import placement_run as runs
from turmerichall.benchmarks import placement_scenarios as scenarios
from turmerichall.placement import interference
from turmerichall.placement import planner as planners
from turmerichall.placement import policy as policies
from turmerichall.placement import weights as policy_weights

__all__ = ["compare", "main", "run_one"]

TUNING_SEEDS = (1, 2)
FINAL_SEEDS = (401, 402, 403)
ESTIMATORS: dict[str, Callable[[], interference.Estimator]] = {
    "none": interference.NoEstimator,
    "template": interference.TemplateEstimator,
    "pair": interference.PairEstimator,
}
_FLEET_WEIGHTS = {
    "ikengwu": policy_weights.THROUGHPUT,
    "blue_mountain": policy_weights.TAIL_LATENCY,
    "small": policy_weights.BALANCED,
    "large": policy_weights.BALANCED,
}


def run_one(
    scenario_name: str,
    fleet: str,
    policy_name: str,
    seed: int,
    weights: policy_weights.Weights | None = None,
    estimator: str = "",
) -> results.RunMetrics:
    """Simulate one policy in one scenario and return its metrics.

    Args:
        scenario_name: Name of the scenario.
        fleet: Name of the fleet.
        policy_name: Name of the policy.
        seed: Seed of the random numbers of the scenario and the simulation.
        weights: Weights of the policy; None for those of the fleet.
        estimator: Name of the estimator of interference of the current policy,
            one of `ESTIMATORS`; empty for its default.  Other policies have
            none.
    """
    scenario = scenarios.make(scenario_name, fleet, seed)
    weights = weights or _FLEET_WEIGHTS[fleet]
    chosen_estimator = ESTIMATORS[estimator]() if estimator else None
    policy = policies.named(policy_name, weights, chosen_estimator)
    planner = planners.Planner(weights, policy)
    return runs.Simulation(scenario, planner, seed).run()


def compare(
    scenario_name: str,
    fleet: str,
    seeds: Sequence[int],
    policy_names: Sequence[str],
    weights: policy_weights.Weights | None = None,
    estimator: str = "",
) -> list[list[object]]:
    """Simulate policies in a scenario.

    Returns:
        A table row for each policy, with its metrics averaged over the seeds.
    """
    rows: list[list[object]] = []
    for policy_name in policy_names:
        metric_rows = []
        for seed in seeds:
            metrics = run_one(
                scenario_name, fleet, policy_name, seed, weights, estimator
            )
            metric_rows.append(metrics.row())
            gc.collect()
        means = [sum(column) / len(seeds) for column in zip(*metric_rows)]
        rows.append([scenario_name, policy_name, *means])
    return rows


def main(
    fleet: str = "",
    scenario: str = "",
    policy: str = "",
    seeds: int | tuple[int, ...] = FINAL_SEEDS,
    weights: str = "",
    estimator: str = "",
) -> None:
    """Compare placement policies and print one table for each fleet.

    Args:
        fleet: Name of a fleet; the small ikengwu and blue_mountain if empty.
        scenario: Name of a scenario; all scenarios if empty.
        policy: Name of a policy; all policies if empty.
        seeds: Seeds over which metrics are averaged.
        weights: Name of a set of weights; that of each fleet if empty.
        estimator: Name of the estimator of interference of the current policy;
            its default if empty.
    """
    chosen_seeds = (seeds,) if isinstance(seeds, int) else tuple(seeds)
    fleets = (fleet,) if fleet else ("ikengwu", "blue_mountain")
    names = (scenario,) if scenario else scenarios.NAMES
    policy_names = (policy,) if policy else policies.NAMES
    chosen_weights = policy_weights.named(weights) if weights else None
    for fleet_name in fleets:
        rows: list[list[object]] = []
        for name in names:
            rows += compare(
                name,
                fleet_name,
                chosen_seeds,
                policy_names,
                chosen_weights,
                estimator,
            )
        print(f"fleet {fleet_name}, seeds {chosen_seeds}")
        headers = ("scenario", "policy", *results.COLUMNS)
        print(
            tabulate.tabulate(rows, headers, tablefmt="github", floatfmt=".4g")
        )
        print(flush=True)


if __name__ == "__main__":
    fire.Fire(main)
