"""Updates: announcements that contain only the changes since an earlier one.

A worker whose last announcement was answered may send an `Update` instead of
the next full announcement.  The receiver applies the update to its base, an
earlier announcement, and processes the result as if the worker had sent it in
full, provided that its digest matches the one in the update.  Otherwise the
receiver requests a full announcement.
"""

import hashlib
from typing import NamedTuple

from turmerichall import resources
from turmerichall.backend_servers import announcement as announcements

__all__ = [
    "Update",
    "UpdateBuilder",
    "UpdateReply",
    "apply_update",
    "compact_reply",
    "digest",
    "expand_reply",
    "newly_measured",
]

# Period after which a report about a task is sent again if it changed, but by
# less than the thresholds below.
REPORT_PERIOD_SECONDS = 60.0
# A change of a task's processors, memory (both relative to the last reported
# value) or slowdown (absolute) by more than this is sent immediately.
PROCESSORS_THRESHOLD_RATIO = 0.3
MEMORY_THRESHOLD_RATIO = 0.05
SLOWDOWN_THRESHOLD = 0.2
# A measurement counts as new if it was taken at least this long after the last
# reported measurement of the same attempt.
MEASUREMENT_GAP_SECONDS = 0.5
DIGEST_CHARACTERS = 16

_LIVE = (
    announcements.ReportedState.STARTING,
    announcements.ReportedState.RUNNING,
)


class Update(NamedTuple):
    """Changes since an earlier announcement of a worker.

    Attributes:
        name: Name of the worker.
        sequence: Sequence of this announcement.
        base: Sequence of the announcement that the changes apply to, which is
            the last one that was answered.
        digest: Digest of the full announcement that results.
        tasks: Reports about task attempts that are new, or have changed enough
            to be sent.
        gone: `task_id#attempt` of the reports to remove.
        measured_seconds_ago: Greatest age, in seconds, of the measurements of
            the attempts that are not in `tasks`, if all of these were measured
            again since their last report; otherwise None.
    """

    name: str
    sequence: int
    base: int
    digest: str
    tasks: tuple[announcements.TaskReport, ...] = ()
    gone: tuple[str, ...] = ()
    measured_seconds_ago: float | None = None


class UpdateReply(NamedTuple):
    """Reply of an instance to an update.

    Attributes:
        reply: The reply that the full announcement would have received.
        renewed: Digest of the announcement if the leases of all attempts that
            it reports as live are renewed; `reply.renewed` is then empty.
        whole: Why the worker must send a full announcement immediately, or
            empty if it need not.
    """

    reply: announcements.Reply
    renewed: str = ""
    whole: str = ""


def digest(announcement: announcements.Announcement) -> str:
    """Return the digest of an announcement.

    It covers the name of the worker, its incarnation, the highest epoch that it
    has seen, and each attempt with its state.

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
    """Return the full announcement that results from an update.

    Args:
        base: The base announcement of the update.
        update: The update.

    Returns:
        The full announcement; None if its digest differs from the one in the
        update, or if it has more than `MAX_REPORTS` reports.
    """
    reports = {_attempt_name_of(report): report for report in base.tasks}
    age = update.measured_seconds_ago
    if age is not None:
        for name, report in reports.items():
            reports[name] = report._replace(measured_seconds_ago=age)
    for name in update.gone:
        reports.pop(name, None)
    for report in update.tasks:
        reports[_attempt_name_of(report)] = report
    announcement = base._replace(
        sequence=update.sequence, tasks=tuple(reports.values())
    )
    if len(announcement.tasks) > announcements.MAX_REPORTS:
        return None
    return announcement if digest(announcement) == update.digest else None


def newly_measured(
    announcement: announcements.Announcement, update: Update
) -> tuple[announcements.TaskReport, ...]:
    """Return the reports with measurements newer than those reported before.

    These are all reports if the update sets `measured_seconds_ago`, otherwise
    only those that the update contains.

    Args:
        announcement: The full announcement that resulted from the update.
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
    """Return the reply to an update, as short as possible.

    If the leases of all live attempts are renewed, the digest of the update
    replaces the names of the attempts.

    Args:
        announcement: The full announcement that resulted from the update.
        update: The update.
        reply: The reply to the full announcement.
    """
    if not reply.renewed or len(reply.renewed) != len(
        _live_names(announcement)
    ):
        return UpdateReply(reply)
    return UpdateReply(reply._replace(renewed=()), update.digest)


def expand_reply(
    announcement: announcements.Announcement, answer: UpdateReply
) -> announcements.Reply:
    """Restore, on the worker, the reply that `compact_reply` shortened.

    Args:
        announcement: The full announcement that the worker sent as an update.
        answer: The reply to the update.

    Returns:
        The reply with the names of the renewed leases.  If the digest in the
        reply does not match `announcement`, it renews nothing.
    """
    if not answer.renewed or answer.renewed != digest(announcement):
        return answer.reply
    return answer.reply._replace(renewed=_live_names(announcement))


class UpdateBuilder:
    """Builder of updates that a worker sends in place of full announcements.

    Attributes:
        base: The last accepted announcement as the receiver holds it; None if
            the next announcement must be full.
        reported_at: When the report of each attempt was last sent, by name of
            the attempt, on the clock of the caller.
        measured_at: When the last reported measurement of each attempt was
            taken, by name of the attempt, on the same clock.
        full_only: Whether the receiver does not support updates.
    """

    def __init__(self) -> None:
        self.base: announcements.Announcement | None = None
        self.reported_at: dict[str, float] = {}
        self.measured_at: dict[str, float] = {}
        self.full_only = False

    def reset(self, full_only: bool = False) -> None:
        """Make the next announcement a full one, e.g. for a new receiver.

        Args:
            full_only: Whether all later announcements must be full too.
        """
        self.base = None
        self.full_only = full_only

    def build(
        self, announcement: announcements.Announcement, now: float
    ) -> Update | None:
        """Return the update to send in place of an announcement.

        Args:
            announcement: The full announcement.
            now: Current time in seconds, on any monotonic clock.

        Returns:
            The update; None if the announcement must be sent in full.
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
        previous = {_attempt_name_of(report): report for report in base.tasks}
        current = {
            _attempt_name_of(report): report for report in announcement.tasks
        }
        due = {
            name: report
            for name, report in current.items()
            if self._is_due(name, previous.get(name), report, now)
        }
        gone = tuple(name for name in previous if name not in current)
        unchanged_ages = {
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
            self._age_of_new_measurements(unchanged_ages, now),
        )

    def _age_of_new_measurements(
        self, ages: dict[str, float], now: float
    ) -> float | None:
        """Return the greatest age of measurements if all of them are new.

        A measurement is new if it was taken at least `MEASUREMENT_GAP_SECONDS`
        after the last reported one of the same attempt.

        Args:
            ages: Age of the measurement of each attempt in seconds, by name of
                the attempt.
            now: Current time in seconds, on the same clock as in `build`.

        Returns:
            The greatest age in seconds; None if there are no measurements or
            one of them is not new.
        """
        for name, age in ages.items():
            if now - age < self.measured_at[name] + MEASUREMENT_GAP_SECONDS:
                return None
        return max(ages.values(), default=None)

    def _is_due(
        self,
        name: str,
        previous: announcements.TaskReport | None,
        report: announcements.TaskReport,
        now: float,
    ) -> bool:
        if previous is None or _changed_significantly(previous, report):
            return True
        age = report.measured_seconds_ago
        if previous._replace(measured_seconds_ago=age) == report:
            return False
        return now - self.reported_at[name] >= REPORT_PERIOD_SECONDS

    def record_accepted(
        self,
        announcement: announcements.Announcement,
        update: Update | None,
        now: float,
    ) -> None:
        """Record that the receiver accepted an announcement.

        Args:
            announcement: The full announcement.
            update: The update that was sent in its place; None if it was sent
                in full.
            now: When the announcement or update was sent, on the same clock as
                in `build`.
        """
        if self.base is None or update is None:
            self.base = announcement
            sent = newly_measured_reports = announcement.tasks
            self.reported_at = {}
            self.measured_at = {}
        else:
            self.base = apply_update(self.base, update)
            assert self.base is not None
            sent = update.tasks
            newly_measured_reports = newly_measured(self.base, update)
            for name in update.gone:
                del self.reported_at[name]
                del self.measured_at[name]
        for report in sent:
            self.reported_at[_attempt_name_of(report)] = now
        for report in newly_measured_reports:
            at = now - report.measured_seconds_ago
            self.measured_at[_attempt_name_of(report)] = at


def _attempt_name_of(report: announcements.TaskReport) -> str:
    return announcements.attempt_name(report.task_id, report.attempt)


def _live_names(announcement: announcements.Announcement) -> tuple[str, ...]:
    return tuple(
        _attempt_name_of(report)
        for report in announcement.tasks
        if report.state in _LIVE
    )


def _changed_significantly(
    previous: announcements.TaskReport, report: announcements.TaskReport
) -> bool:
    """Return whether a report changed so much that it must be sent at once."""
    if (previous.state, previous.detail) != (report.state, report.detail):
        return True
    slowdown = abs(report.slowdown - previous.slowdown)
    return slowdown > SLOWDOWN_THRESHOLD or _usage_changed_significantly(
        previous.usage, report.usage
    )


def _usage_changed_significantly(
    previous: resources.Resources, used: resources.Resources
) -> bool:
    processors = abs(used.processors - previous.processors)
    memory_mb = abs(used.memory_mb - previous.memory_mb)
    return (
        processors > PROCESSORS_THRESHOLD_RATIO * previous.processors
        or memory_mb > MEMORY_THRESHOLD_RATIO * previous.memory_mb
        or used.accelerators != previous.accelerators
    )
