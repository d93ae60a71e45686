"""Measurement of the costs of control operations for docs/CAPACITY.md.

    python -m turmerichall.benchmarks.capacity [--write docs/CAPACITY.md]

The tables are printed; with `--write`, they replace the text between the
markers of the page.
"""

import pathlib

import fire
import trio

from turmerichall.benchmarks import announcement_costs
from turmerichall.benchmarks import capacity_limits
from turmerichall.benchmarks import capacity_model
from turmerichall.benchmarks import capacity_tables
from turmerichall.benchmarks import daemon_costs
from turmerichall.benchmarks import slopes

__all__ = ["main", "replace_figures"]

BEGIN = "<!-- figures: make bench-capacity -->"
END = "<!-- end of figures -->"


def tables(measured: list[slopes.Slope]) -> str:
    """Return all tables of the page in Markdown, built from measured costs."""
    model = capacity_model.Model.from_slopes(measured)
    parts = [capacity_tables.slope_table(measured)]
    for role in model.roles():
        parts.append(capacity_tables.role_table(role))
    parts.append(capacity_tables.summary_table(model.roles()))
    points = capacity_limits.breaking_points(model)
    parts.append(capacity_tables.breaking_point_table(points))
    return "\n\n".join(parts)


def replace_figures(page: str, figures: str) -> str:
    """Return a page with the text between its markers replaced by `figures`.

    Examples:
        >>> replace_figures(f"a {BEGIN} old {END} z", "new").split()[-1]
        'z'
    """
    before, _, rest = page.partition(BEGIN)
    _, _, after = rest.partition(END)
    return f"{before}{BEGIN}\n\n{figures}\n\n{END}{after}"


def main(write: str = "") -> None:
    """Measure all costs and print the tables, or write them into a page.

    Args:
        write: Path of the page; the tables are printed if empty.
    """
    figures = tables(
        [
            *slopes.measure(),
            *announcement_costs.measure(),
            *trio.run(daemon_costs.measure),
        ]
    )
    if not write:
        print(figures)
        return
    path = pathlib.Path(write)
    path.write_text(
        replace_figures(path.read_text(encoding="utf-8"), figures),
        encoding="utf-8",
    )


if __name__ == "__main__":
    fire.Fire(main)
