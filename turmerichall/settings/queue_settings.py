"""Settings of the daemon that serves queues of jobs."""

import math
from typing import NamedTuple

from turmerichall import errors
from turmerichall.settings import ini
from turmerichall.settings import reader
from turmerichall.settings import settings
from turmerichall.settings import values

__all__ = [
    "Instance",
    "Limits",
    "Listen",
    "Policy",
    "QueueSettings",
    "Replicas",
    "Retention",
    "Scheduling",
    "Timing",
    "Zones",
    "load",
]


class Instance(NamedTuple):
    """Identity and role of this instance.

    Attributes:
        name: Unique name.
        zone: Availability zone of the instance.
        role: `entry` or `replica`.
        data_folder: Folder of the replicated state; only used by a replica.
    """

    name: str
    zone: str
    role: str
    data_folder: str = ""


class Listen(NamedTuple):
    """Addresses to listen on, as `host:port`; nothing is served if empty.

    Attributes:
        clients: Clients' calls, which arrive through the balancer.
        ready: Readiness checks of the balancer.
        control: Calls of workers and operators.
        peers: Connections of other instances.
        metrics: Metrics of this process.
    """

    clients: str = ""
    ready: str = ""
    control: str = ""
    peers: str = ""
    metrics: str = ""


class Replicas(NamedTuple):
    """Replicas of the cluster, and how to join them.

    Attributes:
        seeds: Hosts of the replicas that are contacted first to join the
            cluster, as IP addresses or `host:port`; `port` below is used
            instead of a port given here.
        port: Port on which each replica accepts other instances.
        key: Shared secret of all instances.
        bootstrap: Whether the seeds bootstrap a new cluster.
        losses: Number of replicas, with their disks, whose loss at the same
            time the cluster tolerates.
    """

    seeds: tuple[str, ...]
    port: int
    key: str
    bootstrap: bool = False
    losses: int = 1

    @property
    def max_voters(self) -> int:
        """The maximum number of replicas that vote in the consensus.

        It is such that a majority of the voters remains after `losses` of them
        are lost. Further replicas are standbys.

        Examples:
            >>> Replicas((), 7720, "", losses=2).max_voters
            5
        """
        return 2 * self.losses + 1

    def addresses(self) -> tuple[str, ...]:
        """Return the addresses at which the seeds accept other instances."""
        return tuple(
            f"{seed.rpartition(':')[0] or seed}:{self.port}"
            for seed in self.seeds
        )


class Policy(NamedTuple):
    """Where to find the policy service of the queues.

    Attributes:
        address: Address of the service that decides which workers may run a
            step, as `host:port`; empty if there is none.
    """

    address: str = ""


class Timing(NamedTuple):
    """Time limits of this instance.

    Attributes:
        grace_seconds: Time between a request to stop the daemon and the end of
            its process.
    """

    grace_seconds: float = 6.0


class Scheduling(NamedTuple):
    """Decisions of the scheduler that a deployment asks for.

    Attributes:
        order: Order of waiting batch tasks: `slack`, by the time left to their
            objective, or `remaining_work`, by the work that their job still
            needs.
        backfill: Whether waiting tasks that fit nowhere hold claims on the room
            that will be free first.
        admission: `backlog`, by the waiting work as a whole, or `fair`, by
            predicted finish, returns and shares.
        colocation: `plain`, or `careful`: best-effort tasks start slowly beside
            long-running ones that they may disturb.
    """

    order: str = "slack"
    backfill: bool = False
    admission: str = "backlog"
    colocation: str = "plain"


class Zones(NamedTuple):
    """Availability zones of the deployment.

    Attributes:
        names: Names of the zones; if empty, any zone of a worker is known.
    """

    names: tuple[str, ...] = ()


class Limits(NamedTuple):
    """What the machine gives to this instance.

    Attributes:
        disk_mb: Size of the disk in MB; 0 if unknown.
        memory_mb: Memory that the process may use, in MB; 0 if unknown.
    """

    disk_mb: int = 0
    memory_mb: int = 0

    def or_else(self, other: "Limits") -> "Limits":
        """Return these limits, with those of another for unknown ones.

        Examples:
            >>> Limits(128).or_else(Limits(64, 296))
            Limits(disk_mb=128, memory_mb=296)
        """
        return Limits(
            self.disk_mb or other.disk_mb, self.memory_mb or other.memory_mb
        )


class Retention(NamedTuple):
    """How long records are kept in the replicated state.

    Attributes:
        ended_seconds: How long a record is kept after its use has ended: a job
            after its end, a worker after it was last heard from.
    """

    ended_seconds: float = 3600.0


class Release(NamedTuple):
    """When what a new release brings is put in force.

    Attributes:
        finalize: `auto`, or `manual` to leave it to operators.
        finalize_seconds: For how long all replicas have to run the release
            before, with `auto`.
    """

    finalize: str = "auto"
    finalize_seconds: float = 3600.0

    def after_seconds(self) -> float:
        """Return the time until it is put in force; infinite for `manual`."""
        return self.finalize_seconds if self.finalize == "auto" else math.inf


class QueueSettings(NamedTuple):
    """All settings of a daemon that serves queues."""

    instance: Instance
    listen: Listen
    replicas: Replicas
    timing: Timing = Timing()
    policy: Policy = Policy()
    scheduling: Scheduling = Scheduling()
    zones: Zones = Zones()
    limits: Limits = Limits()
    retention: Retention = Retention()
    release: Release = Release()
    logs: settings.Logs = settings.Logs()


def _parse_hosts(text: str) -> tuple[str, ...]:
    hosts = tuple(text.replace(",", " ").split())
    for host in hosts:
        values.port_address(host if ":" in host else f"{host}:1")
    return hosts


def _optional_address(text: str) -> str:
    return values.port_address(text) if text else ""


def _optional_count(text: str) -> int:
    return values.count(text) if text not in ("", "0") else 0


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
            "seeds": reader.Key("seeds", _parse_hosts),
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
    "scheduling": reader.Schema(
        Scheduling,
        {
            "order": reader.Key(
                "order", values.choice("slack", "remaining_work")
            ),
            "backfill": reader.Key("backfill", values.flag),
            "admission": reader.Key(
                "admission", values.choice("backlog", "fair")
            ),
            "colocation": reader.Key(
                "colocation", values.choice("plain", "careful")
            ),
        },
    ),
    "zones": reader.Schema(Zones, {"names": reader.Key("names", values.names)}),
    "limits": reader.Schema(
        Limits,
        {
            key: reader.Key(key, _optional_count)
            for key in ("disk_mb", "memory_mb")
        },
    ),
    "retention": reader.Schema(
        Retention,
        {"ended": reader.Key("ended_seconds", values.duration)},
    ),
    "release": reader.Schema(
        Release,
        {
            "finalize": reader.Key("finalize", values.choice("auto", "manual")),
            "finalize_after": reader.Key("finalize_seconds", values.duration),
        },
    ),
    "logs": reader.SECTIONS["logs"],
}


def load(path: str) -> QueueSettings:
    """Read and check a settings file.

    Raises:
        SettingsError: The file has findings; the error holds all of them.
    """
    sections, findings = ini.read(path)
    return _check(path, sections, findings)


def parse(text: str, path: str) -> QueueSettings:
    """Read and check the text of a settings file; see `load`.

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
    section_reader = reader.SectionReader(path, findings, _SCHEMAS)
    records = section_reader.read_all(sections)
    instance, listen = records["instance"], records["listen"]
    if instance and instance.role == "replica" and not instance.data_folder:
        line = sections["instance"].line
        section_reader.add_finding(
            line, "[instance] data_folder", "is required for the role replica"
        )
    required_keys = {
        "entry": ("clients", "ready"),
        "replica": ("control", "peers"),
    }
    for key in required_keys[instance.role] if instance and listen else ():
        if not getattr(listen, key):
            line = sections["listen"].line if "listen" in sections else 1
            reason = f"is required for the role {instance.role}"
            section_reader.add_finding(line, f"[listen] {key}", reason)
    if section_reader.findings:
        raise errors.SettingsError(reader.sort_by_line(section_reader.findings))
    return QueueSettings(**records)
