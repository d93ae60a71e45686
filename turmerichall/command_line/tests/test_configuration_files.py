"""Tests of `turmerichall configuration check`."""

from collections.abc import Callable, Iterator
import http.server
import json
import os
import pathlib
import threading
from typing import Any

import pytest

from turmerichall import cli

DOCUMENT: dict[str, Any] = {
    "version": 8,
    "routes": [{"host": "a", "path_prefix": "/a/", "service": "desk"}],
    "services": [{"name": "desk"}],
    "limits": {"idle_timeout_ms": 500},
}
OLD = {**DOCUMENT, "version": 7, "limits": {}}
Serve = Callable[[int, bytes], str]


def _check(*arguments: str) -> int:
    return int(cli.run(["configuration", "check", *arguments]))


@pytest.fixture(name="file")
def _file(tmp_path: pathlib.Path) -> pathlib.Path:
    file = tmp_path / "c.json"
    file.write_text(json.dumps(DOCUMENT))
    return file


@pytest.fixture(name="serve")
def _serve() -> Iterator[Serve]:
    """Return a function that starts a control port with one answer."""
    servers = []

    def start(status: int, body: bytes) -> str:
        class Handler(http.server.BaseHTTPRequestHandler):
            """Answers a read of the configuration."""

            def do_GET(self) -> None:  # pylint: disable=invalid-name
                """Send the answer, unless a key or another path is sent."""
                is_read = self.path == "/v1/config/read"
                is_valid = is_read and "Authorization" not in self.headers
                self.send_response(status if is_valid else 400)
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                """Print nothing."""

        server = http.server.HTTPServer(("127.0.0.1", 0), Handler)
        servers.append(server)
        threading.Thread(target=server.serve_forever, args=(0.01,)).start()
        return f"127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.shutdown()
        server.server_close()


class TestFiles:

    def test_findings_as_table_and_json(
        self, file: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _check(str(file)) == 0
        assert "no findings" in capsys.readouterr().out
        file.write_text(json.dumps({**DOCUMENT, "routes": []}))
        assert _check(str(file), "--format", "json") == 1
        found = json.loads(capsys.readouterr().out)["findings"]
        assert found[0]["severity"] == "warning"
        file.write_text(
            json.dumps({**DOCUMENT, "services": [], "version": 0.5})
        )
        assert _check(str(file), "--against", "/nothing") == 1
        shown = capsys.readouterr().out
        for words in ("routes[0].service", "whole number", "not compared"):
            assert words in shown

    @pytest.mark.parametrize(
        ("body", "reason"),
        [
            (None, "can't be read: No such file"),
            (b"{\xff}", "isn't UTF-8: byte 1"),
            (b"[]", "isn't a JSON object"),
            (b"", "isn't a JSON object"),
            (b"[" * 100_000, "isn't a JSON object"),
            (b"{}" + b" " * (4 * 1024 * 1024 - 2), "less than 4 MiB"),
        ],
    )
    def test_unreadable_file(
        self,
        file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
        body: bytes | None,
        reason: str,
    ) -> None:
        bad = file.with_name("bad.json")
        if body is not None:
            bad.write_bytes(body)
        assert _check(str(bad)) == 2
        assert _check(str(file), "--against", str(bad)) == 2
        assert capsys.readouterr().err.count(reason) == 2

    def test_unreadable_paths(
        self, file: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _check(str(file.parent)) == 2
        assert _check(os.fsdecode(b"/none\xff\x1b"), "--format", "json") == 2
        assert _check("a\0b") == 2
        assert "Is a directory" in capsys.readouterr().err


class TestAgainst:

    def test_differences_alone_are_no_findings(
        self, file: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        old = file.with_name("old.json")
        old.write_text(json.dumps(OLD))
        arguments = (str(file), "--against", str(old))
        assert _check(*arguments) == 0
        shown = capsys.readouterr().out
        assert "limit idle_timeout_ms  idle_timeout_ms  15000     500" in shown
        assert _check(*arguments, "--format", "json") == 0
        result = json.loads(capsys.readouterr().out)
        assert result["against"]["version"] == 7
        assert result["differences"][0]["key"] == "idle_timeout_ms"
        old.write_text(json.dumps({**OLD, "services": []}))
        assert _check(*arguments) == 2

    def test_first_replica_that_answers_is_compared_with(
        self,
        file: pathlib.Path,
        serve: Serve,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setenv("TURMERICHALL_KEY", "secret")
        good = serve(200, json.dumps(OLD).encode())
        others = f"127.0.0.1:1,{serve(503, b'{}')},{serve(200, b'[]')}"
        monkeypatch.setenv("TURMERICHALL_CONTROL", f"{others},{good}")
        assert _check(str(file), "--against", "current") == 0
        assert f"version 7 of {good}" in capsys.readouterr().out
        file.write_text(json.dumps({**DOCUMENT, "version": 7}))
        assert _check(str(file), "--against", "current") == 1
        assert "would ignore" in capsys.readouterr().out

    @pytest.mark.parametrize(
        ("status", "body", "reason"),
        [
            (503, b"{}", "status 503: it has no configuration"),
            (404, b"{}", "status 404"),
            (200, b"[]", "isn't a JSON object"),
            (200, b"{}", "malformed: version"),
            (200, b" " * 4 * 1024 * 1024, "less than 4 MiB"),
        ],
    )
    def test_no_usable_answer(
        self,
        file: pathlib.Path,
        serve: Serve,
        capsys: pytest.CaptureFixture[str],
        status: int,
        body: bytes,
        reason: str,
    ) -> None:
        control = ("--control", serve(status, body))
        assert _check(str(file), "--against", "current", *control) == 2
        assert reason in capsys.readouterr().err

    @pytest.mark.parametrize(
        ("control", "reason"),
        [
            ((), "give --control"),
            (("--control", "127.0.0.1:1"), "no answer"),
            (("--control", "localhost:1"), "--control: expected"),
        ],
    )
    def test_no_answer(
        self,
        file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
        control: tuple[str, ...],
        reason: str,
    ) -> None:
        assert _check(str(file), "--against", "current", *control) == 2
        assert reason in capsys.readouterr().err
