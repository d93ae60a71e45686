"""Tables of the capacity model, as docs/CAPACITY.md shows them."""

from collections.abc import Callable

from turmerichall.benchmarks import capacity_limits
from turmerichall.benchmarks import capacity_model
from turmerichall.benchmarks import slopes

__all__ = [
    "breaking_table",
    "role_table",
    "shown",
    "slope_table",
    "summary_table",
]


def slope_table(measured: list[slopes.Slope]) -> str:
    """Returns the measured slopes as a table.

    Examples:
        >>> print(slope_table([slopes.Slope("k", 2e-6, "s", "a call")]))
        | Slope | Measured | What it costs |
        | --- | ---: | --- |
        | `k` | 2 µs | a call |
    """
    lines = ["| Slope | Measured | What it costs |", "| --- | ---: | --- |"]
    for slope in measured:
        cost = shown(slope.value, slope.unit)
        lines.append(f"| `{slope.key}` | {cost} | {slope.what} |")
    return "\n".join(lines)


def shown(value: float, unit: str) -> str:
    """Formats a cost with three digits and a fitting unit.

    Examples:
        >>> shown(0.00042, "s"), shown(2048, "B"), shown(0.5, "s/s")
        ('420 µs', '2.05 KB', '50 % of a core')
    """
    if unit == "s/s":
        return f"{value * 100:.3g} % of a core"
    steps: tuple[tuple[float, str], ...] = (
        (1e6, "MB"),
        (1e3, "KB"),
        (1.0, "B"),
    )
    if unit == "s":
        steps = ((1.0, "s"), (1e-3, "ms"), (1e-6, "µs"), (1e-9, "ns"))
    for size, name in steps:
        if value >= size:
            return f"{value / size:.3g} {name}"
    return f"{value:.3g} {unit}"


def _left(value: float, limit: float, show: Callable[[float], str]) -> str:
    if value <= limit:
        return f"{show(limit - value)} left"
    return f"**over, {value / limit:.3g} times**"


def _share(value: float) -> str:
    return f"{value * 100:.2g} %"


def _bytes(value: float) -> str:
    return shown(value, "B") if value else "0"


def role_table(role: capacity_model.Role) -> str:
    """Returns the lines of a role and their sum as a table."""
    lines = [
        f"**{role.name}.** State: {role.state}.",
        "",
        "| What | Processor | Memory | Traffic a second | Carried by |",
        "| --- | ---: | ---: | ---: | --- |",
    ]
    for line in (*role.lines, role.total()):
        name = "sum" if line.what == role.name else line.what
        lines.append(
            f"| {name} | {_share(line.processor)} | {_bytes(line.memory)} |"
            f" {_bytes(line.traffic)} | {line.carried_by} |"
        )
    if role.disk:
        lines += ["", f"Disk: {_bytes(role.disk)} for two snapshots."]
    return "\n".join(lines)


def summary_table(roles: list[capacity_model.Role]) -> str:
    """Returns what each limit leaves over, as a table."""
    lines = [
        "| Role | of 2.8 % of a core | of 256 MB | of 4 KB/s |",
        "| --- | ---: | ---: | ---: |",
    ]
    for role in roles:
        total = role.total()
        processor = _left(total.processor, capacity_model.CORE_LIMIT, _share)
        memory = _left(total.memory, capacity_model.MEMORY_LIMIT, _bytes)
        traffic = _left(total.traffic, capacity_model.TRAFFIC_LIMIT, _bytes)
        lines.append(f"| {role.name} | {processor} | {memory} | {traffic} |")
    return "\n".join(lines)


def breaking_table(points: list[capacity_limits.Breaking]) -> str:
    """Returns what breaks first, and at what size, as a table."""
    lines = [
        "| Limit | Reached at | Wanted |",
        "| --- | ---: | ---: |",
    ]
    for point in points:
        lines.append(
            f"| {point.what} | {point.size:.3g} {point.unit} |"
            f" {point.wanted:.3g} |"
        )
    return "\n".join(lines)
