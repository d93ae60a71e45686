"""Runs one soak and prints its plan and what was found."""

import argparse
import pathlib
import random
import sys
import tempfile

import trio

from turmerichall.fuzzing import deployment as deployments
from turmerichall.queue_soak import plan as plans
from turmerichall.queue_soak import soak as soaks

ENTRIES = 2


async def _run(
    seed: int,
    seconds: float,
    workers: int,
    tree: pathlib.Path | None,
    folder: pathlib.Path,
) -> int:
    network = f"127.{20 + seed % 200}.{101 + seed // 200 % 99}"
    deployment = deployments.Deployment(folder, network, ENTRIES)
    for program in deployment.programs:
        program.tree = tree
    soak = soaks.Soak(deployment, workers, random.Random(seed))
    faults = plans.draw(
        seed, seconds, len(deployment.replicas), ENTRIES, workers
    )
    await soak.run(faults, seconds)
    accepted = sum(call.accepted for call in soak.calls.values())
    canceled = sum(call.canceled_at is not None for call in soak.calls.values())
    lives = sum(len(each.worker.lives) for each in soak.workers)
    print(
        f"seed {seed}: {len(faults)} faults, {len(soak.calls)} jobs,"
        f" {accepted} accepted, {canceled} canceled, {lives} lives of workers,"
        f" {len(soak.broken)} broken"
    )
    if soak.broken:
        for fault in faults:
            print(
                f"  {fault.at:6.1f} {fault.kind} {fault.target}"
                f" {fault.seconds:.2f} s"
            )
    for each in soak.broken[:20]:
        print(f"broken: {each}")
    return 1 if soak.broken else 0


def main() -> None:
    """Run the program with the arguments of the command line."""
    parser = argparse.ArgumentParser(
        description=(__doc__ or "").splitlines()[0]
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument(
        "--tree",
        type=pathlib.Path,
        help="source of the processes, such as a git worktree",
    )
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        status = trio.run(
            _run,
            arguments.seed,
            arguments.minutes * 60,
            arguments.workers,
            arguments.tree.resolve() if arguments.tree else None,
            pathlib.Path(folder),
        )
    sys.exit(status)


if __name__ == "__main__":
    main()
