"""A short soak with real processes; see docs/SOAK.md for long ones."""

import os
import pathlib
import random

import trio

from turmerichall.fuzzing import deployment as deployments
from turmerichall.queue_soak import plan as plans
from turmerichall.queue_soak import soak as soaks

SEED = 1
SECONDS = 12.0
WORKERS = 4
ENTRIES = 2
LIMIT_SECONDS = 150.0


class TestSoak:

    # Tasks ran twice, and canceled jobs ran, on the release before.
    async def test_no_promise_is_broken(self, tmp_path: pathlib.Path) -> None:
        # Test runs beside this one have other addresses.
        number = os.getpid()
        network = f"127.{20 + number % 200}.{1 + number // 200 % 90}"
        deployment = deployments.Deployment(tmp_path, network, ENTRIES)
        soak = soaks.Soak(deployment, WORKERS, random.Random(SEED))
        faults = plans.draw(
            SEED, SECONDS, len(deployment.replicas), ENTRIES, WORKERS
        )
        assert len({fault.kind for fault in faults}) >= 3
        with trio.fail_after(LIMIT_SECONDS):
            await soak.run(faults, SECONDS)
        assert not soak.broken
        assert sum(call.accepted for call in soak.calls.values()) > 10
