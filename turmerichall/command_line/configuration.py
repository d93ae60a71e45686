"""Commands about templates, customers and quotas."""

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


class _Entries:
    """Lists, shows and sets the entries of one collection."""

    def __init__(
        self,
        session: sessions.Session,
        path: str,
        columns: tuple[str, ...],
    ):
        self.session = session
        self.path = path
        self.view = sessions.View((*columns, *_VERSION_COLUMNS), _row)

    def list(self) -> commands.Command:
        """Returns the command that lists all entries."""
        return self.session.list(self.path, self.view)

    def show(self, name: str) -> commands.Command:
        """Returns the command that shows one entry."""
        where = f"{self.path}/{_path_part(name)}"
        return self.session.reading(
            where, lambda document: output.show(_row(document["item"]))
        )

    def set(
        self, name: str, base_version: int, fields: Fields, defaults: Fields
    ) -> commands.Command:
        """Returns the command that sets an entry.

        Args:
            name: Name of the entry.
            base_version: Version that it is based on; 0 for a new entry.
            fields: Fields that were given.
            defaults: Other fields of a new entry; a revision keeps those of
                the current version.

        Returns:
            The command.
        """
        where = f"{self.path}/{_path_part(name)}"

        def run() -> commands.ExitCode:
            body = defaults
            if base_version > 0:
                outcome = self.session.client.read(where)
                if not _is_found(outcome):
                    return output.failure(outcome, self.session.options)
                assert isinstance(outcome, clients.Answer)
                body = outcome.document["item"]["body"]
            document = {"base_version": base_version, "body": body | fields}
            return self.session.change("PUT", where, document)

        return commands.Command(run)


def _is_found(outcome: clients.Outcome) -> bool:
    return isinstance(outcome, clients.Answer) and outcome.status == 200


class Templates:
    """Templates of services and batch jobs."""

    def __init__(self, session: sessions.Session):
        columns = ("name", "kind", "size", "run_seconds", "idempotent")
        self._entries = _Entries(session, "/v1/templates", columns)

    def list(self) -> commands.Command:
        """Lists all templates."""
        return self._entries.list()

    def show(self, name: str) -> commands.Command:
        """Shows a template and its version.

        Args:
            name: Name of the template.
        """
        return self._entries.show(name)

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
        """Publishes a new template.

        Args:
            name: Name of the template.
            kind: `service` or `batch`.
            processors: Processor cores of one task.
            memory_mb: Memory of one task, in MiB.
            accelerators: Accelerators of one task.
            run_seconds: Declared run time of a batch task, in seconds.
            idempotent: Whether a request may be run more than once, `true` or
                `false`; a caller's own mark goes before it.
        """
        fields = _template_fields(kind, run_seconds, idempotent)
        size = _size(processors, memory_mb, accelerators)
        fields |= {"name": name, "size": size}
        return self._entries.set(name, 0, fields, {})

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
        """Revises a template; what is not given stays as it is.

        A size is given whole: processors and memory together.

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
        return self._entries.set(name, version, fields, {})


class Customers:
    """Customers and their parameters."""

    def __init__(self, session: sessions.Session):
        columns = ("name", "team", "urgency", "zones", "services")
        self._entries = _Entries(
            session, "/v1/customers", (*columns, "max_requests")
        )

    def list(self) -> commands.Command:
        """Lists all customers."""
        return self._entries.list()

    def show(self, name: str) -> commands.Command:
        """Shows a customer's parameters and their version.

        Args:
            name: Name of the customer.
        """
        return self._entries.show(name)

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
        """Sets a customer's parameters.

        A new customer needs team and zones.  With a base version, what is
        not given stays as it is.

        Args:
            name: Name of the customer.
            team: Team whose quota the batch work counts against.
            urgency: `urgent`, `normal` or `deferrable`.
            zones: Availability zones, the home first, `z1,z2`.
            services: Tasks of each service in each zone, `offers=2,check=1` or
                `none`.
            max_requests: Requests in flight on one instance at most.
            base_version: Version that this is based on; 0 for a new one.
        """
        fields: Fields = {"name": name}
        _put(fields, "--team", "team", team, str)
        _put(fields, "--urgency", "urgency", urgency, _urgency)
        _put(fields, "--zones", "zones", zones, lambda t: t.split(","))
        _put(fields, "--services", "services", services, _services)
        flag = "--max-requests"
        _put(fields, flag, "max_requests", max_requests, values.count)
        version = _version(base_version)
        if version == 0 and not (team and zones):
            reason = "is required for a new customer"
            missing = {"--team": team, "--zones": zones}
            raise errors.InputError(
                [errors.Finding(f, reason) for f, t in missing.items() if not t]
            )
        defaults = {"urgency": "normal", "services": {}}
        return self._entries.set(name, version, fields, defaults)


class Quotas:
    """Quotas of teams for batch work."""

    def __init__(self, session: sessions.Session):
        columns = ("team", "limit")
        self._entries = _Entries(session, "/v1/quotas", columns)

    def list(self) -> commands.Command:
        """Lists all quotas."""
        return self._entries.list()

    def set(
        self,
        team: str,
        *,
        processors: str,
        memory_mb: str,
        accelerators: str = "0",
        base_version: str = "0",
    ) -> commands.Command:
        """Sets what the running batch tasks of a team may hold in sum.

        It may borrow as much again while other teams leave room.

        Args:
            team: Name of the team.
            processors: Processor cores.
            memory_mb: Memory, in MiB.
            accelerators: Accelerators.
            base_version: Version that this is based on; 0 for a new one.
        """
        limit = _size(processors, memory_mb, accelerators)
        fields = {"team": team, "limit": limit}
        return self._entries.set(team, _version(base_version), fields, {})


def _row(item: dict[str, Any]) -> dict[str, Any]:
    return {
        **item["body"],
        "version": item["version"],
        "set_by": item["operator"],
        "set_at": output.wall_time(item["wall_seconds"]),
    }


def _template_fields(kind: str, run_seconds: str, idempotent: str) -> Fields:
    fields: Fields = {}
    _put(fields, "--kind", "kind", kind, values.choice("service", "batch"))
    _put(fields, "--run-seconds", "run_seconds", run_seconds, _number)
    _put(fields, "--idempotent", "idempotent", idempotent, values.flag)
    return fields


def _put(
    fields: Fields,
    flag: str,
    field: str,
    text: str,
    read: Callable[[str], Any],
) -> None:
    if text:
        fields[field] = commands.value(flag, text, read)


def _size(processors: str, memory_mb: str, accelerators: str) -> Fields:
    return {
        "processors": commands.value("--processors", processors, _number),
        "memory_mb": commands.value("--memory-mb", memory_mb, _whole),
        "accelerators": commands.value("--accelerators", accelerators, _whole),
    }


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise ValueError(f"expected a number, not {text!r}") from error


def _whole(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) < 16):
        raise ValueError(f"expected a whole number, not {text!r}")
    return int(text)


def _version(text: str) -> int:
    return commands.value("--base-version", text, _whole)


_urgency = values.choice("urgent", "normal", "deferrable")


def _services(text: str) -> dict[str, int]:
    if text == "none":
        return {}
    found = {}
    for item in text.split(","):
        service, equals, tasks = item.partition("=")
        if not equals:
            raise ValueError(f"expected service=tasks, not {item!r}")
        found[service] = _whole(tasks)
    return found


def _path_part(name: str) -> str:
    return commands.value("NAME", name, values.name)
