"""Queues and services as operators configured them."""

from typing import NamedTuple

from turmerichall.http1 import server

__all__ = ["Advice", "Configuration", "Queue", "Service"]


class Advice(NamedTuple):
    """What asking the policy of a queue costs.

    Attributes:
        decision_ms: Time of one call.
        per_worker_ms: Further time for each worker named.
        validity_ms: How long a ticket may be used.
    """

    decision_ms: int = 0
    per_worker_ms: int = 0
    validity_ms: int = 0


class Queue(NamedTuple):
    """A queue that callers hand jobs to.

    Attributes:
        name: Its name.
        host: Host that callers ask for.
        path_prefix: Paths that begin with it belong to the queue.
        service: Service whose workers run its tasks.
        priority: 0 comes first, and may preempt others.
        max_attempts: Runs of a task that may fail.
        stretch: The objective is this many times the longest chain of work.
        target_latency_ms: Added to that.
        timeout_ms: Longest time for a call.
        advice: Set if only some workers may run its steps.
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
        """Identifies the queue in every configuration that lists it."""
        return self.host + self.path_prefix

    def objective_seconds(self, critical_path_seconds: float) -> float:
        """Returns in what time a job should be done.

        Args:
            chain_seconds: Its longest chain of work.

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
        name: Its name.
        health_path: Where a worker answers whether it is well.
        max_connections: Connections that one worker takes.
        refuses_overload: Whether workers refuse what does not fit.
        standby: Whether its machines are off.
    """

    name: str
    health_path: str = ""
    max_connections: int = 64
    refuses_overload: bool = False
    standby: bool = False


class Configuration(NamedTuple):
    """A complete configuration.

    Attributes:
        version: The highest one is in force.
        queues: The queues.
        services: The services.
        limits: Bounds on callers' requests.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: server.Limits = server.Limits()

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue that a call belongs to.

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
