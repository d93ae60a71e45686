"""Fixtures of the tests of entry instances."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
