"""Check of the agreement protocol with many random histories of faults.

python -m turmerichall.benchmarks.history --seeds 100
"""

import multiprocessing
import time

import fire

from turmerichall.agreement.tests import history_run

__all__ = ["main"]


def _run(arguments: tuple[int, int, bool]) -> history_run.Report:
    seed, steps, disks_recover = arguments
    return history_run.run(seed, steps, disks_recover)


def main(
    seeds: int = 100,
    steps: int = 500,
    first: int = 1000,
    processes: int = 4,
    disks_recover: bool = False,
) -> None:
    """Run the histories and print violations of the protocol and totals.

    The exit status is 1 if there are violations.

    Args:
        seeds: Number of histories.
        steps: Number of operations and faults in each history.
        first: The first seed; seeds below 1000 are reserved for the tests.
        processes: Number of histories to run concurrently.
        disks_recover: Whether disks that fail work again after a while.
    """
    started = time.monotonic()
    work = [(first + number, steps, disks_recover) for number in range(seeds)]
    with multiprocessing.Pool(processes) as pool:
        reports = pool.map(_run, work, chunksize=1)
    faulty = [report for report in reports if report.findings]
    for report in faulty:
        print(f"seed {report.seed}: {report.findings[:5]}")
    calls = sum(report.calls for report in reports)
    attempts = sum(report.attempts for report in reports)
    faults = sum(report.faults for report in reports)
    seconds = time.monotonic() - started
    print(
        f"{seeds} seeds from {first}, {seeds * steps} steps, {calls} calls,"
        f" {attempts} attempts, {faults} faults, {len(faulty)} with findings,"
        f" {seconds:.0f} s"
    )
    if faulty:
        raise SystemExit(1)


if __name__ == "__main__":
    fire.Fire(main)
