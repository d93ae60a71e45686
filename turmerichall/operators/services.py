"""What the operators' interface needs of the rest of a daemon."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from turmerichall import outcomes
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.backend_servers import announcement
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
    """Takes announcements of workers."""

    async def announce(
        self, told: announcement.Announcement
    ) -> announcement.Reply:
        """Takes an announcement and returns what the worker is to do."""

    async def update(self, update: updates.Update) -> updates.UpdateReply:
        """Takes what changed since an announcement, or asks for a whole one."""


class PlacementQueries(Protocol):
    """Queries to placement authorities; see `zones.placement_queries`."""

    async def job_status(
        self, zone: str, job_id: str, forward: bool = True
    ) -> inspection.JobStatus | outcomes.Refusal:
        """Asks the authority of a zone about a job."""

    async def zone_status(
        self, zone: str, forward: bool = True
    ) -> placement_queries.ZoneStatus | outcomes.Refusal:
        """Asks the authority of a zone about its workers and decisions."""


class ReplicaStatus(Protocol):
    """What operators are shown of a replica, besides its whole status."""

    @property
    def name(self) -> str:
        """Name of this instance."""

    @property
    def leader(self) -> str:
        """Name of the leader, or empty."""

    @property
    def seconds_since_quorum(self) -> float:
        """How long ago a quorum was in contact."""

    @property
    def members(self) -> member.Members:
        """The voters."""

    @property
    def learners(self) -> member.Members:
        """Replicas that are not caught up yet."""


class Replica(Protocol):
    """The part of a replica that operators see."""

    def status(self) -> ReplicaStatus:
        """Returns its state as a `NamedTuple`."""

    async def barrier(
        self, timeout_seconds: float = 2.0
    ) -> outcomes.Refusal | None:
        """Waits until everything committed before the call is applied here."""

    async def change_members(
        self,
        action: message.MemberAction,
        name: str,
        address: str = "",
        timeout_seconds: float = 10.0,
    ) -> member.Members | outcomes.Refusal | outcomes.Unknown:
        """Adds a replica or removes one, and returns the members after it."""


class Services(NamedTuple):
    """Everything that a handler may use.

    Attributes:
        machine: The replicated state.
        submitter: Submits changes to the replicated log.
        announcements: Takes announcements of workers.
        directory: Backend servers as they are known here.
        placement_queries: Asks the placing authorities.
        feasibility: Tells whether a task can ever run.
        replica: Status, reads and membership.
        readiness: Why the balancer should not send now, or None.
        keys: Shared secrets.
        counters: Metrics.
        log: Log of this part.
        bounds: Bounds on requests.
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
