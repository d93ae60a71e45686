"""Tests that docs/PROOF.md names existing tests and gives verdicts."""

import pathlib
import re
import subprocess
import sys

from turmerichall.tests import scenarios

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / "docs" / "PROOF.md"
VERDICTS = ("proved", "partly", "not proved")
MIN_ROWS = 9 + 13 + 3


def named_tests() -> set[str]:
    """Return the test ids that the page names, relative to the package."""
    text = PAGE.read_text(encoding="utf-8")
    return set(re.findall(r"`([\w/]+\.py::[\w:]+)`", text))


def rows() -> list[list[str]]:
    """Return the cells of each row of the page's tables, without headings."""
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    cells = [
        [cell.strip() for cell in line.strip("|").split(" | ")]
        for line in lines
        if line.startswith("| ")
    ]
    return [row for row in cells if row[0] not in ("Point", "Measure", "---")]


class TestProofPage:
    """The tables of docs/PROOF.md."""

    def test_every_test_that_it_names_exists(self) -> None:
        names = sorted(named_tests())
        files = sorted({name.partition("::")[0] for name in names})
        command = [sys.executable, "-m", "pytest", "--collect-only", "-q"]
        command += ["-o", "addopts=--import-mode=importlib"]
        command += ["-p", "no:cacheprovider"]
        command += [f"turmerichall/{file}" for file in files]
        collected = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, check=False
        )
        found = {
            line.partition("[")[0].removeprefix("turmerichall/")
            for line in collected.stdout.splitlines()
        }
        assert names
        assert set(names) <= found, set(names) - found

    def test_every_row_has_a_verdict(self) -> None:
        assert len(rows()) >= MIN_ROWS
        for row in rows():
            assert row[-1].startswith(VERDICTS), row

    def test_every_scenario_that_it_names_exists(self) -> None:
        known = {scenario.name for scenario in scenarios.SCENARIOS}
        for row in rows():
            for name in re.findall(r"\b[a-z]+(?:_[a-z]+)+\b", row[-2]):
                assert name in known, name
