"""Fixtures of the tests of careful colocation."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
