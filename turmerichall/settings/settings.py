"""Settings of a daemon and of a command, as typed values."""

from typing import NamedTuple

from turmerichall.settings import values

__all__ = [
    "Instance",
    "Keys",
    "Limits",
    "Listen",
    "Logs",
    "Peers",
    "Placement",
    "Settings",
    "Timing",
]


class Instance(NamedTuple):
    """Who this instance is.

    Attributes:
        name: Unique name.
        region: Region that it stands in.
        zone: Availability zone that it stands in.
        data_folder: Folder of the replicated state; empty if it has no disk.
    """

    name: str
    region: str
    zone: str
    data_folder: str = ""


class Listen(NamedTuple):
    """Where this instance listens, each as `host:port`.

    Attributes:
        callers: For callers' requests, behind the balancer.
        operators: For operators and for workers' announcements.
        peers: For other instances, which are told it.
        peers_bind: Where connections to `peers` arrive, if they are forwarded;
            `peers` itself if empty.
    """

    callers: str
    operators: str
    peers: str
    peers_bind: str = ""


class Peers(NamedTuple):
    """How this instance finds the others.

    Attributes:
        seeds: Instances to join by.
        bootstrap: Whether this instance makes a new cluster with others.
        founders: Names of the instances with a disk that make it; this one
            and all seeds if there are none.
    """

    seeds: tuple[values.Seed, ...] = ()
    bootstrap: bool = False
    founders: tuple[str, ...] = ()

    def founder_addresses(self, own: values.Seed) -> dict[str, str]:
        """Returns the addresses of the founders by name.

        Args:
            own: This instance.

        Returns:
            The founders; none if this instance founds nothing.
        """
        if not self.bootstrap:
            return {}
        known = {seed.name: seed.address for seed in (*self.seeds, own)}
        chosen = self.founders or tuple(known)
        return {name: known[name] for name in chosen}


class Keys(NamedTuple):
    """Shared secrets; their text never shows in logs or errors.

    Attributes:
        cluster: Between instances.
        operators: Of operators.
        workers: Of workers, for announcements and commands.
    """

    cluster: str
    operators: str
    workers: str

    def __repr__(self) -> str:
        return "Keys(...)"


class Limits(NamedTuple):
    """Bounds on what this instance takes.

    Attributes:
        max_request_bytes: Size of the body of one request.
        max_requests_in_flight: Requests that are being routed or run at once.
        queue_length: Requests that wait for a backend server at once.
        retry_ratio: Retries allowed for each request in the long run.
        default_deadline_seconds: Deadline of a request that names none.
        max_deadline_seconds: Longest deadline that a request may name.
        max_header_count: Header fields of an operator's or worker's request.
        max_header_bytes: Size of those header fields in sum.
    """

    max_request_bytes: int = 4 * 1024**2
    max_requests_in_flight: int = 256
    queue_length: int = 128
    retry_ratio: float = 0.1
    default_deadline_seconds: float = 10.0
    max_deadline_seconds: float = 60.0
    max_header_count: int = 64
    max_header_bytes: int = 16 * 1024


class Placement(NamedTuple):
    """What placement weighs most.

    Attributes:
        preset: `batch-throughput` or `tail-latency`.
    """

    preset: str = "tail-latency"


class Timing(NamedTuple):
    """How long this instance waits.

    Attributes:
        slow_sender_timeout_seconds: For the whole body of an operator's or
            worker's request.
        drain_notice_seconds: Between `/readyz` saying no and closing the
            listeners.
        drain_limit_seconds: For requests in flight when it stops.
    """

    slow_sender_timeout_seconds: float = 10.0
    drain_notice_seconds: float = 3.0
    drain_limit_seconds: float = 60.0


class Logs(NamedTuple):
    """Where logs go.

    Attributes:
        level: Lowest level that is written.
        file: File to append to; standard error if empty.
    """

    level: str = "info"
    file: str = ""


class Settings(NamedTuple):
    """All settings of one daemon."""

    instance: Instance
    listen: Listen
    keys: Keys
    peers: Peers = Peers()
    limits: Limits = Limits()
    placement: Placement = Placement()
    timing: Timing = Timing()
    logs: Logs = Logs()
