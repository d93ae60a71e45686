"""Configuration of queues and services, as set by operators."""

from typing import NamedTuple

from turmerichall.http1 import server

__all__ = ["Advice", "Configuration", "Queue", "Service"]


class Advice(NamedTuple):
    """Time that a call to a queue's policy takes, and validity of tickets.

    Attributes:
        decision_ms: Fixed time that one call takes.
        per_worker_ms: Additional time for each worker named in the call.
        validity_ms: Time for which a ticket may be used.
    """

    decision_ms: int = 0
    per_worker_ms: int = 0
    validity_ms: int = 0


class Queue(NamedTuple):
    """A queue to which callers submit jobs.

    Attributes:
        name: Name of the queue.
        host: Host that callers name in their requests.
        path_prefix: Prefix of the request paths that belong to the queue.
        service: Name of the service whose workers run its tasks.
        priority: Priority of its jobs; 0 is the highest and may preempt others.
        max_attempts: Number of failed runs of a task after which its job fails.
        stretch: Factor on the estimated time of a job's critical path; the
            product is part of the time within which the job should be done.
        target_latency_ms: Constant part of that time.
        timeout_ms: Timeout of a caller's request.
        advice: Duration of calls to the policy, which decides which workers may
            run a step, and validity of its tickets; None if any worker may.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    stretch: float = 2.0
    target_latency_ms: int = 1000
    timeout_ms: int = 3000
    advice: Advice | None = None

    @property
    def key(self) -> str:
        """Key that identifies the queue in every configuration version."""
        return self.host + self.path_prefix

    def objective_seconds(self, critical_path_seconds: float) -> float:
        """Return the time within which a job should be done, in seconds.

        Args:
            critical_path_seconds: Estimated time of the job's critical path.

        Examples:
            >>> Queue("q", "a", "/", "s").objective_seconds(3.0)
            7.0
        """
        return (
            self.stretch * critical_path_seconds + self.target_latency_ms / 1000
        )


class Service(NamedTuple):
    """A pool of workers.

    Attributes:
        name: Name of the service.
        health_path: Path of a worker's health check.
        max_connections: Maximum number of connections to one worker.
        refuses_overload: Whether workers refuse work beyond their capacity.
        standby: Whether the machines of the pool are powered off.
    """

    name: str
    health_path: str = ""
    max_connections: int = 64
    refuses_overload: bool = False
    standby: bool = False


class Configuration(NamedTuple):
    """A complete configuration.

    Attributes:
        version: Version number; the highest version is in force, and 0 means
            that no configuration was received yet.
        queues: The queues.
        services: The services.
        limits: Limits on callers' requests.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: server.Limits = server.Limits()

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching path prefix, or None.

        Examples:
            >>> queue = Queue("q", "a.example", "/jobs/", "s")
            >>> Configuration(1, (queue,)).find("a.example", "/jobs/7").name
            'q'
        """
        found: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if found is None or len(queue.path_prefix) > len(found.path_prefix):
                found = queue
        return found
