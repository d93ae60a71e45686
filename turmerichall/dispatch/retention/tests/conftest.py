"""Fixtures of the tests of retention."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
