"""Soak test: random scenarios for a given time, each followed by an audit.

python -m turmerichall.tests.soak --seed 7 --minutes 30
"""

import pathlib
import random
import sys
import tempfile
import time

import fire
import trio

from turmerichall.tests import harness as harnesses
from turmerichall.tests import scenarios

__all__ = ["main"]


async def soak(folder: pathlib.Path, seed: int, minutes: float) -> int:
    """Run scenarios until time is up or one fails; count its violations."""
    generator = random.Random(seed)
    deadline = time.monotonic() + minutes * 60.0
    violations = 0
    async with trio.open_nursery() as nursery:
        harness = harnesses.Harness(folder, nursery, seed)
        try:
            await harness.start()
            while time.monotonic() < deadline and not violations:
                scenario = generator.choice(scenarios.SCENARIOS)
                started = time.monotonic()
                await scenario.run(harness)
                harness.heal()
                found = await harness.audit()
                elapsed = time.monotonic() - started
                print(f"{scenario.name}: {elapsed:.0f} s, {found or 'clean'}")
                violations += len(found)
        finally:
            harness.kill_all()
            nursery.cancel_scope.cancel()
    return violations


def main(seed: int = 1, minutes: float = 10.0) -> None:
    """Run a soak test; its trails and logs stay in the printed folder.

    Args:
        seed: Seed of the order of scenarios and of the cluster's choices.
        minutes: Time after which no further scenario is started.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="turmerichall-soak-"))
    print(f"seed {seed}, trails and logs in {folder}")
    violations = trio.run(soak, folder, seed, minutes)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
