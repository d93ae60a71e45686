"""Settings of the daemon that serves queues, and how they are read."""

from typing import NamedTuple

from turmerichall import errors
from turmerichall.settings import ini
from turmerichall.settings import reader
from turmerichall.settings import settings
from turmerichall.settings import values

__all__ = [
    "Instance",
    "Listen",
    "Policy",
    "QueueSettings",
    "Replicas",
    "Timing",
    "load",
]


class Instance(NamedTuple):
    """Who this instance is.

    Attributes:
        name: Unique name.
        zone: Availability zone that it stands in.
        role: `entry` or `replica`.
        data_folder: Folder of the replicated state, of a replica.
    """

    name: str
    zone: str
    role: str
    data_folder: str = ""


class Listen(NamedTuple):
    """Where this instance listens, each as `host:port`; empty for nowhere.

    Attributes:
        clients: For clients' calls, behind the balancer.
        ready: For the balancer's question whether to send clients.
        control: For workers and operators.
        peers: For other instances.
        metrics: For the metrics of this process.
    """

    clients: str = ""
    ready: str = ""
    control: str = ""
    peers: str = ""
    metrics: str = ""


class Replicas(NamedTuple):
    """How this instance finds the replicas.

    Attributes:
        seeds: Hosts of replicas, as IP numbers or `host:port`.
        port: Port on which each replica accepts other instances.
        bootstrap: Whether the seeds found a new cluster.
        losses: Replicas whose loss at the same time is borne, with their
            disks.
        key: Shared secret of all instances.
    """

    seeds: tuple[str, ...]
    port: int
    key: str
    bootstrap: bool = False
    losses: int = 1

    @property
    def max_voters(self) -> int:
        """Returns how many replicas vote; further ones stand by.

        Examples:
            >>> Replicas((), 7720, "", losses=2).max_voters
            5
        """
        return 2 * self.losses + 1

    def addresses(self) -> tuple[str, ...]:
        """Returns where the seeds accept other instances."""
        return tuple(
            f"{seed.rpartition(':')[0] or seed}:{self.port}"
            for seed in self.seeds
        )


class Policy(NamedTuple):
    """Where the policies of queues are known.

    Attributes:
        address: Of the service that tells which workers may run a step, as
            `host:port`; empty if there is none.
    """

    address: str = ""


class Timing(NamedTuple):
    """How long this instance waits.

    Attributes:
        grace_seconds: From the request to stop to its end.
    """

    grace_seconds: float = 6.0


class QueueSettings(NamedTuple):
    """All settings of one daemon that serves queues."""

    instance: Instance
    listen: Listen
    replicas: Replicas
    timing: Timing = Timing()
    policy: Policy = Policy()
    logs: settings.Logs = settings.Logs()


def _hosts(text: str) -> tuple[str, ...]:
    found = tuple(text.replace(",", " ").split())
    for item in found:
        values.port_address(item if ":" in item else f"{item}:1")
    return found


def _optional_address(text: str) -> str:
    return values.port_address(text) if text else ""


def _optional_path(text: str) -> str:
    return values.path(text) if text else ""


_SCHEMAS = {
    "instance": reader.Schema(
        Instance,
        {
            "name": reader.Key("name", values.name),
            "zone": reader.Key("zone", values.name),
            "role": reader.Key("role", values.choice("entry", "replica")),
            "data_folder": reader.Key("data_folder", _optional_path),
        },
    ),
    "listen": reader.Schema(
        Listen,
        {
            key: reader.Key(key, _optional_address)
            for key in ("clients", "ready", "control", "peers", "metrics")
        },
    ),
    "replicas": reader.Schema(
        Replicas,
        {
            "seeds": reader.Key("seeds", _hosts),
            "port": reader.Key("port", values.count),
            "key": reader.Key("key", values.secret),
            "bootstrap": reader.Key("bootstrap", values.flag),
            "losses": reader.Key("losses", values.count),
        },
    ),
    "timing": reader.Schema(
        Timing,
        {"grace": reader.Key("grace_seconds", values.duration)},
    ),
    "policy": reader.Schema(
        Policy,
        {"address": reader.Key("address", _optional_address)},
    ),
    "logs": reader.SECTIONS["logs"],
}


def load(path: str) -> QueueSettings:
    """Reads and checks a settings file.

    Raises:
        SettingsError: There are findings; it holds all of them.
    """
    sections, findings = ini.read(path)
    return _check(path, sections, findings)


def parse(text: str, path: str) -> QueueSettings:
    """Reads and checks the text of a settings file; see `load`.

    Examples:
        >>> try:
        ...     parse("[instance]\\nrole = both", "q.ini")
        ... except errors.SettingsError as error:
        ...     print(error.findings[-1].place)
        q.ini:2 [instance] role
    """
    sections, findings = ini.parse(text, path)
    return _check(path, sections, findings)


def _check(
    path: str,
    sections: dict[str, ini.Section],
    findings: list[errors.Finding],
) -> QueueSettings:
    reading = reader.Reading(path, findings, _SCHEMAS)
    made = reading.read_all(sections)
    instance, listen = made["instance"], made["listen"]
    if instance and instance.role == "replica" and not instance.data_folder:
        line = sections["instance"].line
        reading.find(line, "[instance] data_folder", "a replica needs one")
    needed = {"entry": ("clients", "ready"), "replica": ("control", "peers")}
    for key in needed[instance.role] if instance and listen else ():
        if not getattr(listen, key):
            line = sections["listen"].line if "listen" in sections else 1
            reason = f"is required for the role {instance.role}"
            reading.find(line, f"[listen] {key}", reason)
    if reading.findings:
        raise errors.SettingsError(reader.in_order(reading.findings))
    return QueueSettings(**made)
