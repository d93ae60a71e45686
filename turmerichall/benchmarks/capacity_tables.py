"""Markdown tables of the capacity model for docs/CAPACITY.md."""

from collections.abc import Callable

from turmerichall.benchmarks import capacity_limits
from turmerichall.benchmarks import capacity_model
from turmerichall.benchmarks import slopes

__all__ = [
    "breaking_point_table",
    "role_table",
    "format_cost",
    "slope_table",
    "summary_table",
]


def slope_table(measured: list[slopes.Slope]) -> str:
    """Return a table of the measured slopes.

    Examples:
        >>> print(slope_table([slopes.Slope("k", 2e-6, "s", "a call")]))
        | Slope | Measured | What it costs |
        | --- | ---: | --- |
        | `k` | 2 µs | a call |
    """
    lines = ["| Slope | Measured | What it costs |", "| --- | ---: | --- |"]
    for slope in measured:
        value = format_cost(slope.value, slope.unit)
        lines.append(f"| `{slope.key}` | {value} | {slope.what} |")
    return "\n".join(lines)


def format_cost(value: float, unit: str) -> str:
    """Format a cost with three significant digits and a readable unit.

    Args:
        value: The cost in the base unit.
        unit: "s" for seconds, "B" for bytes, "s/s" for a share of a core.

    Examples:
        >>> format_cost(0.00042, "s"), format_cost(2048, "B")
        ('420 µs', '2.05 KB')
        >>> format_cost(0.5, "s/s")
        '50 % of a core'
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


def _headroom(
    value: float, limit: float, format_value: Callable[[float], str]
) -> str:
    if value <= limit:
        return f"{format_value(limit - value)} left"
    return f"**over, {value / limit:.3g} times**"


def _format_share(value: float) -> str:
    return f"{value * 100:.2g} %"


def _format_bytes(value: float) -> str:
    return format_cost(value, "B") if value else "0"


def role_table(role: capacity_model.Role) -> str:
    """Return a table of a role's resource demands and their sum."""
    lines = [
        f"**{role.name}.** State: {role.state}.",
        "",
        "| What | Processor | Memory | Traffic a second | Carried by |",
        "| --- | ---: | ---: | ---: | --- |",
    ]
    for demand in (*role.demands, role.total()):
        name = "sum" if demand.what == role.name else demand.what
        lines.append(
            f"| {name} | {_format_share(demand.processor)} |"
            f" {_format_bytes(demand.memory)} |"
            f" {_format_bytes(demand.traffic)} | {demand.carried_by} |"
        )
    if role.disk:
        lines += ["", f"Disk: {_format_bytes(role.disk)} for two snapshots."]
    return "\n".join(lines)


def summary_table(roles: list[capacity_model.Role]) -> str:
    """Return a table of each role's headroom below the resource limits."""
    lines = [
        "| Role | of 2.8 % of a core | of 256 MB | of 4 KB/s |",
        "| --- | ---: | ---: | ---: |",
    ]
    for role in roles:
        total = role.total()
        processor = _headroom(
            total.processor, capacity_model.CORE_SHARE_LIMIT, _format_share
        )
        memory = _headroom(
            total.memory, capacity_model.MEMORY_LIMIT_BYTES, _format_bytes
        )
        traffic = _headroom(
            total.traffic,
            capacity_model.TRAFFIC_LIMIT_BYTES_PER_SECOND,
            _format_bytes,
        )
        lines.append(f"| {role.name} | {processor} | {memory} | {traffic} |")
    return "\n".join(lines)


def breaking_point_table(points: list[capacity_limits.BreakingPoint]) -> str:
    """Return a table of breaking points, in the order of `points`."""
    lines = [
        "| Limit | Reached at | Wanted |",
        "| --- | ---: | ---: |",
    ]
    for point in points:
        lines.append(
            f"| {point.what} | {point.size:.3g} {point.unit} |"
            f" {point.target:.3g} |"
        )
    return "\n".join(lines)
