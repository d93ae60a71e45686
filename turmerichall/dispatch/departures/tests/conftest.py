"""Fixtures of the tests of departures."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
