"""Check of the membership with many random histories of losses.

python -m turmerichall.benchmarks.losses --seeds 10000
"""

import collections
import multiprocessing
import time

import fire
import tabulate

from turmerichall.agreement.tests import losses_run

__all__ = ["main"]


def main(
    seeds: int = 10000,
    first: int = 1000,
    processes: int = 2,
    limit_seconds: float = float("inf"),
) -> None:
    """Run the histories and print violations and a table of times.

    The times are the seconds from the moment from which `catch_up_s` counts
    until the next losses were borne, by the number of losses borne and the
    kind of fault.  The exit status is 1 if there are violations.

    Args:
        seeds: Number of histories.
        first: The first seed; seeds below 1000 are reserved for the tests.
        processes: Number of histories to run concurrently.
        limit_seconds: Time after which no further result is waited for.
    """
    started = time.monotonic()
    times: dict[tuple[int, str], list[float]] = collections.defaultdict(list)
    count = faults = faulty = 0
    with multiprocessing.Pool(processes) as pool:
        work = range(first, first + seeds)
        for report in pool.imap(losses_run.run, work):
            count += 1
            faults += len(report.faults)
            for kind, seconds in report.borne_after:
                times[1 + report.seed % 2, kind].append(seconds)
            if report.findings:
                faulty += 1
                print(f"seed {report.seed}: {report.faults} {report.findings}")
            if time.monotonic() - started > limit_seconds:
                break
        pool.terminate()
    rows = []
    for (borne, kind), values in sorted(times.items()):
        values.sort()
        median, high = (values[int(len(values) * q)] for q in (0.5, 0.99))
        rows.append((borne, kind, len(values), median, high, values[-1]))
    headers = ("borne", "fault", "count", "median s", "p99 s", "max s")
    print(tabulate.tabulate(rows, headers, floatfmt=".2f"))
    print(
        f"{count} seeds from {first}, {faults} faults, {faulty} with findings,"
        f" {time.monotonic() - started:.0f} s"
    )
    if faulty:
        raise SystemExit(1)


if __name__ == "__main__":
    fire.Fire(main)
