"""Fixtures of the tests of the platform's formats."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
