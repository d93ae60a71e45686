"""Plays upgrades and ways back between two releases, with real processes.

    python -m turmerichall.fuzzing.releases --earlier FOLDER --seed N

FOLDER holds the source of an earlier release, such as a git worktree.  Three
replicas and an entry instance run sound jobs while replicas are replaced by
those of the other release, in random order, gently or not.  Exits with 1 if a
process ends that nobody ended, a job is lost, or a configuration is not
acknowledged.
"""

import argparse
import pathlib
import random
import signal
import sys
import tempfile

import trio

from turmerichall.fuzzing import deployment as deployments
from turmerichall.fuzzing import processes

__all__ = ["ReleaseHistory", "main"]

# Records of what has ended leave soon, so that the later release would write
# what the earlier one can't read.  Operators decide about the level.
SETTINGS = """
[retention]
ended = 5 s

[release]
finalize = manual
"""
# Time between two replacements, in which the replicas catch up.
STEP_SECONDS = (3.0, 9.0)
# Time for which all replicas run the later release at first: longer than
# between two looks of a leader at what may leave the state.
HOLD_SECONDS = 35.0
KILL_SHARE = 0.3
RESTART_SHARE = 0.2


class ReleaseHistory(processes.Fuzzer):
    """A history of replacements, beside sound jobs and configurations.

    Attributes:
        earlier: Folder of the earlier release.
        steps: What was done.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        rng: random.Random,
        earlier: pathlib.Path,
    ):
        super().__init__(deployment, rng)
        self.earlier = earlier
        self.steps: list[str] = []
        for program in deployment.programs:
            program.tree = earlier

    async def _attack(self, worker_address: str) -> None:
        """Replace replicas, one after the other."""
        rng = self.rng
        first = True
        while True:
            order = list(self.deployment.replicas)
            rng.shuffle(order)
            upgrade = first or rng.random() < 0.6
            for program in order[: 3 if first else rng.choice((1, 2, 3, 3))]:
                await trio.sleep(rng.uniform(*STEP_SECONDS))
                kill = rng.random() < KILL_SHARE
                number = signal.Signals["SIGKILL" if kill else "SIGTERM"]
                later = upgrade
                if not first and rng.random() < RESTART_SHARE:
                    later = program.tree is None
                self.steps.append(
                    f"{program.name} {'later' if later else 'earlier'}"
                    f" {number.name}"
                )
                if later:
                    program.replace(None, SETTINGS, number)
                else:
                    program.replace(self.earlier, "", number)
            if first:
                first = False
                await trio.sleep(HOLD_SECONDS)

    async def _check(self) -> None:
        """See `Fuzzer`; a job that is not known any more must have run."""
        await super()._check()
        done = {
            task.job
            for worker in self.workers
            for life in worker.lives
            for task in life.done_at
        }
        self.faults = [
            fault
            for fault in self.faults
            if not (
                fault.startswith("job ")
                and ": 410" in fault
                and fault.split()[1].rstrip(":") in done
            )
        ]


async def _run(
    seed: int, seconds: float, earlier: pathlib.Path, folder: pathlib.Path
) -> int:
    rng = random.Random(seed)
    network = f"127.{20 + seed % 200}.{201 + seed // 200 % 50}"
    deployment = deployments.Deployment(folder, network)
    history = ReleaseHistory(deployment, rng, earlier)
    await history.run(seconds)
    print(f"seed {seed}: {len(history.accepted)} jobs, {history.steps}")
    for end in deployment.ends:
        print(f"{end.name} ended with {end.status} at {end.at_seconds:.1f} s")
        for line in end.lines[-4:]:
            print(f"    {line}")
    for fault in history.faults:
        print(f"fault: {fault}")
    return 1 if deployment.ends or history.faults else 0


def main() -> None:
    """Run the program with the arguments of the command line."""
    parser = argparse.ArgumentParser(
        description=(__doc__ or "").splitlines()[0]
    )
    parser.add_argument("--earlier", type=pathlib.Path, required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=120.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="releases-") as folder:
        status = trio.run(
            _run,
            arguments.seed,
            arguments.seconds,
            arguments.earlier.resolve(),
            pathlib.Path(folder),
        )
    sys.exit(status)


if __name__ == "__main__":
    main()
