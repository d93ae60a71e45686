"""Tests that a bad settings file is told of whole, and starts nothing."""

import pathlib
import subprocess
import sys

import pytest

BAD = """\
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
PLACES = (
    "2 [instance] name: expected a name",
    "6 [listen] callers: expected IP address and port",
    "10 [peers] bootstrap: expected true or false",
    "12 [keys] cluster: expected at least 16",
    "16 [limits] queue_lenght: unknown key; did you mean 'queue_length'?",
)


class TestBadFile:

    @pytest.mark.parametrize(
        "arguments",
        [
            ("turmerichall.cli", "config", "check"),
            ("turmerichall.daemon",),
        ],
        ids=["config check", "daemon"],
    )
    def test_all_findings_and_exit_code(
        self, tmp_path: pathlib.Path, arguments: tuple[str, ...]
    ) -> None:
        file = tmp_path / "d.ini"
        file.write_text(BAD)
        ended = subprocess.run(
            (sys.executable, "-m", *arguments, str(file)),
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        assert ended.returncode == 1
        expected = [f"{file}:{place}" for place in PLACES]
        told = ended.stderr.splitlines()
        assert len(told) == len(expected)
        for line, start in zip(told, expected, strict=True):
            assert line.startswith(start)
        assert "hunter2" not in ended.stdout + ended.stderr
