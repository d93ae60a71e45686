"""Parts of the daemon that the operators' interface depends on."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from turmerichall import outcomes
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import directory
from turmerichall.backend_servers import updates
from turmerichall.operators import exchange
from turmerichall.placement import inspection
from turmerichall.settings import settings
from turmerichall.state import machine as machines
from turmerichall.state import proposer
from turmerichall.telemetry import counters as metrics
from turmerichall.telemetry import logs
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import placement_queries

__all__ = [
    "Announcements",
    "PlacementQueries",
    "Replica",
    "ReplicaStatus",
    "Services",
]

PART = "operators"


class Announcements(Protocol):
    """Handler of workers' announcements."""

    async def announce(
        self, announcement: announcements.Announcement
    ) -> announcements.Reply:
        """Process an announcement and return the reply to the worker."""

    async def update(self, update: updates.Update) -> updates.UpdateReply:
        """Process an update of an earlier announcement and return the reply.

        The reply may request a full announcement instead.
        """


class PlacementQueries(Protocol):
    """Queries to placement authorities; see `zones.placement_queries`."""

    async def job_status(
        self, zone: str, job_id: str, forward: bool = True
    ) -> inspection.JobStatus | outcomes.Refusal:
        """Return a job's status according to the authority of a zone.

        Args:
            zone: Availability zone.
            job_id: Id of the job.
            forward: Whether the query may be sent to another instance.

        Returns:
            The status, or why there is no answer.
        """

    async def zone_status(
        self, zone: str, forward: bool = True
    ) -> placement_queries.ZoneStatus | outcomes.Refusal:
        """Return the status of a zone according to its authority.

        Args:
            zone: Availability zone.
            forward: Whether the query may be sent to another instance.

        Returns:
            The status, or why there is no answer.
        """


class ReplicaStatus(Protocol):
    """Status of this instance's replica, as the HTTP handlers read it."""

    @property
    def name(self) -> str:
        """Name of this instance."""

    @property
    def leader(self) -> str:
        """Name of the leader of the replica group; empty if it is unknown."""

    @property
    def seconds_since_quorum(self) -> float:
        """Time since a quorum was last known to be connected, in seconds."""

    @property
    def members(self) -> member.Members:
        """Voting members of the replica group."""

    @property
    def learners(self) -> member.Members:
        """Members that do not vote yet because they are catching up."""


class Replica(Protocol):
    """Replica of this instance, as the HTTP handlers use it."""

    def status(self) -> ReplicaStatus:
        """Return the status of the replica, which must be a `NamedTuple`."""

    async def barrier(
        self, timeout_seconds: float = 2.0
    ) -> outcomes.Refusal | None:
        """Wait until every change committed before the call is applied here.

        Returns:
            None, or why the wait failed.
        """

    async def change_members(
        self,
        action: message.MemberAction,
        name: str,
        address: str = "",
        timeout_seconds: float = 10.0,
    ) -> member.Members | outcomes.Refusal | outcomes.Unknown:
        """Add an instance to the replica group or remove one.

        Returns:
            The members after the change, or why the change failed or may have
            failed.
        """


class Services(NamedTuple):
    """Parts of the daemon that are passed to every handler.

    Attributes:
        machine: The replicated state.
        submitter: Submits changes to the replicated log.
        announcements: Processes workers' announcements.
        directory: Backend servers that this instance knows from announcements.
        placement_queries: Queries to the placement authorities.
        feasibility: Checks whether any worker can ever run a task.
        replica: Replica of this instance, for its status, for barriers and for
            changes of the replica group.
        readiness: Returns None if the load balancer may send requests here, or
            why it should not.
        keys: Shared secrets of the instances, the operators and the workers.
        counters: Metrics of the daemon.
        log: Log of the operators' interface.
        bounds: Limits on the size of requests and on the time they may take.
    """

    machine: machines.StateMachine
    submitter: proposer.Submitter
    announcements: Announcements
    directory: directory.Directory
    placement_queries: PlacementQueries
    feasibility: cross_zone_feasibility.FeasibilityChecker
    replica: Replica
    readiness: Callable[[], outcomes.Refusal | None]
    keys: settings.Keys
    counters: metrics.Counters
    log: logs.Log
    bounds: exchange.Bounds = exchange.Bounds()
