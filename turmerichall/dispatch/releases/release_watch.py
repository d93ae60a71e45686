"""The leader's watch over the releases of the replicas."""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

import trio

from turmerichall import errors
from turmerichall import outcomes
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch.releases import raising
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import levels
from turmerichall.queues import state as states
from turmerichall.supervision import reporter as reporters

__all__ = ["Options", "Owner", "ReleaseWatch"]

# Time between two looks at the members.
CHECK_SECONDS = 1.0


class Options(NamedTuple):
    """What decides when the level in force is raised.

    Attributes:
        own_name: Name of this replica.
        members: Returns the names of all voters and learners.
        connected: Returns the levels that the connected replicas read, by name.
        after_seconds: For how long all replicas have to read a level until it
            is put in force; infinite to leave this to operators.
    """

    own_name: str = "self"
    members: Callable[[], Iterable[str]] = lambda: ("self",)
    connected: Callable[[], Mapping[str, int]] = lambda: {}
    after_seconds: float = 3600.0


class Owner(Protocol):
    """Interface of the leader; `leadership.Leadership` implements it."""

    queue_state: states.QueueState
    log: link.Log

    async def commit(
        self, change: changes.Change
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        """Commit a change; return None, or why it failed or is uncertain."""


class ReleaseWatch:
    """Watch over the replicas' releases, while this replica leads.

    Attributes:
        leader: Returns the leader's work; None if this replica does not lead.
        options: When the level is raised.
        known: Levels that the replicas read, as seen in this term.
        reporter: Receives failures of the watch.
    """

    def __init__(
        self,
        leader: Callable[[], Owner | None],
        options: Options,
        reporter: reporters.FailureReporter,
    ):
        self.leader = leader
        self.options = options
        self.reporter = reporter
        self._begin(None)

    def _begin(self, owner: Owner | None) -> None:
        """Begin anew in another term."""
        self.known = raising.MemberLevels(self.options.own_name, levels.LATEST)
        self._owner = owner
        # Since when all replicas have read a level above that in force.
        self._since = float("inf")

    async def run(self) -> None:
        """Raise the level when it may be, until cancelled."""
        while True:
            try:
                await self.check(leases.steady_seconds())
            except errors.StorageError:
                raise
            # The replica does everything else without it.
            # pylint: disable-next=broad-exception-caught
            except Exception as error:
                self.reporter.report("watch over releases", error)
            await trio.sleep(CHECK_SECONDS)

    async def check(self, now: float) -> None:
        """Look at the members, and raise the level if that is due.

        Args:
            now: Current time on the steady clock.
        """
        owner = self.leader()
        if owner is not self._owner:
            self._begin(owner)
        if owner is None:
            return
        options, state = self.options, owner.queue_state
        self.known.observe(options.members(), options.connected(), now)
        level = raising.highest_common(self.known.members, levels.LATEST)
        if level <= state.level:
            self._since = float("inf")
            return
        self._since = min(self._since, now)
        # Nobody has to read what an empty cluster wrote before.
        is_new = not state.configuration.version and not state.jobs
        if is_new or now - self._since >= options.after_seconds:
            await self._raise(owner, level)

    async def finalize(
        self, owner: Owner
    ) -> list[str] | outcomes.Refusal | outcomes.Unknown:
        """Put the latest level in force.

        Args:
            owner: The leader.

        Returns:
            An empty list once this is durable; what holds it back; or why the
            change failed.
        """
        await self.check(leases.steady_seconds())
        if owner.queue_state.level >= levels.LATEST:
            return []
        holds = raising.find_holds(self.known.members, levels.LATEST)
        if holds:
            return holds
        failure = await self._raise(owner, levels.LATEST)
        return [] if failure is None else failure

    @staticmethod
    async def _raise(
        owner: Owner, level: int
    ) -> outcomes.Refusal | outcomes.Unknown | None:
        before = owner.queue_state.level
        failure = await owner.commit(levels.RaiseLevel(level))
        if failure is None:
            owner.log.info(
                "level of changes in force",
                changes_level=level,
                before=before,
                brings=levels.describe(level),
            )
        return failure

    def status(self, level: int) -> dict[str, object]:
        """Return what operators are told: levels, replicas, what holds back.

        Args:
            level: Level in force.
        """
        holds = raising.find_holds(self.known.members, levels.LATEST)
        return {
            "in_force": level,
            "latest": levels.LATEST,
            "replicas": [
                {
                    "name": name,
                    "reads": member.level if member.level >= 0 else None,
                    "connected": member.connected,
                }
                for name, member in sorted(self.known.members.items())
            ],
            "held_back_by": holds if level < levels.LATEST else [],
        }
