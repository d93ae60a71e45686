"""Tests that the documentation names commands and files that exist."""

import pathlib
import re
import shlex

import pytest

from turmerichall import cli

ROOT = pathlib.Path(__file__).parents[3]
PAGES = sorted(ROOT.glob("*.md")) + sorted(ROOT.glob("docs/**/*.md"))
NOUNS = (
    "template|customer|quota|job|backend-server|zone|instance|requests|config"
    "|configuration|status"
)
# A command in a code span, or at the start of a line indented by 4 spaces.
COMMAND = re.compile(rf"(?:`|^ {{4}})turmerichall ((?:{NOUNS})\b[^`\n]*)", re.M)
LINK = re.compile(r"\]\(([^)#:\s]+)(?:#[^)]*)?\)")
# Placeholders in the documentation, and the values that replace them here.
PLACEHOLDERS = {
    "FILE.ini": "d.ini",
    "FILE": "c.json",
    "[--against": "--against",
    "current|FILE2]": "current",
    "NOUN": "template",
    "VERB": "list",
    "...": "",
}


def _commands() -> list[str]:
    commands = set()
    for page in PAGES:
        commands |= set(COMMAND.findall(page.read_text(encoding="utf-8")))
    return sorted(commands)


class TestPages:

    @pytest.mark.parametrize("command", _commands())
    def test_command_is_valid(self, command: str) -> None:
        words = [PLACEHOLDERS.get(word, word) for word in shlex.split(command)]
        if words[-1] == "--server":
            words.append("127.0.0.1:1")
        assert cli.parse(words) is not None

    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
    def test_links_point_to_existing_files(self, page: pathlib.Path) -> None:
        for target in LINK.findall(page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), target
