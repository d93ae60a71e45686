"""Fixtures of the tests of cancellations of unknown jobs."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
