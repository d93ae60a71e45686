"""Tests of the list of known failures and of skipping them."""

import pathlib
import shutil

import pytest

from turmerichall import conftest
from turmerichall import errors
from turmerichall.tests import known_red

pytest_plugins = ["pytester"]

TEST_MODULE = """
def test_red():
    assert False

def test_other():
    assert {other}
"""
KNOWN_RED = """
[test_made.py::test_red]
command = pytest test_made.py
seed = none
seen = it fails
issue = 7
"""


class TestParse:
    """A malformed list is rejected instead of being read as empty."""

    def test_reports_every_missing_field(self) -> None:
        with pytest.raises(errors.InputError) as raised:
            known_red.parse("[a::b]\nseed = 1\n[c::d]\nseen = x\n")
        assert str(raised.value).count("is missing") == 6

    def test_rejects_malformed_list(self) -> None:
        with pytest.raises(errors.InputError, match="KNOWN-RED.txt"):
            known_red.parse("test_one fails now and then")


class TestSkipping:
    """Only listed tests are skipped, unless `--known-red` is given."""

    @pytest.mark.parametrize(
        "other, options, outcomes",
        [
            (True, (), {"skipped": 1, "passed": 1}),
            (False, (), {"skipped": 1, "failed": 1}),
            (True, ("--known-red",), {"failed": 1, "passed": 1}),
        ],
    )
    def test_outcomes(
        self,
        pytester: pytest.Pytester,
        other: bool,
        options: tuple[str, ...],
        outcomes: dict[str, int],
    ) -> None:
        pytester.makepyfile(test_made=TEST_MODULE.format(other=other))
        pathlib.Path(pytester.path, conftest.KNOWN_RED_FILE).write_text(
            KNOWN_RED, "utf-8"
        )
        shutil.copy(conftest.__file__, pytester.path / "conftest.py")
        result = pytester.runpytest_inprocess(*options)
        result.assert_outcomes(**outcomes)
        result.stdout.fnmatch_lines(["known red: test_made.py::test_red: *"])
