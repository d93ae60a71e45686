"""Fixtures of the tests of evacuations."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
