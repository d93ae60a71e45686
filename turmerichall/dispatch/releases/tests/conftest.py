"""Fixtures of the tests of releases side by side."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
