"""Tests that the pages name commands and files that exist."""

import pathlib
import re
import shlex

import pytest

from turmerichall import cli

ROOT = pathlib.Path(__file__).parents[3]
PAGES = sorted(ROOT.glob("*.md")) + sorted(ROOT.glob("docs/**/*.md"))
NOUNS = (
    "template|customer|quota|job|backend-server|instance|requests|config|status"
)
# In a code span, or alone on an indented line.
COMMAND = re.compile(rf"(?:`|^ {{4}})turmerichall ((?:{NOUNS})\b[^`\n]*)", re.M)
LINK = re.compile(r"\]\(([^)#:\s]+)(?:#[^)]*)?\)")
# Words that a page leaves for the reader to fill in.
GIVEN = {
    "FILE.ini": "d.ini",
    "NOUN": "template",
    "VERB": "list",
    "...": "",
}


def _commands() -> list[str]:
    found = set()
    for page in PAGES:
        found |= set(COMMAND.findall(page.read_text(encoding="utf-8")))
    return sorted(found)


class TestPages:

    @pytest.mark.parametrize("command", _commands())
    def test_command_is_understood(self, command: str) -> None:
        words = [GIVEN.get(word, word) for word in shlex.split(command)]
        if words[-1] == "--server":
            words.append("127.0.0.1:1")
        assert cli.parse(words) is not None

    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
    def test_links_lead_to_files(self, page: pathlib.Path) -> None:
        for target in LINK.findall(page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), target
