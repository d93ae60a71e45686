"""The state machine that every replica runs on the replicated log.

`StateMachine.apply` is deterministic: the same changes in the same order give
the same state on every instance.  It reads no clock and no random numbers.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import trio

from turmerichall import outcomes
from turmerichall.instances import instance
from turmerichall.instances import presence as presences
from turmerichall.state import change as changes
from turmerichall.state import configuration
from turmerichall.state import job_store
from turmerichall.state import zone_change
from turmerichall.zones import grant as grants

__all__ = ["StateMachine", "Watcher"]

MAX_REMEMBERED_OPERATIONS = 50_000

Watcher = Callable[[changes.Change, changes.Result], None]


class _Snapshot(NamedTuple):
    """The content of a snapshot, in the order in which it is encoded."""

    applied_index: int
    configuration: configuration.Snapshot
    job_store: job_store.Snapshot
    grants: dict[str, grants.Grant]
    operations: list[tuple[str, changes.Result]]
    instances: dict[str, instance.Instance]
    absent_or_returning: dict[str, presences.Presence] | None = None


class StateMachine:
    """The replicated state.

    Attributes:
        applied_index: Index in the log of the last applied change.
        configuration: Templates, customers, quotas, intentions and
            requested states of zones.
        job_store: Jobs, tasks and recorded decisions.
        grants: Current grant of each zone.
        instances: Entry instances by name.
        absent_or_returning: Presence of the entry instances that are not
            present, by name.
        operations: Results of the last operations by operation id, oldest
            first, so that a retry gets the result of the first attempt.
        watchers: Callbacks that are called in this order after each applied
            change.
        restore_count: How often a snapshot has replaced the whole state.
    """

    def __init__(self) -> None:
        self.applied_index = 0
        self.configuration = configuration.Configuration()
        self.job_store = job_store.JobStore()
        self.grants: dict[str, grants.Grant] = {}
        self.instances: dict[str, instance.Instance] = {}
        self.absent_or_returning: dict[str, presences.Presence] = {}
        self.operations: OrderedDict[str, changes.Result] = OrderedDict()
        self.watchers: list[Watcher] = []
        self.restore_count = 0
        self._applied = trio.Event()

    def apply(self, index: int, data: bytes) -> bytes:
        """Apply one committed change.

        Args:
            index: Index of the change in the log.
            data: The change, encoded by `change.encode`.

        Returns:
            The result, encoded by `change.encode_result`.
        """
        change = changes.decode(data)
        self.applied_index = index
        result = self._apply_once(index, change)
        for watcher in self.watchers:
            watcher(change, result)
        self._applied.set()
        self._applied = trio.Event()
        return changes.encode_result(result)

    def _apply_once(self, index: int, change: changes.Change) -> changes.Result:
        operation = getattr(change, "operation", None)
        if operation is None:
            return self._dispatch(index, change)._replace(position=index)
        previous_result = self.operations.get(operation.operation_id)
        if previous_result is not None:
            return previous_result
        result = self._dispatch(index, change)._replace(position=index)
        self.operations[operation.operation_id] = result
        if len(self.operations) > MAX_REMEMBERED_OPERATIONS:
            self.operations.popitem(last=False)
        return result

    def _dispatch(self, index: int, change: changes.Change) -> changes.Result:
        handler: Callable[[int, Any], changes.Result] | None
        handler = self._handlers().get(type(change))
        if handler is None:
            detail = f"no handler for {type(change).__name__}"
            return changes.Result(changes.Status.REFUSED, detail=detail)
        return handler(index, change)

    def _handlers(self) -> dict[type, Callable[[int, Any], changes.Result]]:
        return {
            changes.PublishTemplate: self._publish_template,
            changes.SetCustomer: self._set_customer,
            changes.SetQuota: self._set_quota,
            changes.SetIntention: self._set_intention,
            changes.AcceptJob: self._accept_job,
            changes.CancelJob: self._cancel_job,
            changes.TakeGrant: self._take_grant,
            changes.RenewGrant: self._renew_grant,
            changes.ReleaseGrant: self._release_grant,
            changes.StartTasks: self._start_tasks,
            changes.EndTasks: self._end_tasks,
            changes.EvictTasks: self._evict_tasks,
            changes.RecordDecisions: self._record_decisions,
            changes.RegisterInstance: self._register_instance,
            changes.ForgetInstance: self._forget_instance,
            changes.SetPresence: self._set_presence,
            zone_change.SetZoneState: self._set_zone_state,
        }

    def _publish_template(
        self, _: int, change: changes.PublishTemplate
    ) -> changes.Result:
        return self.configuration.compare_and_set(
            configuration.TEMPLATES,
            change.body.name,
            change.body,
            change.base_version,
            change.operation,
        )

    def _set_customer(
        self, _: int, change: changes.SetCustomer
    ) -> changes.Result:
        return self.configuration.compare_and_set(
            configuration.CUSTOMERS,
            change.body.name,
            change.body,
            change.base_version,
            change.operation,
        )

    def _set_quota(self, _: int, change: changes.SetQuota) -> changes.Result:
        return self.configuration.compare_and_set(
            configuration.QUOTAS,
            change.body.team,
            change.body,
            change.base_version,
            change.operation,
        )

    def _set_intention(
        self, _: int, change: changes.SetIntention
    ) -> changes.Result:
        return self.configuration.compare_and_set(
            configuration.INTENTIONS,
            change.backend_server,
            change.intention,
            change.base_version,
            change.operation,
        )

    def _set_zone_state(
        self, _: int, change: zone_change.SetZoneState
    ) -> changes.Result:
        return self.configuration.set_zone_state(change)

    def _accept_job(
        self, index: int, change: changes.AcceptJob
    ) -> changes.Result:
        refusal = self.configuration.job_refusal(change)
        if refusal is not None:
            return refusal
        return self.job_store.accept(index, change)

    def _cancel_job(
        self, index: int, change: changes.CancelJob
    ) -> changes.Result:
        return self.job_store.cancel(index, change)

    def _take_grant(self, _: int, change: changes.TakeGrant) -> changes.Result:
        current = self.grant(change.zone)
        expected = (change.expected_epoch, change.expected_renewal)
        if (current.epoch, current.renewal) != expected:
            return changes.Result(
                changes.Status.CONFLICT, current.epoch, current.holder
            )
        taken = current.transferred_to(change.holder)
        self.grants[change.zone] = taken
        return changes.Result(changes.Status.APPLIED, taken.epoch)

    def _renew_grant(
        self, _: int, change: changes.RenewGrant
    ) -> changes.Result:
        conflict = self._lost_grant_conflict(change)
        if conflict is not None:
            return conflict
        renewed = self.grant(change.zone).renewed(change.confirmed)
        self.grants[change.zone] = renewed
        return changes.Result(changes.Status.APPLIED, renewed.epoch)

    def _release_grant(
        self, _: int, change: changes.ReleaseGrant
    ) -> changes.Result:
        conflict = self._lost_grant_conflict(change)
        if conflict is not None:
            return conflict
        released = self.grant(change.zone).released()
        self.grants[change.zone] = released
        return changes.Result(changes.Status.APPLIED, released.epoch)

    def _lost_grant_conflict(
        self, change: changes.RenewGrant | changes.ReleaseGrant
    ) -> changes.Result | None:
        current = self.grant(change.zone)
        if (current.holder, current.epoch) == (change.holder, change.epoch):
            return None
        return changes.Result(
            changes.Status.CONFLICT, current.epoch, current.holder
        )

    def _start_tasks(
        self, index: int, change: changes.StartTasks
    ) -> changes.Result:
        refusal = self._stale_epoch_refusal(change.zone, change.epoch)
        refusal = refusal or self._evacuation_refusal(change.zone)
        return refusal or self.job_store.start(index, change)

    def _end_tasks(
        self, index: int, change: changes.EndTasks
    ) -> changes.Result:
        refusal = self._stale_epoch_refusal(change.zone, change.epoch)
        return refusal or self.job_store.end(index, change)

    def _evict_tasks(
        self, index: int, change: changes.EvictTasks
    ) -> changes.Result:
        refusal = self._stale_epoch_refusal(change.zone, change.epoch)
        return refusal or self.job_store.evict(index, change)

    def _record_decisions(
        self, index: int, change: changes.RecordDecisions
    ) -> changes.Result:
        refusal = self._stale_epoch_refusal(change.zone, change.epoch)
        return refusal or self.job_store.record_decisions(index, change)

    def _register_instance(
        self, _: int, change: changes.RegisterInstance
    ) -> changes.Result:
        self.instances[change.body.name] = change.body
        return changes.Result(changes.Status.APPLIED, 1)

    def _forget_instance(
        self, _: int, change: changes.ForgetInstance
    ) -> changes.Result:
        if self.instances.pop(change.name, None) is None:
            return changes.Result(
                changes.Status.REFUSED,
                reason=outcomes.RefusalReason.UNKNOWN_NAME,
                detail=f"instance {change.name!r} is not listed",
            )
        self.absent_or_returning.pop(change.name, None)
        return changes.Result(changes.Status.APPLIED, 1)

    def presence(self, name: str) -> presences.Presence:
        """Return the presence of an entry instance; PRESENT if not recorded."""
        return self.absent_or_returning.get(name, presences.Presence.PRESENT)

    def _set_presence(
        self, _: int, change: changes.SetPresence
    ) -> changes.Result:
        before = self.presence(change.name)
        listed = change.name in self.instances
        if not listed or not presences.is_valid_transition(
            before, change.presence
        ):
            return changes.Result(
                changes.Status.REFUSED,
                reason=outcomes.RefusalReason.WRONG_STATE,
                detail=f"instance {change.name!r} is {before.value}",
            )
        if change.presence == presences.Presence.PRESENT:
            del self.absent_or_returning[change.name]
        else:
            self.absent_or_returning[change.name] = change.presence
        return changes.Result(changes.Status.APPLIED, 1)

    def _stale_epoch_refusal(
        self, zone: str, epoch: int
    ) -> changes.Result | None:
        current = self.grant(zone)
        if epoch == current.epoch:
            return None
        return changes.Result(
            changes.Status.REFUSED,
            current.epoch,
            current.holder,
            outcomes.RefusalReason.STALE_EPOCH,
            f"zone {zone} is at epoch {current.epoch}, not {epoch}",
        )

    def _evacuation_refusal(self, zone: str) -> changes.Result | None:
        """Return why no task may start in a zone; None if one may.

        The order of the log decides: an authority that planned a start before
        it applied the evacuation can't record it after the evacuation.
        """
        if not self.configuration.is_evacuated(zone):
            return None
        entry = self.configuration.zones[zone]
        return changes.Result(
            changes.Status.REFUSED,
            entry.version,
            entry.operator,
            outcomes.RefusalReason.ZONE_EVACUATED,
            f"zone {zone} was evacuated by {entry.operator}",
        )

    async def wait_applied(self, index: int) -> None:
        """Wait until the change at an index of the log is applied here."""
        while self.applied_index < index:
            await self._applied.wait()

    def grant(self, zone: str) -> grants.Grant:
        """Return the current grant of a zone.

        If the zone never had a holder, the `holder` of the grant is empty.
        """
        return self.grants.get(zone, grants.no_grant(zone))

    def snapshot(self) -> bytes:
        """Encode the whole state."""
        snapshot = _Snapshot(
            self.applied_index,
            self.configuration.snapshot(),
            self.job_store.snapshot(),
            self.grants,
            list(self.operations.items()),
            self.instances,
            self.absent_or_returning,
        )
        return msgspec.msgpack.encode(snapshot)

    def restore(self, data: bytes) -> None:
        """Replace the whole state with that of a snapshot."""
        snapshot = msgspec.msgpack.decode(data, type=_Snapshot)
        self.restore_count += 1
        self.applied_index = snapshot.applied_index
        self.configuration = configuration.Configuration.from_snapshot(
            snapshot.configuration
        )
        self.job_store = job_store.JobStore.from_snapshot(snapshot.job_store)
        self.grants = snapshot.grants
        self._applied.set()
        self._applied = trio.Event()
        self.operations = OrderedDict(snapshot.operations)
        self.instances = snapshot.instances
        self.absent_or_returning = snapshot.absent_or_returning or {}
