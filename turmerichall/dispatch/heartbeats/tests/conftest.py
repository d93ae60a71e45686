"""Fixtures of the tests of heartbeats."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
