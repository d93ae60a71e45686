"""The list of tests that fail because of a known, unfixed fault.

KNOWN-RED.txt at the root of the repository has one section per test, named by
the test's id:

    [turmerichall/agreement/tests/test_failures.py::TestCuts::test_one]
    command = pytest turmerichall/agreement/tests/test_failures.py -k one
    seed = 4
    seen = a partitioned replica answered a stale read
    issue = 7

`pytest` skips only these tests and prints them; `--known-red` runs them too.
"""

import configparser
from typing import NamedTuple

from turmerichall import errors

__all__ = ["Entry", "FIELDS", "parse"]

FIELDS = ("command", "seed", "seen", "issue")


class Entry(NamedTuple):
    """A test that is known to fail.

    Attributes:
        test: Id of the test, as pytest prints it.
        command: Command that reproduces the failure.
        seed: Seed with which the test fails, or "none".
        seen: Observed failure.
        issue: Number of the issue for the fault.
    """

    test: str
    command: str
    seed: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.seen} (seed {self.seed}, #{self.issue})"


def parse(text: str) -> list[Entry]:
    """Parse the content of KNOWN-RED.txt.

    Args:
        text: Content of the file.

    Returns:
        One entry for each test.

    Raises:
        errors.InputError: The text is malformed or entries lack fields; all
            missing fields are reported together.

    Examples:
        >>> print(*parse('''
        ... [a/test_b.py::TestC::test_d]
        ... command = pytest a/test_b.py
        ... seed = 4
        ... seen = it waited for ever
        ... issue = 7
        ... '''))
        a/test_b.py::TestC::test_d: it waited for ever (seed 4, #7)
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, "KNOWN-RED.txt")
    except configparser.Error as error:
        finding = errors.Finding("KNOWN-RED.txt", str(error))
        raise errors.InputError([finding]) from error
    findings = _missing(parser)
    if findings:
        raise errors.InputError(findings)
    return [
        Entry(test, *(parser[test][field] for field in FIELDS))
        for test in parser.sections()
    ]


def _missing(parser: configparser.ConfigParser) -> list[errors.Finding]:
    return [
        errors.Finding(f"KNOWN-RED.txt [{test}] {field}", "is missing")
        for test in parser.sections()
        for field in FIELDS
        if not parser[test].get(field)
    ]
