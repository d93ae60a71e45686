"""Tests of the command line against a fake daemon behind a real listener."""

from collections.abc import Iterator
import functools
import json
import pathlib
import threading
from typing import Any

import httpcore
import pytest
import trio

from turmerichall import cli
from turmerichall import outcomes
from turmerichall.command_line import client
from turmerichall.gateway import request_id
from turmerichall.gateway import server
from turmerichall.operators.tests import fake_daemon
from turmerichall.placement import inspection
from turmerichall.state import change as changes
from turmerichall.telemetry import counters
from turmerichall.zones import epoch_state as epoch_states
from turmerichall.zones import placement_queries

PUBLISH = ("--kind", "batch", "--processors", "1", "--memory-mb", "100")


class Listener:
    """Serves a fake daemon's operators' interface on a port, in a thread.

    Attributes:
        daemon: The fake daemon.
        loses_answers: Whether answers are lost after a request was carried out.
        address: Address on which it listens, `host:port`.
    """

    def __init__(self, daemon: fake_daemon.FakeDaemon):
        self.daemon = daemon
        self.loses_answers = False
        self.address = ""
        self._app = daemon.application(counters.Counters())
        self._listening = threading.Event()
        self._token: trio.lowlevel.TrioToken
        self._stop: trio.Event
        self._thread = threading.Thread(target=trio.run, args=(self._run,))

    def __enter__(self) -> "Listener":
        self._thread.start()
        assert self._listening.wait(30)
        return self

    def __exit__(self, *_: object) -> None:
        trio.from_thread.run_sync(self._stop.set, trio_token=self._token)
        self._thread.join(30)

    async def _run(self) -> None:
        self._stop = trio.Event()
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            serve = functools.partial(
                server.serve, self._serve, "127.0.0.1:0", self._stop, 0.1
            )
            self.address = await nursery.start(serve)
            self._listening.set()

    async def _serve(self, scope: Any, receive: Any, send: Any) -> None:
        async def drop_answer(_: object) -> None:
            await trio.sleep_forever()

        loses_answer = self.loses_answers and scope["type"] == "http"
        await self._app(scope, receive, drop_answer if loses_answer else send)


@pytest.fixture(name="listener")
def _listener(monkeypatch: pytest.MonkeyPatch) -> Iterator[Listener]:
    with Listener(fake_daemon.FakeDaemon()) as listener:
        monkeypatch.setenv("TURMERICHALL_SERVERS", listener.address)
        monkeypatch.setenv("TURMERICHALL_KEY", fake_daemon.KEYS.operators)
        monkeypatch.setattr(client, "ROUND_PAUSE_SECONDS", 0.01)
        yield listener


def _run(*arguments: str) -> int:
    return int(cli.run(list(arguments)))


class TestChanges:

    def test_publish_revise_and_conflict(
        self, listener: Listener, capsys: pytest.CaptureFixture[str]
    ) -> None:
        del listener
        assert _run("template", "publish", "007", *PUBLISH) == 0
        revise = ("template", "revise", "007", "--base-version", "1")
        given = ("--run-seconds", "5", "--operator", "ann")
        assert _run(*revise, *given) == 0
        assert _run(*revise, "--run-seconds", "9") == 3
        assert "version 2 was set by ann" in capsys.readouterr().err
        assert _run("template", "show", "007", "--format", "json") == 0
        item = json.loads(capsys.readouterr().out)["item"]
        assert item["body"]["name"] == "007"
        assert item["body"]["run_seconds"] == 5
        assert item["body"]["size"]["memory_mb"] == 100

    def test_every_command_succeeds(
        self, listener: Listener, capsys: pytest.CaptureFixture[str]
    ) -> None:
        del listener
        customer = ("--team", "t", "--zones", "z1,z2", "--services", "s=2")
        job = ("--customer", "c", "--template", "r", "--job-id", "j1")
        for command in (
            ("template", "publish", "r", *PUBLISH),
            ("customer", "set", "c", *customer),
            ("customer", "set", "c", "--base-version", "1", "--zones", "z3"),
            ("quota", "set", "t", "--processors", "9", "--memory-mb", "99"),
            ("job", "submit", *job, "--deadline", "2 h"),
            ("job", "cancel", "j1"),
            ("backend-server", "drain", "w1"),
            ("instance", "add", "i4", "127.0.0.1:5"),
            ("instance", "remove", "i4"),
            ("template", "list"),
            ("customer", "show", "c"),
            ("quota", "list"),
            ("job", "list", "--state", "cancelled"),
            ("job", "status", "j1"),
            ("placement", "show"),
            ("backend-server", "list"),
            ("zone", "list"),
            ("instance", "list"),
            ("status",),
        ):
            assert _run(*command) == 0, command
        capsys.readouterr()
        assert _run("job", "explain", "j1") == 0
        shown = capsys.readouterr().out
        assert shown.index("accepted") < shown.index("cancelled")

    def test_zone_is_evacuated_listed_and_restored(
        self, listener: Listener, capsys: pytest.CaptureFixture[str]
    ) -> None:
        grant = changes.TakeGrant("z1", "i1", 0, 0)
        listener.daemon.machine.apply(1, changes.encode(grant))
        assert _run("zone", "evacuate", "z1", "--operator", "ann") == 0
        capsys.readouterr()
        assert _run("zone", "list", "--format", "json") == 0
        (item,) = json.loads(capsys.readouterr().out)["items"]
        assert (item["state"], item["set_by"]) == ("evacuated", "ann")
        assert _run("zone", "list") == 0
        assert "evacuated  20" in capsys.readouterr().out
        assert _run("zone", "restore", "z1", "--base-version", "0") == 3
        assert _run("zone", "restore", "z1") == 0
        assert _run("zone", "evacuate", "z9") == 1
        refused = capsys.readouterr().err
        assert "refused (unknown_name)" in refused
        assert "known zones: z1" in refused

    def test_placement_is_shown_for_each_zone(
        self, listener: Listener, capsys: pytest.CaptureFixture[str]
    ) -> None:
        worker = inspection.UnhealthyWorker(
            "w7", "quarantined", 12.0, "3 attempts failed", 48.0
        )
        eviction = epoch_states.RecordedEviction(
            0.0, "j1/0", "w8", "makes room"
        )
        listener.daemon.zone_statuses["z1"] = placement_queries.ZoneStatus(
            "i1", 4, (worker,), (), (eviction,)
        )
        for zone, words in (
            ("z1", ("w7", "48", "3 attempts failed", "makes room", "by i1")),
            ("z2", ("zone z2: not known (unreachable)",)),
        ):
            assert _run("placement", "show", "--zone", zone) == 0
            shown = capsys.readouterr().out
            assert all(word in shown for word in words), shown

    def test_resend_after_a_lost_answer_is_applied_once(
        self, listener: Listener, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with Listener(listener.daemon) as listener_without_answers:
            listener_without_answers.loses_answers = True
            servers = f"{listener_without_answers.address},{listener.address}"
            options = ("--server", servers, "--timeout", "500 ms")
            assert _run("template", "publish", "r", *PUBLISH, *options) == 0
        assert "version   1" in capsys.readouterr().out
        assert listener.daemon.machine.applied_index == 2
        assert listener.daemon.machine.configuration.revision == 1

    def test_refusal_after_a_lost_answer_is_not_reported_as_not_run(
        self,
        listener: Listener,
        capsys: pytest.CaptureFixture[str],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        other_keys = fake_daemon.KEYS._replace(operators="other-key")
        monkeypatch.setattr(fake_daemon, "KEYS", other_keys)
        listener.loses_answers = True
        with Listener(fake_daemon.FakeDaemon()) as listener_with_other_key:
            servers = f"{listener.address},{listener_with_other_key.address}"
            options = ("--server", servers, "--timeout", "500 ms")
            code = _run("template", "publish", "r", *PUBLISH, *options)
        assert listener.daemon.machine.configuration.revision == 1
        messages = capsys.readouterr().err
        assert (code, "unknown outcome" in messages) == (4, True), messages
        assert "unauthorized" in messages

    def test_recorded_refusal_after_a_lost_answer_is_not_told_as_unknown(
        self, listener: Listener, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run("template", "publish", "r", *PUBLISH) == 0
        with Listener(listener.daemon) as listener_without_answers:
            listener_without_answers.loses_answers = True
            servers = f"{listener_without_answers.address},{listener.address}"
            options = ("--server", servers, "--timeout", "500 ms")
            assert _run("template", "publish", "r", *PUBLISH, *options) == 3
        assert "version 1 was set by" in capsys.readouterr().err

    def test_instance_without_a_quorum_is_skipped(
        self, listener: Listener
    ) -> None:
        partitioned = fake_daemon.FakeDaemon()
        partitioned.outcome = outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        with Listener(partitioned) as other:
            servers = f"127.0.0.1:1,{other.address},{listener.address}"
            options = ("--server", servers)
            assert _run("template", "publish", "r", *PUBLISH, *options) == 0

    def test_command_waits_for_an_election(
        self, listener: Listener, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        daemon = listener.daemon
        daemon.outcome = outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        pauses: list[float] = []

        def sleep(seconds: float) -> None:
            pauses.append(seconds)
            if len(pauses) == client.MAX_ROUNDS - 1:
                daemon.outcome = None

        monkeypatch.setattr(client.time, "sleep", sleep)
        assert _run("template", "publish", "r", *PUBLISH) == 0

    @pytest.mark.parametrize(
        ("outcome", "code", "message"),
        [
            (
                outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM),
                1,
                "refused (no_quorum)",
            ),
            (
                outcomes.Unknown(outcomes.UnknownReason.LEADER_LOST),
                4,
                "unknown outcome",
            ),
        ],
    )
    def test_answer_takes_precedence_over_unreachable_instance(
        self,
        listener: Listener,
        capsys: pytest.CaptureFixture[str],
        outcome: outcomes.Refusal | outcomes.Unknown,
        code: int,
        message: str,
    ) -> None:
        listener.daemon.outcome = outcome
        options = ("--server", f"{listener.address},127.0.0.1:1")
        assert _run("template", "publish", "r", *PUBLISH, *options) == code
        assert message in capsys.readouterr().err

    def test_stale_reads_are_marked(
        self, listener: Listener, capsys: pytest.CaptureFixture[str]
    ) -> None:
        refused = outcomes.Refusal(outcomes.RefusalReason.NO_QUORUM)
        listener.daemon.barrier_refusal = refused
        assert _run("template", "list") == 0
        assert "may be out of date" in capsys.readouterr().err


class TestExitCodes:

    @pytest.mark.parametrize(
        ("arguments", "code", "message"),
        [
            (("template", "show", "x"), 1, "unknown_name"),
            (("template", "show", "a/b"), 2, "is not a name"),
            (("template", "revise", "x", "--base-version", "1"), 1, "refused"),
            (("template", "publish", "x"), 2, "Missing required flags"),
            (("template", "publish", "x", *PUBLISH, "--bogus"), 2, "--bogus"),
            (("template", "publish", "x", *PUBLISH, "y"), 2, "arg: y"),
            (("template",), 2, ""),
            (("nothing",), 2, "Cannot find key"),
            (("job", "list", "--state", "odd"), 2, "--state: expected"),
            (("customer", "set", "c"), 2, "--zones: is required"),
            (("status", "--server", "localhost:1"), 2, "--server: expected"),
            (("status", "--server", "127.0.0.1:1"), 4, "nothing was sent"),
            (("status", "--key-file", "/nothing"), 2, "can't be read"),
            (("config", "check", "/nothing.ini"), 1, "can't be read"),
        ],
    )
    def test_code_and_message(
        self,
        listener: Listener,
        capsys: pytest.CaptureFixture[str],
        arguments: tuple[str, ...],
        code: int,
        message: str,
    ) -> None:
        assert _run(*arguments) == code
        assert message in capsys.readouterr().err
        assert not listener.daemon.machine.applied_index

    def test_unknown_outcome(
        self, listener: Listener, capsys: pytest.CaptureFixture[str]
    ) -> None:
        listener.daemon.outcome = outcomes.Unknown(
            outcomes.UnknownReason.LEADER_LOST
        )
        options = ("--operation-id", "op1")
        assert _run("template", "publish", "r", *PUBLISH, *options) == 4
        assert "--operation-id op1" in capsys.readouterr().err

    def test_wrong_key(
        self, listener: Listener, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        del listener
        monkeypatch.setenv("TURMERICHALL_KEY", "wrong")
        assert _run("status") == 1

    def test_key_file(
        self,
        listener: Listener,
        monkeypatch: pytest.MonkeyPatch,
        tmp_path: pathlib.Path,
    ) -> None:
        del listener
        monkeypatch.delenv("TURMERICHALL_KEY")
        file = tmp_path / "key"
        file.write_text(fake_daemon.KEYS.operators + "\n")
        assert _run("status", "--key-file", str(file)) == 0


class TestRequests:

    @pytest.mark.parametrize(
        ("outcome", "code"), [("ran", 0), ("not-run", 1), ("unknown", 4)]
    )
    def test_exit_code_follows_the_outcome(
        self,
        monkeypatch: pytest.MonkeyPatch,
        capsys: pytest.CaptureFixture[str],
        outcome: str,
        code: int,
    ) -> None:
        sent_headers: list[dict[str, str]] = []

        def exchange(
            method: str, url: str, headers: dict[str, str], *_: object
        ) -> httpcore.Response | client.Unreachable:
            if url.startswith("http://127.0.0.1:1/"):
                return client.Unreachable(url)
            assert (method, url) == ("POST", "http://127.0.0.1:2/" + path)
            sent_headers.append(headers)
            response_headers = [(b"Turmerichall-Outcome", outcome.encode())]
            answer = httpcore.Response(
                200, headers=response_headers, content=b"answer"
            )
            answer.read()
            return answer

        path = "v1/requests/c/offers"
        monkeypatch.setattr(client, "exchange", exchange)
        callers = ("--callers", "127.0.0.1:1,127.0.0.1:2")
        send = ("requests", "send", "offers", "--customer", "c")
        assert _run(*send, *callers, "--idempotent", "false") == code
        assert request_id.parse(sent_headers[0]["Turmerichall-Request-Id"])
        assert sent_headers[0]["Turmerichall-Idempotent"] == "false"
        assert sent_headers[0]["Turmerichall-Deadline-Ms"] == "10000"
        assert f"outcome     {outcome}" in capsys.readouterr().out

    def test_lost_answer_is_not_sent_again(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        tried_urls: list[str] = []

        def exchange(_: str, url: str, *__: object) -> client.AnswerLost:
            tried_urls.append(url)
            return client.AnswerLost(url)

        monkeypatch.setattr(client, "exchange", exchange)
        callers = ("--callers", "127.0.0.1:1,127.0.0.1:2")
        assert _run("requests", "send", "s", "--customer", "c", *callers) == 4
        assert len(tried_urls) == 1
