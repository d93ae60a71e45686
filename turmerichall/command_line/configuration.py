"""Commands for templates, customers and quotas."""

from collections.abc import Callable
from typing import Any

from turmerichall import errors
from turmerichall.command_line import client as clients
from turmerichall.command_line import commands
from turmerichall.command_line import output
from turmerichall.command_line import session as sessions
from turmerichall.settings import values

__all__ = ["Customers", "Quotas", "Templates"]

Fields = dict[str, Any]

_VERSION_COLUMNS = ("version", "set_by", "set_at")


class _Collection:
    """Commands for one kind of configuration: templates, customers or quotas.

    Each entry of it, such as one template, has a version.
    """

    def __init__(
        self,
        session: sessions.Session,
        path: str,
        columns: tuple[str, ...],
    ):
        self.session = session
        self.path = path
        self.view = sessions.TableView((*columns, *_VERSION_COLUMNS), _row)

    def list(self) -> commands.Command:
        """Return a command that lists all entries."""
        return self.session.list_command(self.path, self.view)

    def show(self, name: str) -> commands.Command:
        """Return a command that shows one entry."""
        entry_path = f"{self.path}/{_path_segment(name)}"
        return self.session.read_command(
            entry_path,
            lambda document: output.print_fields(_row(document["item"])),
        )

    def set(
        self, name: str, base_version: int, fields: Fields, defaults: Fields
    ) -> commands.Command:
        """Return a command that creates or updates an entry.

        Args:
            name: Name of the entry.
            base_version: Version that the update is based on; 0 for a new
                entry.
            fields: Fields that were given on the command line.
            defaults: Other fields of a new entry; an update keeps those of
                the current version.

        Returns:
            The command.
        """
        entry_path = f"{self.path}/{_path_segment(name)}"

        def run() -> commands.ExitCode:
            body = defaults
            if base_version > 0:
                outcome = self.session.client.read(entry_path)
                if not _is_found(outcome):
                    return output.print_failure(outcome, self.session.options)
                assert isinstance(outcome, clients.Answer)
                body = outcome.document["item"]["body"]
            document = {"base_version": base_version, "body": body | fields}
            return self.session.change("PUT", entry_path, document)

        return commands.Command(run)


def _is_found(outcome: clients.Outcome) -> bool:
    return isinstance(outcome, clients.Answer) and outcome.status == 200


class Templates:
    """Templates of services and batch jobs."""

    def __init__(self, session: sessions.Session):
        columns = ("name", "kind", "size", "run_seconds", "idempotent")
        self._collection = _Collection(session, "/v1/templates", columns)

    def list(self) -> commands.Command:
        """List all templates."""
        return self._collection.list()

    def show(self, name: str) -> commands.Command:
        """Show a template and its version.

        Args:
            name: Name of the template.
        """
        return self._collection.show(name)

    def publish(
        self,
        name: str,
        *,
        kind: str,
        processors: str,
        memory_mb: str,
        accelerators: str = "0",
        run_seconds: str = "60",
        idempotent: str = "false",
    ) -> commands.Command:
        """Publish a new template.

        Args:
            name: Name of the template.
            kind: `service` or `batch`.
            processors: Processor cores of one task.
            memory_mb: Memory of one task, in MiB.
            accelerators: Accelerators of one task.
            run_seconds: Declared run time of a batch task, in seconds.
            idempotent: Whether a request may be run more than once, `true` or
                `false`; a caller's own header takes precedence.
        """
        fields = _template_fields(kind, run_seconds, idempotent)
        size = _size(processors, memory_mb, accelerators)
        fields |= {"name": name, "size": size}
        return self._collection.set(name, 0, fields, {})

    def revise(
        self,
        name: str,
        *,
        base_version: str,
        processors: str = "",
        memory_mb: str = "",
        accelerators: str = "",
        run_seconds: str = "",
        idempotent: str = "",
    ) -> commands.Command:
        """Revise a template; parameters that are not given stay unchanged.

        Processors and memory must be given together.

        Args:
            name: Name of the template.
            base_version: Version that the revision is based on.
            processors: Processor cores of one task.
            memory_mb: Memory of one task, in MiB.
            accelerators: Accelerators of one task.
            run_seconds: Declared run time of a batch task, in seconds.
            idempotent: `true` or `false`.
        """
        fields = _template_fields("", run_seconds, idempotent)
        if processors or memory_mb or accelerators:
            fields["size"] = _size(processors, memory_mb, accelerators or "0")
        version = _version(base_version)
        return self._collection.set(name, version, fields, {})


class Customers:
    """Customers and their parameters."""

    def __init__(self, session: sessions.Session):
        columns = ("name", "team", "urgency", "zones", "services")
        self._collection = _Collection(
            session, "/v1/customers", (*columns, "max_requests")
        )

    def list(self) -> commands.Command:
        """List all customers."""
        return self._collection.list()

    def show(self, name: str) -> commands.Command:
        """Show a customer's parameters and their version.

        Args:
            name: Name of the customer.
        """
        return self._collection.show(name)

    def set(
        self,
        name: str,
        *,
        team: str = "",
        urgency: str = "",
        zones: str = "",
        services: str = "",
        max_requests: str = "",
        base_version: str = "0",
    ) -> commands.Command:
        """Set a customer's parameters.

        A new customer needs a team and zones.  With a base version, parameters
        that are not given stay unchanged.

        Args:
            name: Name of the customer.
            team: Team whose quota the batch work counts against.
            urgency: `urgent`, `normal` or `deferrable`.
            zones: Availability zones, the home zone first, `z1,z2`.
            services: Number of tasks of each service in each zone,
                `offers=2,check=1` or `none`.
            max_requests: Maximum number of requests in flight on one instance.
            base_version: Version that the change is based on; 0 for a new one.
        """
        fields: Fields = {"name": name}
        _set_if_given(fields, "--team", "team", team, str)
        _set_if_given(fields, "--urgency", "urgency", urgency, _urgency)
        _set_if_given(fields, "--zones", "zones", zones, lambda t: t.split(","))
        _set_if_given(fields, "--services", "services", services, _services)
        flag = "--max-requests"
        _set_if_given(fields, flag, "max_requests", max_requests, values.count)
        version = _version(base_version)
        if version == 0 and not (team and zones):
            reason = "is required for a new customer"
            missing = {"--team": team, "--zones": zones}
            raise errors.InputError(
                [errors.Finding(f, reason) for f, t in missing.items() if not t]
            )
        defaults = {"urgency": "normal", "services": {}}
        return self._collection.set(name, version, fields, defaults)


class Quotas:
    """Quotas of teams for batch work."""

    def __init__(self, session: sessions.Session):
        columns = ("team", "limit")
        self._collection = _Collection(session, "/v1/quotas", columns)

    def list(self) -> commands.Command:
        """List all quotas."""
        return self._collection.list()

    def set(
        self,
        team: str,
        *,
        processors: str,
        memory_mb: str,
        accelerators: str = "0",
        base_version: str = "0",
    ) -> commands.Command:
        """Limit the total resources of a team's running batch tasks.

        The team may borrow as much again while other teams leave it unused.

        Args:
            team: Name of the team.
            processors: Processor cores.
            memory_mb: Memory, in MiB.
            accelerators: Accelerators.
            base_version: Version that the change is based on; 0 for a new one.
        """
        limit = _size(processors, memory_mb, accelerators)
        fields = {"team": team, "limit": limit}
        return self._collection.set(team, _version(base_version), fields, {})


def _row(item: dict[str, Any]) -> dict[str, Any]:
    return {
        **item["body"],
        "version": item["version"],
        "set_by": item["operator"],
        "set_at": output.format_time(item["wall_seconds"]),
    }


def _template_fields(kind: str, run_seconds: str, idempotent: str) -> Fields:
    fields: Fields = {}
    _set_if_given(
        fields, "--kind", "kind", kind, values.choice("service", "batch")
    )
    _set_if_given(fields, "--run-seconds", "run_seconds", run_seconds, _number)
    _set_if_given(fields, "--idempotent", "idempotent", idempotent, values.flag)
    return fields


def _set_if_given(
    fields: Fields,
    flag: str,
    field: str,
    text: str,
    parse: Callable[[str], Any],
) -> None:
    if text:
        fields[field] = commands.parse_flag(flag, text, parse)


def _size(processors: str, memory_mb: str, accelerators: str) -> Fields:
    return {
        "processors": commands.parse_flag("--processors", processors, _number),
        "memory_mb": commands.parse_flag(
            "--memory-mb", memory_mb, _non_negative_integer
        ),
        "accelerators": commands.parse_flag(
            "--accelerators", accelerators, _non_negative_integer
        ),
    }


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise ValueError(f"expected a number, not {text!r}") from error


def _non_negative_integer(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise ValueError(f"expected a whole number, not {text!r}")
    return int(text)


def _version(text: str) -> int:
    return commands.parse_flag("--base-version", text, _non_negative_integer)


_urgency = values.choice("urgent", "normal", "deferrable")


def _services(text: str) -> dict[str, int]:
    if text == "none":
        return {}
    tasks_by_service = {}
    for item in text.split(","):
        service, equals, tasks = item.partition("=")
        if not equals:
            raise ValueError(f"expected service=tasks, not {item!r}")
        tasks_by_service[service] = _non_negative_integer(tasks)
    return tasks_by_service


def _path_segment(name: str) -> str:
    return commands.parse_flag("NAME", name, values.name)
