"""Capacity model: the resources that each role needs at the target size.

The demands are computed from measured slopes (see `slopes`) and the rates and
sizes below.
"""

from typing import NamedTuple

from turmerichall.agreement import fan_out
from turmerichall.agreement import relay_buffer
from turmerichall.agreement import replica_state
from turmerichall.backend_servers import announcement
from turmerichall.backend_servers import dissemination
from turmerichall.benchmarks import slopes
from turmerichall.instances import share_lease
from turmerichall.state import job_store
from turmerichall.zones import grant as grants
from turmerichall.zones import scheduler as schedulers

__all__ = ["Model", "ResourceDemand", "Role"]

WORKERS = 790
JOBS_PER_DAY = 9_700
STARTS_PER_SECOND = 440.0
SERVICE_TASKS = 3_000
BATCH_TASKS = 5_900
CHANGES_PER_DAY = 2_200
ZONES = 10
INSTANCES_PER_ZONE = 2
REPLICAS = 5
# Rate at which the leader sends log messages to one instance at peak load.
LOG_MESSAGES_PER_SECOND = 50.0
# The target size specifies no run time, so a batch task is assumed to run for
# ten minutes.
BATCH_RUN_SECONDS = 600.0
SECONDS_PER_DAY = 86_400.0
# Interval at which a worker measures its tasks, and the share of these
# measurements that changed by more than the thresholds above which an update
# contains them; both as in the scenarios of the placement benchmark.
MEASURE_PERIOD_SECONDS = 10.0
CHANGED_MEASUREMENT_RATIO = 0.35
# Changes a day to the backend servers: service tasks that start, stop or move,
# and workers that join or leave.
ROUTING_CHANGES_PER_DAY = 10_000

CORE_SHARE_LIMIT = 0.028
MEMORY_LIMIT_BYTES = 256 * 1024**2
TRAFFIC_LIMIT_BYTES_PER_SECOND = 4096.0
INSTANCE_LIMIT = 8


class ResourceDemand(NamedTuple):
    """The resources that one activity of a role needs.

    Attributes:
        what: The activity.
        processor: Share of a core.
        memory: Bytes.
        traffic: Bytes a second, sent and received.
        carried_by: The mechanism that serves the activity.
    """

    what: str
    processor: float
    memory: float
    traffic: float
    carried_by: str


class Role(NamedTuple):
    """A role of a process and the resources that it needs.

    Attributes:
        name: Name of the role.
        state: The state that the role holds, in words.
        demands: Demands of the role's activities.
        disk: Bytes on disk.
    """

    name: str
    state: str
    demands: tuple[ResourceDemand, ...]
    disk: float = 0.0

    def total(self) -> ResourceDemand:
        """Return the sum of all demands."""
        return ResourceDemand(
            self.name,
            sum(demand.processor for demand in self.demands),
            sum(demand.memory for demand in self.demands),
            sum(demand.traffic for demand in self.demands),
            "",
        )


class Model:
    """Resource demands of each role at the target size.

    Attributes:
        costs: Values of the measured slopes by key.
        instances: Number of entry instances.
        detailed_tasks: Number of ended tasks whose details the replicated state
            keeps.
    """

    def __init__(self, costs: dict[str, float]):
        self.costs = costs
        self.instances = ZONES * INSTANCES_PER_ZONE
        self.starts_per_day = BATCH_TASKS / BATCH_RUN_SECONDS * SECONDS_PER_DAY
        self.tasks_per_job = self.starts_per_day / JOBS_PER_DAY
        # The jobs that ended last keep the details of their tasks; older ones
        # keep only totals.
        self.detailed_tasks = job_store.MAX_DETAILED_JOBS * self.tasks_per_job

    @classmethod
    def from_slopes(cls, measured: list[slopes.Slope]) -> "Model":
        """Build the model from measured slopes."""
        return cls({slope.key: slope.value for slope in measured})

    def roles(self) -> list[Role]:
        """Return all roles with their demands."""
        return [
            self.entry_instance(),
            self.replica(),
            self.relay(),
            self.placement_authority(),
            self.worker(),
            self.operator_command(),
        ]

    def _log_bytes_per_second(self) -> float:
        """Return the growth of the replicated log at peak load, in bytes/s."""
        costs = self.costs
        per_task = costs["start_bytes"] + costs["end_bytes"]
        renewals = ZONES / grants.RENEWAL_PERIOD_SECONDS
        return (
            STARTS_PER_SECOND * per_task
            + renewals * costs["renewal_bytes"]
            + CHANGES_PER_DAY / SECONDS_PER_DAY * costs["change_bytes"]
        )

    def _apply_core_share(self) -> float:
        """Return the share of a core for applying the log at peak load."""
        costs = self.costs
        renewals = ZONES / grants.RENEWAL_PERIOD_SECONDS
        return (
            STARTS_PER_SECOND * (costs["apply_start"] + costs["apply_end"])
            + renewals * costs["apply_renewal"]
            + CHANGES_PER_DAY / SECONDS_PER_DAY * costs["apply_change"]
        )

    def entry_instance(self) -> Role:
        """Return the resource demands of an entry instance without a disk."""
        costs = self.costs
        heartbeats = (self.instances - 1) / dissemination.HEARTBEAT_SECONDS
        routing_changes = ROUTING_CHANGES_PER_DAY / SECONDS_PER_DAY
        return Role(
            "Entry instance without a disk",
            "the whole replicated state, the directory of backend servers",
            (
                ResourceDemand(
                    "the daemon itself, idle",
                    costs["idle_daemon"],
                    costs["daemon_memory"],
                    0.0,
                    "one process, one trio task for each connection and peer",
                ),
                ResourceDemand(
                    "the log, followed and applied",
                    self._apply_core_share()
                    + LOG_MESSAGES_PER_SECOND * costs["peer_message"],
                    job_store.MAX_ENDED_JOBS * costs["ended_job_memory"]
                    + self.detailed_tasks * costs["ended_task_memory"]
                    + (BATCH_TASKS + SERVICE_TASKS) * costs["task_memory"],
                    self._log_bytes_per_second(),
                    "batched starts and ends, follow stream",
                ),
                ResourceDemand(
                    "the directory",
                    routing_changes * costs["directory_hear"],
                    WORKERS * costs["server_memory"],
                    routing_changes * costs["changed_bytes"],
                    "changes at once, else only the version of the table",
                ),
                ResourceDemand(
                    "heartbeats of the directory",
                    2 * heartbeats * costs["peer_message"],
                    0.0,
                    2 * heartbeats * costs["heartbeat_bytes"],
                    "one small message a second to each instance",
                ),
                self._share_lease(),
            ),
        )

    def _share_lease(self) -> ResourceDemand:
        """Return the demand of renewing the instance's share lease.

        To prove its presence, an instance completes a barrier at the leader and
        calls each other instance of its zone.  It also answers their calls.
        """
        neighbours = INSTANCES_PER_ZONE - 1
        messages = (2 + 4 * neighbours) / share_lease.RENEWAL_PERIOD_SECONDS
        return ResourceDemand(
            "proof that it is present",
            messages * self.costs["peer_message"],
            0.0,
            messages * self.costs["heartbeat_bytes"],
            "a barrier and a question to each neighbour in 5 s",
        )

    def replica(self) -> Role:
        """Return the resource demands of the leader of the replicas."""
        entry = self.entry_instance()
        others = REPLICAS - 1
        heartbeats = 2 * others / replica_state.Timing().heartbeat_seconds
        sent_log = ResourceDemand(
            "the log, sent to the other replicas",
            others * LOG_MESSAGES_PER_SECOND * self.costs["peer_message"],
            0.0,
            others * self._log_bytes_per_second()
            + heartbeats * self.costs["heartbeat_bytes"],
            "one stream to each replica, entries batched",
        )
        barriers = 2 * (self.instances - 1) / share_lease.RENEWAL_PERIOD_SECONDS
        answered_barriers = ResourceDemand(
            "proofs of the other instances",
            barriers * self.costs["peer_message"],
            0.0,
            barriers * self.costs["heartbeat_bytes"],
            "one barrier of each instance in 5 s",
        )
        tasks = self.detailed_tasks + BATCH_TASKS + SERVICE_TASKS
        size = (
            tasks * self.costs["snapshot_bytes"]
            + job_store.MAX_ENDED_JOBS * self.costs["snapshot_job_bytes"]
        )
        snapshot = ResourceDemand(
            "a snapshot, encoded whole in memory",
            0.0,
            size,
            0.0,
            "snapshot after a bounded number of entries",
        )
        return Role(
            "Replica with a disk, leading",
            entry.state + ", the log since the last snapshot",
            (*entry.demands, sent_log, answered_barriers, snapshot),
            disk=2 * size,
        )

    def _announcements(self) -> ResourceDemand:
        """Return the resource demand of a worker's announcements at peak load.

        The end of a task is announced immediately, its start with the next
        periodic update.
        """
        costs = self.costs
        ends = STARTS_PER_SECOND / WORKERS
        idle_updates = 1 / announcement.ANNOUNCE_PERIOD_SECONDS
        tasks = (BATCH_TASKS + SERVICE_TASKS) / WORKERS
        reports = (
            2 * ends
            + tasks * CHANGED_MEASUREMENT_RATIO / MEASURE_PERIOD_SECONDS
        )
        exchange_bytes = (
            costs["exchange_head_bytes"]
            + costs["idle_update_bytes"]
            + costs["idle_update_reply_bytes"]
        )
        report_bytes = costs["update_bytes"] - costs["idle_update_bytes"]
        return ResourceDemand(
            "announcements of one worker",
            (idle_updates + ends) * costs["exchange_http"]
            + idle_updates * costs["idle_update_path"]
            + ends * costs["update_path"],
            0.0,
            (idle_updates + ends) * exchange_bytes + reports * report_bytes,
            "",
        )

    def relay(self) -> Role:
        """Return the resources that relaying the log adds to an instance.

        The instance is assumed to serve the maximum number of streams.
        """
        demand = ResourceDemand(
            "the log, passed on",
            fan_out.MAX_STREAMS
            * LOG_MESSAGES_PER_SECOND
            * self.costs["peer_message"],
            2 * relay_buffer.MAX_BYTES,
            fan_out.MAX_STREAMS * self._log_bytes_per_second(),
            "a tree with one stream into each zone, at most three from each",
        )
        return Role("Passing the log on", "the last entries", (demand,))

    def placement_authority(self) -> Role:
        """Return the resources that a placement authority adds to an instance.

        The placement authority serves one zone.
        """
        costs = self.costs
        workers = WORKERS / ZONES
        per_worker = self._announcements()
        starts = STARTS_PER_SECOND / ZONES
        return Role(
            "Placing authority, added to an entry instance",
            "its zone's workers, the planner's views of its tasks",
            (
                ResourceDemand(
                    "announcements of its workers",
                    workers * per_worker.processor,
                    workers * costs["server_memory"],
                    workers * per_worker.traffic,
                    "only what changed, under a digest that renews every lease"
                    " of a worker",
                ),
                ResourceDemand(
                    "steps of the planner",
                    costs["placing_step"] / schedulers.STEP_PERIOD_SECONDS,
                    0.0,
                    0.0,
                    "one step for many starts",
                ),
                ResourceDemand(
                    "starts sent to workers",
                    starts * costs["reply_write"],
                    0.0,
                    starts * costs["announcement_reply_bytes"],
                    "starts of one step to one worker in one request",
                ),
            ),
        )

    def worker(self) -> Role:
        """Return the resource demands of control operations on a worker."""
        per_worker = self._announcements()
        return Role(
            "Worker's share",
            "its leases, send times of its last announcements",
            (
                ResourceDemand(
                    "announcements and replies",
                    per_worker.processor,
                    self.costs["server_memory"],
                    per_worker.traffic,
                    "one announcement for all tasks; its processor time is"
                    " taken to be that of the other end",
                ),
            ),
        )

    def operator_command(self) -> Role:
        """Return the resource demands of operators' commands."""
        costs = self.costs
        return Role(
            "Operator's command",
            "nothing between commands",
            (
                ResourceDemand(
                    "changes of a day, one process each",
                    CHANGES_PER_DAY / SECONDS_PER_DAY * costs["command"],
                    costs["command_memory"],
                    CHANGES_PER_DAY
                    / SECONDS_PER_DAY
                    * 2
                    * costs["change_bytes"],
                    "one request with an operation id",
                ),
            ),
        )
