"""Fixtures of the tests of admission control."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
