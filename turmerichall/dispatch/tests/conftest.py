"""Makes the mocked clocks known to the tests here."""

from turmerichall.dispatch.tests import clocks

mocked_clocks = clocks.mocked_clocks
