"""Fixtures of the tests of the dispatcher."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
