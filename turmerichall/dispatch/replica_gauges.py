"""Gauges that show what a replica believes of itself and of the cluster.

They tell apart the reasons why nothing is served; see docs/OPERATIONS.md.
"""

from collections.abc import Callable

from turmerichall.agreement import availability
from turmerichall.agreement import disk_pressure
from turmerichall.agreement import member
from turmerichall.agreement import replica as replicas
from turmerichall.agreement import replica_state
from turmerichall.telemetry import lightweight_metrics

__all__ = ["MAX_AGE_SECONDS", "register"]

# Reported as the age of the latest quorum contact if it is higher or if there
# was no contact at all.
MAX_AGE_SECONDS = 86_400.0


def register(
    metrics_registry: lightweight_metrics.MetricsRegistry,
    replica: replicas.Replica,
    is_work_under_way: Callable[[], bool],
) -> None:
    """Register the gauges of a replica.

    Args:
        metrics_registry: Metrics of this process.
        replica: The replica.
        is_work_under_way: Returns whether the leader's work is under way.
    """
    state = replica.state
    add_gauge = metrics_registry.add_gauge
    add_gauge(
        "replica_term",
        "Newest term that this replica has seen.",
        lambda: state.term,
    )
    add_gauge(
        "replica_commit_index",
        "Index of the last entry known to be committed.",
        lambda: state.commit,
    )
    add_gauge(
        "replica_applied_index",
        "Index of the last applied entry.",
        lambda: state.applied,
    )
    add_gauge(
        "replica_leads",
        "1 if this replica is the leader.",
        lambda: state.role == replica_state.Role.LEADER,
    )
    add_gauge(
        "replica_leads_current",
        "1 if it is the leader and the first entry of its term is applied.",
        lambda: replica.leader_term() > 0,
    )
    add_gauge(
        "replica_leader_work",
        "1 while the leader's work is under way.",
        is_work_under_way,
    )
    add_gauge(
        "replica_stopped",
        "1 if this replica has left consensus, such as after a disk failure.",
        lambda: bool(state.stopped),
    )
    add_gauge(
        "replica_quorum_age_seconds",
        "Age of the leader's last known contact with a quorum, in seconds.",
        lambda: min(replica.seconds_since_quorum(), MAX_AGE_SECONDS),
    )
    add_gauge(
        "replica_voters",
        "Number of voters.",
        lambda: len(member.voters(state.members)),
    )
    add_gauge(
        "replica_learners",
        "Number of replicas that don't vote, such as standbys.",
        lambda: len(member.learners(state.members)),
    )
    add_gauge(
        "replica_losses_borne",
        "Further voters that may be lost, as the leader sees it; -1 elsewhere.",
        lambda: availability.losses_borne(state),
    )
    _register_disk(metrics_registry, state)


def _register_disk(
    metrics_registry: lightweight_metrics.MetricsRegistry,
    state: replica_state.ReplicaState,
) -> None:
    add_gauge = metrics_registry.add_gauge
    add_gauge(
        "replica_log_bytes",
        "Size of the log on the disk, in bytes.",
        lambda: disk_pressure.usage(state).log_bytes,
    )
    add_gauge(
        "replica_snapshot_bytes",
        "Size of the snapshot on the disk, in bytes.",
        lambda: disk_pressure.usage(state).snapshot_bytes,
    )
    add_gauge(
        "replica_disk_peak_bytes",
        "Use of the disk while a snapshot or the log is replaced, in bytes.",
        lambda: disk_pressure.usage(state).peak_bytes,
    )
    add_gauge(
        "replica_disk_pressure",
        "0 if the disk has room, 1 if it is filling up, 2 if almost full.",
        lambda: disk_pressure.level(state),
    )
