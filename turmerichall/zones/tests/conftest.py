"""Fixtures of the tests of the zones."""

import pytest
import trio
import trio.testing

from turmerichall.zones.tests import scheduled_zone


@pytest.fixture(name="zone")
async def _running_zone(
    nursery: trio.Nursery, autojump_clock: trio.testing.MockClock
) -> scheduled_zone.Zone:
    del autojump_clock
    created = scheduled_zone.make_zone(*scheduled_zone.machine_with_customer())
    nursery.start_soon(created.holder.run)
    nursery.start_soon(created.scheduler.run)
    await created.settle()
    return created
