"""Tests that docs/SETTINGS.md lists the keys and defaults of the settings."""

import pathlib
import re

import pytest

from turmerichall.settings import reader

PAGE = pathlib.Path(__file__).parents[3] / "docs" / "SETTINGS.md"


def _documented_defaults(section: str) -> dict[str, str]:
    """Return the default of each key that the page lists for a section."""
    text = PAGE.read_text(encoding="utf-8")
    section_text = text.split(f"\n## [{section}]\n")[1].split("\n## ")[0]
    return dict(
        re.findall(r"^\| `(\w+)` \| (.+?) \|", section_text, re.MULTILINE)
    )


class TestPage:

    @pytest.mark.parametrize("section", reader.SECTIONS)
    def test_keys_and_defaults(self, section: str) -> None:
        schema = reader.SECTIONS[section]
        defaults = schema.record_type._field_defaults  # pylint: disable=protected-access
        documented = _documented_defaults(section)
        assert documented.keys() == schema.keys.keys()
        for name, key in schema.keys.items():
            if key.field not in defaults:
                assert documented[name] == "required"
            elif documented[name] == "none":
                assert not defaults[key.field]
            else:
                assert (
                    key.read(documented[name].strip("`")) == defaults[key.field]
                )
