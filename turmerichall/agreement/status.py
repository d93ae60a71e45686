"""What a replica tells of itself."""

from typing import NamedTuple

from turmerichall.agreement import member
from turmerichall.agreement import replica_state

__all__ = ["ReplicaStatus"]


class ReplicaStatus(NamedTuple):
    """What a replica knows of itself and of the cluster.

    Attributes:
        name: Name of the instance.
        identity: Identity of its disk; empty without one.
        role: Follower, candidate, leader or observer.
        leader: Name of the leader, or empty.
        term: The newest term seen.
        commit: Index known to be committed.
        applied: Index up to which the state is applied.
        members: The voters.
        learners: Replicas that are not caught up yet.
        stopped: Why the replica takes part no more; empty while it does.
        seconds_since_quorum: How long ago a quorum was in contact.
        recovered: Whether the state is at least as new as any that this
            instance had before it was started.
        diverged_at: Index at which another replica was seen to have applied
            something else; 0 if none was.
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
