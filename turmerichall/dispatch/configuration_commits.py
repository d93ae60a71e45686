"""Commits of configurations, as the difference from the one in force."""

from turmerichall import outcomes
from turmerichall.dispatch import leadership as leaderships
from turmerichall.queues import change as changes
from turmerichall.queues import configuration_edits
from turmerichall.queues import configuration_revision

__all__ = ["commit"]


async def commit(
    leadership: leaderships.Leadership,
    new: configuration_edits.Described,
    may_revise: bool,
) -> outcomes.Refusal | outcomes.Unknown | None:
    """Commit and apply a configuration that is newer than the one in force.

    Args:
        leadership: The work of the current term.
        new: The configuration.
        may_revise: Whether the change may hold only what differs.

    Returns:
        None, or why the commit failed or is uncertain.
    """
    queue_state = leadership.queue_state
    whole = changes.SetConfiguration(new.configuration, new.document)
    if may_revise:
        base = configuration_edits.Described(
            queue_state.configuration, queue_state.document
        )
        change = configuration_revision.make(base, new)
        failed = await leadership.commit(change)
        version = queue_state.configuration.version
        if failed is not None or version >= new.configuration.version:
            return failed
        # Another version came into force before, to which it did not apply.
    return await leadership.commit(whole)
