"""Fake of the daemon behind the operators' interface."""

from typing import NamedTuple

from turmerichall import outcomes
from turmerichall import readiness
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.backend_servers import announcement as announcements
from turmerichall.backend_servers import directory
from turmerichall.backend_servers import updates
from turmerichall.operators import application
from turmerichall.operators import exchange
from turmerichall.placement import inspection
from turmerichall.settings import settings
from turmerichall.state import change as changes
from turmerichall.state import machine
from turmerichall.telemetry import counters
from turmerichall.telemetry import logs
from turmerichall.zones import cross_zone_feasibility
from turmerichall.zones import placement_queries

__all__ = ["FakeDaemon", "KEYS"]

KEYS = settings.Keys("cluster-key-of-tests", "operators-key", "workers-key")


class FakeStatus(NamedTuple):
    """Status of the fake replica."""

    name: str = "i1"
    leader: str = "i1"
    seconds_since_quorum: float = 0.0
    applied: int = 1
    stopped: str = ""
    recovered: bool = True
    members: member.Members = ()
    learners: member.Members = ()


def _unreachable(zone: str) -> outcomes.Refusal:
    reason = outcomes.RefusalReason.UNREACHABLE
    return outcomes.Refusal(reason, f"zone {zone} is unreachable")


class FakeDaemon:
    """Applies changes immediately, and fails as the test requires.

    Attributes:
        outcome: Returned in place of a change's result, unless None: a refusal,
            whose change is not applied, or an unknown outcome, whose change is
            applied. Changes of members are applied in neither case.
        barrier_refusal: Result of barriers; None if they succeed.
        announcements: Received announcements.
        members: Members of the replica group.
        replica_status: Status of the replica, without its members.
        job_statuses: Status of any job, by zone; other zones are unreachable.
        zone_statuses: Status of a zone, by zone; others are unreachable.
    """

    def __init__(self) -> None:
        self.machine = machine.StateMachine()
        self.outcome: outcomes.Refusal | outcomes.Unknown | None = None
        self.barrier_refusal: outcomes.Refusal | None = None
        self.readiness = readiness.Readiness(self)
        self.announcements: list[announcements.Announcement] = []
        self.members: member.Members = ()
        self.replica_status = FakeStatus()
        self.directory = directory.Directory(self.machine.configuration)
        self.feasibility = cross_zone_feasibility.FeasibilityChecker(
            self.directory
        )
        self.job_statuses: dict[str, inspection.JobStatus] = {}
        self.zone_statuses: dict[str, placement_queries.ZoneStatus] = {}

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Apply a change and return its result or `outcome`."""
        if isinstance(self.outcome, outcomes.Refusal):
            return self.outcome
        index = self.machine.applied_index + 1
        data = self.machine.apply(index, changes.encode(change))
        return self.outcome or changes.decode_result(data)

    async def announce(
        self, announcement: announcements.Announcement
    ) -> announcements.Reply:
        """Record an announcement and accept it."""
        self.announcements.append(announcement)
        return announcements.Reply(True, epoch=3)

    async def job_status(
        self, zone: str, job_id: str, forward: bool = True
    ) -> inspection.JobStatus | outcomes.Refusal:
        """Return the status that the test set for the zone."""
        assert job_id and forward
        return self.job_statuses.get(zone) or _unreachable(zone)

    async def zone_status(
        self, zone: str, forward: bool = True
    ) -> placement_queries.ZoneStatus | outcomes.Refusal:
        """Return the status that the test set for the zone."""
        assert forward
        return self.zone_statuses.get(zone) or _unreachable(zone)

    async def update(self, update: updates.Update) -> updates.UpdateReply:
        """Request a full announcement."""
        del update
        refused = announcements.Reply(False)
        return updates.UpdateReply(refused, whole="unknown_base")

    def status(self) -> FakeStatus:
        """Return the status of the replica with the current members."""
        return self.replica_status._replace(members=self.members)

    async def barrier(
        self, timeout_seconds: float = 2.0
    ) -> outcomes.Refusal | None:
        """Return the result that the test set."""
        assert timeout_seconds > 0
        return self.barrier_refusal

    async def change_members(
        self,
        action: message.MemberAction,
        name: str,
        address: str = "",
        timeout_seconds: float = 10.0,
    ) -> member.Members | outcomes.Refusal | outcomes.Unknown:
        """Add or remove a member immediately, or return `outcome`."""
        assert timeout_seconds > 0
        if self.outcome is not None:
            return self.outcome
        remaining = [found for found in self.members if found.name != name]
        if action == message.MemberAction.ADD:
            remaining.append(member.Member(name, "", address))
        self.members = tuple(remaining)
        return self.members

    def application(
        self,
        metrics: counters.Counters,
        bounds: exchange.Bounds = exchange.Bounds(),
    ) -> application.Application:
        """Return an application that uses this fake for all its parts."""
        return application.Application(
            machine=self.machine,
            submitter=self,
            announcements=self,
            directory=self.directory,
            placement_queries=self,
            feasibility=self.feasibility,
            replica=self,
            readiness=self.readiness,
            keys=KEYS,
            counters=metrics,
            log=logs.Log("operators"),
            bounds=bounds,
        )
