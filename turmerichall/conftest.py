"""Skips the tests listed in KNOWN-RED.txt, and starts slow tests first."""

import pathlib

import pytest

from turmerichall import errors
from turmerichall.tests import known_red

OPTION = "--known-red"
KNOWN_RED_FILE = "KNOWN-RED.txt"
# Name of a test file whose tests take minutes.  They are started first, so that
# they run in parallel with all others.
SLOW_TEST_FILE = "test_scenarios.py"


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that also runs the tests listed in KNOWN-RED.txt."""
    parser.addoption(
        OPTION,
        action="store_true",
        help=f"also run the tests in {KNOWN_RED_FILE}",
    )


def _entries(config: pytest.Config) -> list[known_red.Entry]:
    path = pathlib.Path(config.rootpath, KNOWN_RED_FILE)
    if not path.exists():
        return []
    try:
        return known_red.parse(path.read_text("utf-8"))
    except errors.InputError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Put slow tests first, and skip the tests listed in KNOWN-RED.txt."""
    items.sort(key=lambda item: SLOW_TEST_FILE not in item.nodeid)
    if config.getoption(OPTION):
        return
    entries = {entry.test: entry for entry in _entries(config)}
    for item in items:
        if item.nodeid in entries:
            item.add_marker(pytest.mark.skip(reason=str(entries[item.nodeid])))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print every test listed in KNOWN-RED.txt, so that none is forgotten."""
    for entry in _entries(config):
        terminalreporter.write_line(f"known red: {entry}")
