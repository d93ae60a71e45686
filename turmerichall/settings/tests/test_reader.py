"""Tests of reading settings."""

import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from turmerichall import errors
from turmerichall.settings import reader
from turmerichall.settings import values

MINIMAL = """\
[instance]
name = entry-1
region = r
zone = z1
data_folder = /tmp/x

[listen]
callers = 127.0.0.1:8400
operators = 127.0.0.1:8401
peers = 127.0.0.1:8402

[peers]
bootstrap = true

[keys]
cluster = cluster-key-of-tests
operators = operators-key-of-tests
workers = workers-key-of-tests
"""
EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def _findings(text: str) -> list[str]:
    with pytest.raises(errors.SettingsError) as caught:
        reader.parse(text, "d.ini")
    return [str(finding) for finding in caught.value.findings]


class TestSettings:

    def test_units_and_defaults(self) -> None:
        text = MINIMAL + "[limits]\nmax_request_bytes = 2 MiB\n"
        text += "default_deadline = 250 ms\n"
        result = reader.parse(text, "d.ini")
        assert result.limits.max_request_bytes == 2 * 1024**2
        assert result.limits.default_deadline_seconds == 0.25
        assert result.limits.retry_ratio == 0.1

    def test_secrets_are_not_in_repr(self) -> None:
        result = reader.parse(MINIMAL, "d.ini")
        assert "key-of-tests" not in repr(result)

    @pytest.mark.parametrize("name", ["replica.ini", "entry.ini"])
    def test_examples_are_valid(self, name: str) -> None:
        reader.load(str(EXAMPLES / name))


class TestFindings:

    @pytest.mark.parametrize(
        ("before", "after", "finding"),
        [
            ("zone = z1", "zone = z/1", "d.ini:4 [instance] zone: expected a"),
            (
                "zone = z1",
                "",
                "d.ini:1 [instance] zone: is required but missing",
            ),
            (
                "zone = z1",
                "zone = z1\nzome = z1",
                "d.ini:5 [instance] zome: unknown key; did you mean 'zone'?",
            ),
            (
                "zone = z1",
                "zone = z1\nretry_ratio = 1",
                "d.ini:5 [instance] retry_ratio: unknown key; it belongs to"
                " [limits]",
            ),
            (
                "zone = z1",
                "zone = z1\nzone = z2",
                "d.ini:5: 'zone' is already set at line 4",
            ),
            ("zone = z1", "zone = z1\nzone", "d.ini:5: expected [section]"),
            ("[instance]", "", "d.ini:2: expected a [section] before"),
            (
                "[peers]",
                "[pears]",
                "d.ini:12 [pears]: unknown section; did you mean 'peers'?",
            ),
            (
                "bootstrap = true",
                "bootstrap = true\nfounders = entry-1, entry-9",
                "d.ini:14 [peers] founders: expected this instance or one of"
                " the seeds",
            ),
            (
                "bootstrap = true",
                "bootstrap = true\nseeds = a@1.1.1.1:1\nfounders = a",
                "d.ini:15 [peers] founders: expected 'entry-1', which",
            ),
            (
                "callers = 127.0.0.1:8400",
                "callers = localhost:8400",
                "d.ini:8 [listen] callers: expected IP address and port",
            ),
            (
                "peers = 127.0.0.1:8402",
                "peers = 0.0.0.0:8402",
                "d.ini:10 [listen] peers: expected the address of one",
            ),
            (
                "peers = 127.0.0.1:8402",
                "peers = 127.0.0.1:8401",
                "d.ini:10 [listen] peers: expected an address different from",
            ),
            (
                "peers = 127.0.0.1:8402",
                "peers = 127.0.0.1:99999",
                "d.ini:10 [listen] peers: expected a port",
            ),
            (
                "data_folder = /tmp/x",
                "",
                "d.ini:13 [peers] bootstrap: expected a data_folder",
            ),
            (
                "bootstrap = true",
                "bootstrap = false",
                "d.ini:12 [peers] seeds: expected another instance",
            ),
            (
                "bootstrap = true",
                "seeds = a@10.0.0.1:1, a@10.0.0.2:1",
                "d.ini:13 [peers] seeds: expected each name once",
            ),
            (
                "bootstrap = true",
                "seeds = a@10.0.0.1:0",
                "d.ini:13 [peers] seeds: expected a port above 0",
            ),
            (
                "workers = workers-key-of-tests",
                "workers = hunter2",
                "d.ini:18 [keys] workers: expected at least 16",
            ),
            (
                "workers = workers-key-of-tests",
                "workers = cluster-key-of-tests",
                "d.ini:18 [keys] workers: expected a secret different from",
            ),
        ],
    )
    def test_place_and_reason(
        self, before: str, after: str, finding: str
    ) -> None:
        assert before in MINIMAL
        findings = _findings(MINIMAL.replace(before, after))
        assert any(item.startswith(finding) for item in findings), findings
        assert not any("hunter2" in item for item in findings)

    @pytest.mark.parametrize(
        ("section", "key", "value"),
        [
            ("limits", "max_request_bytes", "4"),
            ("limits", "max_request_bytes", "4 MB"),
            ("limits", "queue_length", "0"),
            ("limits", "queue_length", "-1"),
            ("limits", "queue_length", "many"),
            ("limits", "retry_ratio", "1.5"),
            ("limits", "retry_ratio", "nan"),
            ("limits", "default_deadline", "0 s"),
            ("limits", "default_deadline", "2 h"),
            ("placement", "preset", "fast"),
            ("timing", "drain_limit", "60"),
            ("logs", "level", "loud"),
            ("logs", "file", ""),
        ],
    )
    def test_bad_values(self, section: str, key: str, value: str) -> None:
        findings = _findings(f"{MINIMAL}[{section}]\n{key} = {value}\n")
        line = MINIMAL.count("\n") + 2
        assert len(findings) == 1
        assert findings[0].startswith(
            f"d.ini:{line} [{section}] {key}: expected"
        )

    def test_reports_all_findings_together(self) -> None:
        text = MINIMAL.replace("zone = z1", "zone = /")
        text = text.replace("bootstrap = true", "bootstrap = maybe")
        text += "[limits]\nqueue_lenght = 3\nretry_ratio = 2\n"
        assert len(_findings(text)) == 4

    def test_unreadable_file(self, tmp_path: pathlib.Path) -> None:
        (tmp_path / "d.ini").write_bytes(b"\xff\xfe\x00")
        for name in ("absent.ini", "d.ini", ""):
            with pytest.raises(errors.SettingsError, match="can't be read"):
                reader.load(str(tmp_path / name))


class TestFuzz:

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.text(max_size=300))
    def test_raises_only_settings_errors(self, text: str) -> None:
        for candidate in (text, MINIMAL + text, text + MINIMAL):
            try:
                reader.parse(candidate, "d.ini")
            except errors.SettingsError as error:
                assert error.findings

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    @hypothesis.given(
        strategies.sampled_from(
            [
                (section, key)
                for section, schema in reader.SECTIONS.items()
                for key in schema.keys
            ]
        ),
        strategies.text(max_size=30)
        | strategies.from_regex(r"[0-9.]{1,9} ?[a-zA-Z]{0,3}", fullmatch=True)
        | strategies.from_regex(r"\[?[0-9a-f:.%]{2,20}\]?:[0-9]{1,6}"),
    )
    def test_any_value_is_read_or_reported(
        self, setting: tuple[str, str], text: str
    ) -> None:
        section, key = setting
        lines = MINIMAL.splitlines()
        kept = [line for line in lines if not line.startswith(f"{key} =")]
        if f"[{section}]" not in kept:
            kept.append(f"[{section}]")
        kept.insert(kept.index(f"[{section}]") + 1, f"{key} = {text}")
        try:
            result = reader.parse("\n".join(kept), "d.ini")
        except errors.SettingsError as error:
            assert error.findings
        else:
            assert isinstance(hash(result), int)


class TestFounders:

    @pytest.mark.parametrize(
        ("founders_line", "names"),
        [
            ("", {"entry-1", "a", "b"}),
            ("founders = entry-1, a", {"entry-1", "a"}),
        ],
    )
    def test_named_founders_or_all_seeds(
        self, founders_line: str, names: set[str]
    ) -> None:
        seeds = "seeds = a@1.1.1.1:1, b@1.1.1.2:1"
        text = MINIMAL.replace("[keys]", f"{seeds}\n{founders_line}\n\n[keys]")
        loaded = reader.parse(text, "d.ini")
        own = values.Seed("entry-1", loaded.listen.peers)
        assert set(loaded.peers.founder_addresses(own)) == names
