"""Regular report of a term to the log and to the next leader."""

from typing import Protocol

import trio

from turmerichall.dispatch import backlog as backlogs
from turmerichall.dispatch import interference_model as interference_models
from turmerichall.dispatch import lease as leases
from turmerichall.dispatch import registry as registries
from turmerichall.dispatch import reports
from turmerichall.dispatch import worker_state
from turmerichall.dispatch.evacuation import zone_states
from turmerichall.peers import link
from turmerichall.queues import change as changes
from turmerichall.queues import state as states
from turmerichall.telemetry import loop_delay as loop_delays

__all__ = ["Owner", "run"]

# Time between two log lines on the backlog and workers; the interference model
# is stored as often.
REPORT_INTERVAL_SECONDS = 5.0


class Owner(Protocol):
    """Interface of the leader; `leadership.Leadership` implements it."""

    queue_state: states.QueueState
    backlog: backlogs.Backlog
    workers: dict[str, worker_state.Worker]
    registry: registries.Registry
    interference_model: interference_models.InterferenceModel
    log: link.Log
    loop_delay: loop_delays.LoopDelay

    async def commit_or_resign(self, change: changes.Change) -> None:
        """Commit a change, or end the term's work if that fails."""


async def run(owner: Owner) -> None:
    """Report regularly until cancelled."""
    while True:
        await trio.sleep(REPORT_INTERVAL_SECONDS)
        now = leases.steady_seconds()
        workers = owner.workers.values()
        table = owner.interference_model.table()
        reports.log_state(owner.log, owner.backlog, workers, table, now)
        delay_ms = round(1000 * owner.loop_delay.take_worst())
        owner.log.info("delay of the event loop", worst_ms=delay_ms)
        reports.log_held_groups(
            owner.log, zone_states.held_groups(owner.backlog.ready(), workers)
        )
        if table and table != owner.queue_state.interference:
            await owner.commit_or_resign(owner.interference_model.note())
        cleared = owner.registry.crash_register.cleared_tasks(workers, now)
        if cleared:
            await owner.commit_or_resign(changes.ClearCrashes(cleared))
