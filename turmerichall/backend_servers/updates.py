"""Announcements of only what changed since an earlier one.

A worker whose last announcement was answered may send an `Update` in place of
the next one.  The receiver applies it to the announcement that it names as
base, and takes the result as if the worker had sent it whole, but only if its
digest is the one that the worker sent.  Otherwise it asks for a whole one.
"""

import hashlib
from typing import NamedTuple

from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements

__all__ = [
    "UpdateBuilder",
    "Update",
    "UpdateReply",
    "apply_update",
    "digest",
    "newly_measured",
    "compact_reply",
    "expand_reply",
]

# A report that moved by less is sent again after this period.
REPORT_PERIOD_SECONDS = 60.0
# Least changes of measurements that are told at once.
PROCESSORS_THRESHOLD_RATIO = 0.3
MEMORY_THRESHOLD_RATIO = 0.05
SLOWDOWN_THRESHOLD = 0.2
# A measurement that is this much younger than the last is another one.
MEASUREMENT_GAP_SECONDS = 0.5
DIGEST_CHARACTERS = 16

_LIVE = (
    announcements.ReportedState.STARTING,
    announcements.ReportedState.RUNNING,
)


class Update(NamedTuple):
    """What changed since an earlier announcement.

    Attributes:
        name: Name of the worker.
        sequence: Sequence of this announcement.
        base: Sequence of the announcement that it adds to, the last that was
            answered.
        digest: Digest of the whole announcement that this one stands for.
        tasks: Reports that are new or changed.
        gone: `task_id#attempt` of reports that are left out from now on.
        measured_seconds_ago: Greatest age of the measurements of all reports
            that are not in `tasks`, if each was measured again since it was
            told and did not move; otherwise None.
    """

    name: str
    sequence: int
    base: int
    digest: str
    tasks: tuple[announcements.TaskReport, ...] = ()
    gone: tuple[str, ...] = ()
    measured_seconds_ago: float | None = None


class UpdateReply(NamedTuple):
    """Answer to an update.

    Attributes:
        reply: The answer that the whole announcement would have got.
        renewed: Digest of the announcement if every lease of an attempt that
            it reports as live is renewed; `reply.renewed` is then empty.
        whole: Why a whole announcement is to be sent at once, or empty.
    """

    reply: announcements.Reply
    renewed: str = ""
    whole: str = ""


def digest(announcement: announcements.Announcement) -> str:
    """Returns the digest of who announces what attempts.

    It covers the name of the worker, its incarnation, the epoch that it has
    seen, and each attempt with its state.

    Examples:
        >>> announcement = announcements.Announcement(
        ...     "w1", 3, 17, "z1", "r1", "h:1", resources.ZERO, epoch=4)
        >>> digest(announcement)
        '19e2d62bfb60cecf'
    """
    lines = [
        f"{report.task_id}#{report.attempt} {report.state.value}"
        for report in announcement.tasks
    ]
    lines.sort()
    lines.insert(
        0,
        f"{announcement.name} {announcement.incarnation} {announcement.epoch}",
    )
    hashed = hashlib.sha256("\n".join(lines).encode())
    return hashed.hexdigest()[:DIGEST_CHARACTERS]


def apply_update(
    base: announcements.Announcement, update: Update
) -> announcements.Announcement | None:
    """Applies an update.

    Args:
        base: The announcement that the update names as base.
        update: The update.

    Returns:
        The announcement that the update stands for; None if its digest is
        another, or it has too many reports.
    """
    reports = {_name_of(report): report for report in base.tasks}
    age = update.measured_seconds_ago
    if age is not None:
        for name, report in reports.items():
            reports[name] = report._replace(measured_seconds_ago=age)
    for name in update.gone:
        reports.pop(name, None)
    for report in update.tasks:
        reports[_name_of(report)] = report
    announcement = base._replace(
        sequence=update.sequence, tasks=tuple(reports.values())
    )
    if len(announcement.tasks) > announcements.MAX_REPORTS:
        return None
    return announcement if digest(announcement) == update.digest else None


def newly_measured(
    announcement: announcements.Announcement, update: Update
) -> tuple[announcements.TaskReport, ...]:
    """Returns the reports with a measurement that was not told before.

    Args:
        announcement: The announcement that the update stands for.
        update: The update.
    """
    if update.measured_seconds_ago is None:
        return update.tasks
    return announcement.tasks


def compact_reply(
    announcement: announcements.Announcement,
    update: Update,
    reply: announcements.Reply,
) -> UpdateReply:
    """Shortens the answer to the announcement that an update stands for."""
    if not reply.renewed or len(reply.renewed) != len(
        _live_names(announcement)
    ):
        return UpdateReply(reply)
    return UpdateReply(reply._replace(renewed=()), update.digest)


def expand_reply(
    announcement: announcements.Announcement, answer: UpdateReply
) -> announcements.Reply:
    """Undoes `compact_reply` on the worker.

    Args:
        announcement: The announcement that the update stood for.
        answer: The answer to the update.

    Returns:
        The reply with the names of the renewed leases.  A digest of anything
        else than `announcement` renews nothing.
    """
    if not answer.renewed or answer.renewed != digest(announcement):
        return answer.reply
    return answer.reply._replace(renewed=_live_names(announcement))


class UpdateBuilder:
    """Chooses on a worker between whole announcements and updates.

    Attributes:
        base: The last announcement that was answered, as its receiver knows
            it; None if the next one has to be whole.
        reported_at: When each report was last sent, by attempt.
        measured_at: When each was measured as last told, by attempt.
        full_only: Whether the receiver does not know updates.
    """

    def __init__(self) -> None:
        self.base: announcements.Announcement | None = None
        self.reported_at: dict[str, float] = {}
        self.measured_at: dict[str, float] = {}
        self.full_only = False

    def reset(self, full_only: bool = False) -> None:
        """Has the next announcement be whole, for instance to a new receiver.

        Args:
            full_only: Whether all later ones have to be whole too.
        """
        self.base = None
        self.full_only = full_only

    def build(
        self, announcement: announcements.Announcement, now: float
    ) -> Update | None:
        """Returns what to send in place of an announcement.

        Args:
            announcement: The announcement.
            now: Current time in seconds, of any clock.

        Returns:
            The update; None if the announcement is to be sent whole.
        """
        base = self.base
        if self.full_only or base is None:
            return None
        if (
            base._replace(
                sequence=announcement.sequence, tasks=announcement.tasks
            )
            != announcement
        ):
            return None
        before = {_name_of(report): report for report in base.tasks}
        current = {_name_of(report): report for report in announcement.tasks}
        due = {
            name: report
            for name, report in current.items()
            if self._is_due(name, before.get(name), report, now)
        }
        gone = tuple(name for name in before if name not in current)
        unmoved = {
            name: report.measured_seconds_ago
            for name, report in current.items()
            if name not in due and report.has_measurement()
        }
        return Update(
            announcement.name,
            announcement.sequence,
            base.sequence,
            digest(announcement),
            tuple(due.values()),
            gone,
            self._measured_again(unmoved, now),
        )

    def _measured_again(
        self, ages: dict[str, float], now: float
    ) -> float | None:
        """Returns the greatest age if each is of another measurement."""
        for name, age in ages.items():
            if now - age < self.measured_at[name] + MEASUREMENT_GAP_SECONDS:
                return None
        return max(ages.values(), default=None)

    def _is_due(
        self,
        name: str,
        before: announcements.TaskReport | None,
        report: announcements.TaskReport,
        now: float,
    ) -> bool:
        if before is None or _moved(before, report):
            return True
        age = report.measured_seconds_ago
        if before._replace(measured_seconds_ago=age) == report:
            return False
        return now - self.reported_at[name] >= REPORT_PERIOD_SECONDS

    def record_accepted(
        self,
        announcement: announcements.Announcement,
        update: Update | None,
        now: float,
    ) -> None:
        """Notes that an announcement was accepted.

        Args:
            announcement: The announcement.
            update: What was sent in its place, if anything.
            now: When it was sent.
        """
        if self.base is None or update is None:
            self.base = announcement
            sent = new = announcement.tasks
            self.reported_at = {}
            self.measured_at = {}
        else:
            self.base = apply_update(self.base, update)
            assert self.base is not None
            sent = update.tasks
            new = newly_measured(self.base, update)
            for name in update.gone:
                del self.reported_at[name]
                del self.measured_at[name]
        for report in sent:
            self.reported_at[_name_of(report)] = now
        for report in new:
            at = now - report.measured_seconds_ago
            self.measured_at[_name_of(report)] = at


def _name_of(report: announcements.TaskReport) -> str:
    return announcements.attempt_name(report.task_id, report.attempt)


def _live_names(announcement: announcements.Announcement) -> tuple[str, ...]:
    return tuple(
        _name_of(report)
        for report in announcement.tasks
        if report.state in _LIVE
    )


def _moved(
    before: announcements.TaskReport, report: announcements.TaskReport
) -> bool:
    """Tells whether a report has news that can't wait."""
    if (before.state, before.detail) != (report.state, report.detail):
        return True
    slowdown = abs(report.slowdown - before.slowdown)
    return slowdown > SLOWDOWN_THRESHOLD or _usage_moved(
        before.usage, report.usage
    )


def _usage_moved(
    before: resources.Resources, used: resources.Resources
) -> bool:
    processors = abs(used.processors - before.processors)
    memory_mb = abs(used.memory_mb - before.memory_mb)
    return (
        processors > PROCESSORS_THRESHOLD_RATIO * before.processors
        or memory_mb > MEMORY_THRESHOLD_RATIO * before.memory_mb
        or used.accelerators != before.accelerators
    )
