"""Tests of all fault scenarios against real processes."""

import pathlib

import pytest
import trio

from turmerichall.tests import harness as harnesses
from turmerichall.tests import scenarios


class TestScenarios:
    """Scenarios of each group in sequence on one cluster, each audited."""

    @pytest.mark.parametrize("group", scenarios.GROUPS)
    async def test_nothing_is_violated(
        self, group: str, tmp_path: pathlib.Path
    ) -> None:
        async with trio.open_nursery() as nursery:
            harness = harnesses.Harness(tmp_path, nursery)
            try:
                await harness.start()
                for scenario in scenarios.SCENARIOS:
                    if scenario.group == group:
                        await scenario.run(harness)
                        harness.heal()
                        found = await harness.audit()
                        assert not found, (scenario.name, found)
            finally:
                harness.kill_all()
                nursery.cancel_scope.cancel()
