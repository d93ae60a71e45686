"""One soak: load, faults, and what callers and workers have seen."""

import collections
import json
import random
import signal

import trio

from turmerichall.fuzzing import deployment as deployments
from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.platform import sound_messages
from turmerichall.queue_soak import checker
from turmerichall.queue_soak import plan as plans
from turmerichall.queue_soak import workers as served

__all__ = ["Soak"]

START_SECONDS = 40.0
# Time in which all accepted jobs have to be done after the faults.
SETTLE_SECONDS = 60.0
JOB_SECONDS = 0.25
CANCEL_SHARE = 0.3
SUBMISSIONS = 3
CALL_SECONDS = 1.5


class Soak:
    """A deployment under load and faults.

    Attributes:
        deployment: Replicas and entry instances.
        workers: The workers.
        calls: What callers have seen, by id of the job.
        broken: Promises that were broken.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        workers: int,
        rng: random.Random,
    ):
        self.deployment = deployment
        self.workers = [
            served.ServedWorker(number, rng.choice((0.1, 0.4, 1.2)))
            for number in range(workers)
        ]
        self.calls: collections.defaultdict[str, checker.Call] = (
            collections.defaultdict(checker.Call)
        )
        self.broken: list[str] = []
        self._rng = rng
        self._controls = [
            http_client.Client(f"{each.host}:{deployments.CONTROL_PORT}")
            for each in deployment.replicas
        ]
        self._entries = [
            http_client.Client(f"{each.host}:{deployments.CLIENT_PORT}")
            for each in deployment.entries
        ]

    async def run(self, faults: list[plans.Fault], seconds: float) -> None:
        """Play a plan, and check the promises."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deployment.run)
            for worker in self.workers:
                nursery.start_soon(worker.run, self._controls)
            with trio.fail_after(START_SECONDS):
                while not await self._configure():
                    await trio.sleep(0.2)
            async with trio.open_nursery() as load:
                load.start_soon(self._submit_jobs, seconds)
                for fault in faults:
                    load.start_soon(self._inject, fault)
            with trio.move_on_after(SETTLE_SECONDS):
                while not await self._ask_for_states():
                    await trio.sleep(0.5)
            self.broken = checker.find_broken(
                self.calls,
                (life for each in self.workers for life in each.worker.lives),
            )
            nursery.cancel_scope.cancel()
        self.broken += [
            f"{end.name} ended with {end.status}: {end.lines[-1:]}"
            for end in self.deployment.ends
        ]

    async def _configure(self) -> bool:
        body = json.dumps(sound_messages.configuration(1)).encode()
        path = sound_messages.control_path("replace")
        for client in self._controls:
            response = await client.call("POST", path, body, {}, CALL_SECONDS)
            if isinstance(response, message.Response) and (
                response.status == 200
            ):
                return True
        return False

    async def _inject(self, fault: plans.Fault) -> None:
        await trio.sleep(fault.at)
        kind = plans.Kind
        if fault.kind == kind.RESTART_WORKER:
            await self.workers[fault.target].fall(fault.seconds)
            return
        is_entry = fault.kind in (kind.KILL_ENTRY, kind.FREEZE_ENTRY)
        programs = (
            self.deployment.entries if is_entry else self.deployment.replicas
        )
        program = programs[fault.target]
        if fault.kind in (kind.FREEZE_REPLICA, kind.FREEZE_ENTRY):
            process = program.process
            if process is None:
                return
            process.send_signal(signal.SIGSTOP)
            await trio.sleep(fault.seconds)
            process.send_signal(signal.SIGCONT)
            return
        gentle = fault.kind == kind.STOP_REPLICA
        number = signal.Signals["SIGTERM" if gentle else "SIGKILL"]
        program.replace(program.tree, program.settings, number)

    # Callers.

    async def _submit_jobs(self, seconds: float) -> None:
        rng = self._rng
        number = 0
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                while True:
                    number += 1
                    job = f"job{number}"
                    cancels = rng.random() < CANCEL_SHARE
                    cancel_after = rng.uniform(0.0, 3.0) if cancels else None
                    nursery.start_soon(
                        self._submit, job, rng.randrange(99), cancel_after
                    )
                    await trio.sleep(rng.expovariate(1 / JOB_SECONDS))

    async def _submit(
        self, job: str, first_entry: int, cancel_after: float | None
    ) -> None:
        """Submit a job at up to three instances, and perhaps cancel it."""
        with trio.CancelScope(shield=True):
            body = json.dumps(sound_messages.job()).encode()
            async with trio.open_nursery() as nursery:
                if cancel_after is not None:
                    nursery.start_soon(
                        self._cancel, job, first_entry + 1, cancel_after
                    )
                for number in range(SUBMISSIONS):
                    status, _ = await self._call(
                        first_entry + number, "POST", job, body
                    )
                    call = self.calls[job]
                    self.calls[job] = call._replace(
                        statuses=(*call.statuses, status)
                    )
                    if status == 200 or call.canceled_at is not None:
                        break

    async def _cancel(self, job: str, entry: int, after: float) -> None:
        await trio.sleep(after)
        for number in range(20):
            status, _ = await self._call(entry + number, "DELETE", job, b"")
            if status in (200, 202, 204, 410):
                self.calls[job] = self.calls[job]._replace(
                    canceled_at=trio.current_time()
                )
                return
            await trio.sleep(0.3)

    async def _call(
        self, entry: int, method: str, job: str, body: bytes
    ) -> tuple[int, bytes]:
        client = self._entries[entry % len(self._entries)]
        response = await client.call(
            method,
            sound_messages.PATH_PREFIX + job,
            body,
            {
                "host": sound_messages.HOST,
                "deadline": str(int(CALL_SECONDS * 1000)),
            },
            CALL_SECONDS,
        )
        if isinstance(response, http_client.CallFailure):
            return 0, b""
        return response.status, response.body

    async def _ask_for_states(self) -> bool:
        """Ask for the accepted jobs; return whether all are done."""
        done = True
        for job, call in list(self.calls.items()):
            if not call.accepted or call.canceled_at is not None:
                continue
            if call.state == "completed":
                continue
            status, body = await self._call(0, "GET", job, b"")
            state = json.loads(body)["state"] if status == 200 else str(status)
            self.calls[job] = call._replace(state=state)
            done = done and state == "completed"
        return done
