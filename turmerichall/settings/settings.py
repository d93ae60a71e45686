"""Settings of a daemon as typed records."""

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
    """Identity of this instance.

    Attributes:
        name: Unique name.
        region: Region of the instance.
        zone: Availability zone of the instance.
        data_folder: Folder of the replicated state; empty for an instance
            without a disk.
    """

    name: str
    region: str
    zone: str
    data_folder: str = ""


class Listen(NamedTuple):
    """Addresses to listen on, as `host:port`.

    Attributes:
        callers: Callers' requests, which arrive through the balancer.
        operators: Operators' requests and workers' announcements.
        peers: Connections of other instances; this address is advertised to
            them.
        peers_bind: Address to listen on for other instances, if connections to
            `peers` are forwarded to it; `peers` if empty.
    """

    callers: str
    operators: str
    peers: str
    peers_bind: str = ""


class Peers(NamedTuple):
    """How this instance joins or bootstraps a cluster.

    Attributes:
        seeds: Instances that are contacted first to join the cluster.
        bootstrap: Whether this instance bootstraps a new cluster.
        founders: Names of the instances with a disk that are the first members
            of the new cluster; if empty, this instance and all seeds.
    """

    seeds: tuple[values.Seed, ...] = ()
    bootstrap: bool = False
    founders: tuple[str, ...] = ()

    def founder_addresses(self, own: values.Seed) -> dict[str, str]:
        """Return the addresses of the founders by name.

        Args:
            own: Name and address of this instance.

        Returns:
            The addresses; empty if this instance bootstraps no cluster.
        """
        if not self.bootstrap:
            return {}
        addresses = {seed.name: seed.address for seed in (*self.seeds, own)}
        names = self.founders or tuple(addresses)
        return {name: addresses[name] for name in names}


class Keys(NamedTuple):
    """Shared secrets, which never appear in logs or errors.

    Attributes:
        cluster: Secret of the instances.
        operators: Secret of the operators.
        workers: Secret of the workers, for their announcements and for the
            commands that instances send to them.
    """

    cluster: str
    operators: str
    workers: str

    def __repr__(self) -> str:
        return "Keys(...)"


class Limits(NamedTuple):
    """Limits on the requests that this instance accepts.

    Attributes:
        max_request_bytes: Maximum size of the body of a request.
        max_held_bytes: Maximum size of all requests of callers that are in
            memory, complete or not.
        max_requests_in_flight: Maximum number of requests of callers that hold
            a slot of a backend server at the same time; others wait in the
            queue.
        queue_length: Maximum number of requests that wait for a slot of a
            backend server.
        retry_ratio: Number of retries allowed per request, on average over
            time.
        default_deadline_seconds: Time until the deadline of a request that
            gives none.
        max_deadline_seconds: Longest time until its deadline that a request
            may give.
        max_header_count: Maximum number of header fields in a request of an
            operator or a worker.
        max_header_bytes: Maximum total size of those header fields.
    """

    max_request_bytes: int = 4 * 1024**2
    max_requests_in_flight: int = 256
    queue_length: int = 128
    retry_ratio: float = 0.1
    default_deadline_seconds: float = 10.0
    max_deadline_seconds: float = 60.0
    max_header_count: int = 64
    max_header_bytes: int = 16 * 1024
    max_held_bytes: int = 64 * 1024**2


class Placement(NamedTuple):
    """Objective of the placement of tasks on workers.

    Attributes:
        preset: What placement favors: the throughput of batch jobs
            (`batch-throughput`) or the tail latency of services
            (`tail-latency`).
    """

    preset: str = "tail-latency"


class Timing(NamedTuple):
    """Time limits of this instance.

    Attributes:
        slow_sender_timeout_seconds: Timeout of receiving the whole body of a
            request of an operator or a worker.
        drain_notice_seconds: Delay between `/readyz` reporting "not ready" and
            closing the listeners.
        drain_limit_seconds: How long requests in flight may still run when the
            instance stops.
    """

    slow_sender_timeout_seconds: float = 10.0
    drain_notice_seconds: float = 3.0
    drain_limit_seconds: float = 60.0


class Logs(NamedTuple):
    """Log output.

    Attributes:
        level: Lowest level that is written.
        file: File to append to; standard error if empty.
    """

    level: str = "info"
    file: str = ""


class Settings(NamedTuple):
    """All settings of a daemon."""

    instance: Instance
    listen: Listen
    keys: Keys
    peers: Peers = Peers()
    limits: Limits = Limits()
    placement: Placement = Placement()
    timing: Timing = Timing()
    logs: Logs = Logs()
