"""Tests that all errors of a settings file are reported and nothing starts."""

import pathlib
import subprocess
import sys

import pytest

INVALID_SETTINGS = """\
[instance]
name = a/b
region = r
zone = z
[listen]
callers = 10.0.0.1
operators = 10.0.0.1:8401
peers = 10.0.0.1:8402
[peers]
bootstrap = perhaps
[keys]
cluster = hunter2
operators = hunter2-hunter2-hunter2
workers = workers-key-of-tests
[limits]
queue_lenght = 5
"""
EXPECTED_FINDINGS = (
    "2 [instance] name: expected a name",
    "6 [listen] callers: expected IP address and port",
    "10 [peers] bootstrap: expected true or false",
    "12 [keys] cluster: expected at least 16",
    "16 [limits] queue_lenght: unknown key; did you mean 'queue_length'?",
)


class TestInvalidSettings:

    @pytest.mark.parametrize(
        "arguments",
        [
            ("turmerichall.cli", "config", "check"),
            ("turmerichall.daemon",),
        ],
        ids=["config check", "daemon"],
    )
    def test_reports_all_findings_and_exit_code(
        self, tmp_path: pathlib.Path, arguments: tuple[str, ...]
    ) -> None:
        file = tmp_path / "d.ini"
        file.write_text(INVALID_SETTINGS)
        process = subprocess.run(
            (sys.executable, "-m", *arguments, str(file)),
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert process.returncode == 1
        expected = [f"{file}:{finding}" for finding in EXPECTED_FINDINGS]
        reported = process.stderr.splitlines()
        assert len(reported) == len(expected)
        for line, start in zip(reported, expected, strict=True):
            assert line.startswith(start)
        assert "hunter2" not in process.stdout + process.stderr
