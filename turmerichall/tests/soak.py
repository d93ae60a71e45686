"""Runs scenarios in a random order for a given time, and audits each.

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
    """Runs scenarios and returns how many violations were found."""
    chosen = random.Random(seed)
    until = time.monotonic() + minutes * 60.0
    violations = 0
    async with trio.open_nursery() as nursery:
        harness = harnesses.Harness(folder, nursery, seed)
        try:
            await harness.start()
            while time.monotonic() < until and not violations:
                scenario = chosen.choice(scenarios.SCENARIOS)
                started = time.monotonic()
                await scenario.run(harness)
                harness.heal()
                found = await harness.audit()
                took = time.monotonic() - started
                print(f"{scenario.name}: {took:.0f} s, {found or 'clean'}")
                violations += len(found)
        finally:
            harness.kill_all()
            nursery.cancel_scope.cancel()
    return violations


def main(seed: int = 1, minutes: float = 10.0) -> None:
    """Runs a soak; its trails and logs stay in the folder that it prints.

    Args:
        seed: Seeds the order of the scenarios.
        minutes: How long to go on starting scenarios.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="turmerichall-soak-"))
    print(f"seed {seed}, trails and logs in {folder}")
    violations = trio.run(soak, folder, seed, minutes)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
