"""Status of a replica."""

from typing import NamedTuple

from turmerichall.agreement import member
from turmerichall.agreement import replica_state

__all__ = ["ReplicaStatus"]


class ReplicaStatus(NamedTuple):
    """Status of a replica, and of the cluster as the replica sees it.

    Attributes:
        name: Name of the instance.
        identity: Identity of its disk; empty without one.
        role: Follower, candidate, leader or observer.
        leader: Name of the leader; empty if it is not known.
        term: The newest term seen.
        commit: Index of the last entry known to be committed.
        applied: Index of the last applied entry.
        members: The replicas that vote.
        learners: Replicas that do not vote yet.
        stopped: Why the replica left consensus; empty if it did not.
        seconds_since_quorum: Age of the leader's last known contact with a
            quorum.
        recovered: Whether the state is at least as new as any that this
            instance served before it was started.
        diverged_at: Index at which the digest of another replica was first
            seen to differ; 0 if none differed.
    """

    name: str
    identity: str
    role: replica_state.Role
    leader: str
    term: int
    commit: int
    applied: int
    members: member.Members
    learners: member.Members
    stopped: str
    seconds_since_quorum: float
    recovered: bool
    diverged_at: int = 0
