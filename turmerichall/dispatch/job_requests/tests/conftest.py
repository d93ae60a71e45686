"""Fixtures of the tests of requests about jobs."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
