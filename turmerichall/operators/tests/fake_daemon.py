"""A fake of everything behind the operators' interface."""

from typing import NamedTuple

from turmerichall import outcomes
from turmerichall import readiness
from turmerichall.agreement import member
from turmerichall.agreement import message
from turmerichall.backend_servers import announcement
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


def _cut_off(zone: str) -> outcomes.Refusal:
    reason = outcomes.RefusalReason.UNREACHABLE
    return outcomes.Refusal(reason, f"zone {zone} is cut off")


class FakeDaemon:
    """Applies changes at once; refuses or loses them when told to."""

    def __init__(self) -> None:
        self.machine = machine.StateMachine()
        self.outcome: outcomes.Refusal | outcomes.Unknown | None = None
        self.barrier_refusal: outcomes.Refusal | None = None
        self.readiness = readiness.Readiness(self)
        self.announcements: list[announcement.Announcement] = []
        self.members: member.Members = ()
        self.shown = FakeStatus()
        self.directory = directory.Directory(self.machine.configuration)
        self.feasibility = cross_zone_feasibility.FeasibilityChecker(
            self.directory
        )
        self.jobs: dict[str, inspection.JobStatus] = {}
        self.zones: dict[str, placement_queries.ZoneStatus] = {}

    async def submit(
        self, change: changes.Change
    ) -> changes.Result | outcomes.Refusal | outcomes.Unknown:
        """Applies a change."""
        if isinstance(self.outcome, outcomes.Refusal):
            return self.outcome
        index = self.machine.applied_index + 1
        data = self.machine.apply(index, changes.encode(change))
        return self.outcome or changes.decode_result(data)

    async def announce(
        self, told: announcement.Announcement
    ) -> announcement.Reply:
        """Takes an announcement."""
        self.announcements.append(told)
        return announcement.Reply(True, epoch=3)

    async def job_status(
        self, zone: str, job_id: str, forward: bool = True
    ) -> inspection.JobStatus | outcomes.Refusal:
        """Tells what the test wants."""
        assert job_id and forward
        return self.jobs.get(zone) or _cut_off(zone)

    async def zone_status(
        self, zone: str, forward: bool = True
    ) -> placement_queries.ZoneStatus | outcomes.Refusal:
        """Tells what the test wants."""
        assert forward
        return self.zones.get(zone) or _cut_off(zone)

    async def update(self, update: updates.Update) -> updates.UpdateReply:
        """Asks for a whole announcement."""
        del update
        refused = announcement.Reply(False)
        return updates.UpdateReply(refused, whole="unknown_base")

    def status(self) -> FakeStatus:
        """Returns a status."""
        return self.shown._replace(members=self.members)

    async def barrier(
        self, timeout_seconds: float = 2.0
    ) -> outcomes.Refusal | None:
        """Answers as the test wants."""
        assert timeout_seconds > 0
        return self.barrier_refusal

    async def change_members(
        self,
        action: message.MemberAction,
        name: str,
        address: str = "",
        timeout_seconds: float = 10.0,
    ) -> member.Members | outcomes.Refusal | outcomes.Unknown:
        """Adds or removes at once."""
        assert timeout_seconds > 0
        if self.outcome is not None:
            return self.outcome
        kept = [found for found in self.members if found.name != name]
        if action == message.MemberAction.ADD:
            kept.append(member.Member(name, "", address))
        self.members = tuple(kept)
        return self.members

    def application(
        self,
        counted: counters.Counters,
        bounds: exchange.Bounds = exchange.Bounds(),
    ) -> application.Application:
        """Returns the application on top of this daemon."""
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
            counters=counted,
            log=logs.Log("operators"),
            bounds=bounds,
        )
