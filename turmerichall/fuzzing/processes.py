"""Sends hostile inputs to running processes beside sound work.

    python -m turmerichall.fuzzing.processes --seed 1 --minutes 2

Three replicas and an entry instance run as processes on loopback addresses.
Hostile workers, operators and clients send mutated messages and raw bytes to
all of their ports, while sound workers run sound jobs.  The program prints the
inputs by kind and all faults, and exits with 1 if there are any: a process that
ended, memory above the limit, a job that was accepted and is unknown or did not
complete, or a configuration that was not acknowledged.
"""

import argparse
import collections
import json
import pathlib
import random
import sys
import tempfile
from typing import Any

import trio

from turmerichall.fuzzing import deployment as deployments
from turmerichall.fuzzing import mutations
from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.http1 import server
from turmerichall.platform import sound_messages
from turmerichall.platform.tests import wire_worker

__all__ = ["Fuzzer", "main"]

START_SECONDS = 20.0
JOB_SECONDS = 1.0
CONFIGURATION_SECONDS = 5.0
ACKNOWLEDGE_SECONDS = 20.0
SETTLE_SECONDS = 60.0
HEARTBEAT_SECONDS = 1.0
INPUT_SECONDS = 0.05
ANSWER_SECONDS = 0.2
CALL_SECONDS = 3.0
MAX_MEMORY_MB = 300.0
HOSTILE_SERVICE = "other"
WORKERS = 2


class Fuzzer:
    """One run against one deployment.

    Attributes:
        deployment: The processes.
        rng: Chooses the inputs.
        inputs: Number of hostile inputs by kind.
        accepted: Ids of sound jobs that were accepted.
        faults: What went wrong, beside ends of processes.
        workers: The sound workers.
    """

    def __init__(self, deployment: deployments.Deployment, rng: random.Random):
        self.deployment = deployment
        self.rng = rng
        self.inputs: collections.Counter[str] = collections.Counter()
        self.accepted: list[str] = []
        self.faults: list[str] = []
        self.workers: list[wire_worker.WireWorker] = []
        self._version = 0
        self._jobs = 0
        self._controls = [
            http_client.Client(f"{each.host}:{deployments.CONTROL_PORT}")
            for each in deployment.replicas
        ]
        self._entry = http_client.Client(
            f"{deployment.entry.host}:{deployments.CLIENT_PORT}"
        )

    async def run(self, seconds: float) -> None:
        """Run for a time, and then check that the sound work gets done."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.deployment.run)
            for number in range(WORKERS):
                await nursery.start(self._run_worker, number)
            hostile = await nursery.start(trio.serve_tcp, self._serve, 0)
            port = hostile[0].socket.getsockname()[1]
            with trio.fail_after(START_SECONDS):
                while not await self._configure():
                    await trio.sleep(0.2)
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as hostiles:
                    hostiles.start_soon(self._attack, f"127.0.0.1:{port}")
                    hostiles.start_soon(self._submit_jobs)
                    hostiles.start_soon(self._keep_configuring)
            await self._check()
            nursery.cancel_scope.cancel()

    # Sound participants.

    async def _run_worker(
        self, number: int, *, task_status: Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        worker = wire_worker.WireWorker(f"sound-{number}")
        worker.life.run_seconds = 0.2
        self.workers.append(worker)

        async def answer(request: message.Request) -> message.Response:
            result = await worker.call(
                request.method,
                request.target,
                request.body,
                request.headers,
                CALL_SECONDS,
            )
            if isinstance(result, http_client.CallFailure):
                return message.Response(503)
            return result

        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                server.Server(answer).run, "127.0.0.1:0"
            )
            task_status.started()
            sequence = 0
            while True:
                sequence += 1
                document = sound_messages.heartbeat(
                    address,
                    f"m-{number}",
                    sequence,
                    worker.life.clock_ms(),
                    sound_messages.SERVICE,
                )
                document["born"] = worker.life.born_ms
                path = sound_messages.control_path("heartbeat", worker.name)
                await self._control(path, json.dumps(document).encode())
                await trio.sleep(HEARTBEAT_SECONDS)

    async def _control(self, path: str, body: bytes) -> int:
        """Call each replica until one answers 200; return the last status."""
        status = 0
        for client in self._controls:
            response = await client.call("POST", path, body, {}, 1.5)
            if isinstance(response, message.Response):
                status = response.status
                if status == 200:
                    break
        return status

    async def _configure(self) -> bool:
        document = sound_messages.configuration(self._version + 1)
        path = sound_messages.control_path("replace")
        if await self._control(path, json.dumps(document).encode()) != 200:
            return False
        self._version += 1
        return True

    async def _keep_configuring(self) -> None:
        while True:
            await trio.sleep(CONFIGURATION_SECONDS)
            began_at = trio.current_time()
            while not await self._configure():
                if trio.current_time() - began_at > ACKNOWLEDGE_SECONDS:
                    self.faults.append("a configuration is not acknowledged")
                    break
                await trio.sleep(0.2)

    async def _call_entry(
        self, method: str, job: str, body: bytes
    ) -> tuple[int, bytes]:
        response = await self._entry.call(
            method,
            sound_messages.PATH_PREFIX + job,
            body,
            {"host": sound_messages.HOST, "deadline": "3000"},
            CALL_SECONDS + 0.5,
        )
        if isinstance(response, http_client.CallFailure):
            return 0, b""
        return response.status, response.body

    async def _submit_jobs(self) -> None:
        body = json.dumps(sound_messages.job()).encode()
        while True:
            self._jobs += 1
            job = f"sound{self._jobs}"
            status, _ = await self._call_entry("POST", job, body)
            if status == 200:
                self.accepted.append(job)
            await trio.sleep(JOB_SECONDS)

    async def _check(self) -> None:
        """Wait until the accepted jobs are complete; record what is not."""
        if not await self._is_served():
            self.faults.append("no configuration is acknowledged at the end")
        states = dict.fromkeys(self.accepted, "not asked")
        with trio.move_on_after(SETTLE_SECONDS):
            while any("completed" not in state for state in states.values()):
                for job, state in states.items():
                    if "completed" in state:
                        continue
                    status, body = await self._call_entry("GET", job, b"")
                    states[job] = f"{status} {body.decode(errors='replace')}"
                await trio.sleep(0.5)
        self.faults += [
            f"job {job}: {state}"
            for job, state in states.items()
            if "completed" not in state
        ]
        self.faults += [
            f"{program.name} used {program.peak_mb:.0f} MB"
            for program in self.deployment.programs
            if program.peak_mb > MAX_MEMORY_MB
        ]

    async def _is_served(self) -> bool:
        with trio.move_on_after(ACKNOWLEDGE_SECONDS):
            while not await self._configure():
                await trio.sleep(0.2)
            return True
        return False

    # Hostile participants.

    async def _attack(self, worker_address: str) -> None:
        """Send hostile inputs, one after the other."""
        rng = self.rng
        senders = {
            "heartbeat": self._send_heartbeat,
            "deregistration": self._send_deregistration,
            "configuration": self._send_configuration,
            "evacuation": self._send_evacuation,
            "job": self._send_job,
            "raw": self._send_raw,
            "worker": self._send_sound_heartbeat,
        }
        while True:
            kind = rng.choice(list(senders))
            self.inputs[kind] += 1
            await senders[kind](worker_address)
            await trio.sleep(INPUT_SECONDS)

    async def _send_heartbeat(self, address: str) -> None:
        document = sound_messages.heartbeat(
            address, "m-hostile", 1, 1, HOSTILE_SERVICE
        )
        document["born"] = 0
        name = f"hostile-{self.inputs['heartbeat']}"
        await self._post_control(
            sound_messages.control_path("heartbeat", name),
            mutations.hostile_document(document, self.rng),
        )

    async def _send_sound_heartbeat(self, address: str) -> None:
        """Register a worker whose answers are hostile."""
        name = f"liar-{self.inputs['worker']}"
        document = sound_messages.heartbeat(
            address, "m-liar", 1, 1, HOSTILE_SERVICE
        )
        document["born"] = 0
        await self._post_control(
            sound_messages.control_path("heartbeat", name),
            json.dumps(document).encode(),
        )

    async def _send_deregistration(self, _: str) -> None:
        name = self.rng.choice(
            ["hostile-1", "%00", "a#5", "\u00e9", "x" * 9000]
        )
        await self._post_control(
            sound_messages.control_path("deregister", name), b""
        )

    async def _send_evacuation(self, _: str) -> None:
        zone = self.rng.choice(["%ff%fe", "%0a", "x" * 9000, "nowhere"])
        verb = self.rng.choice(["begin", "finish"])
        await self._post_control(sound_messages.control_path(verb, zone), b"")

    async def _send_configuration(self, _: str) -> None:
        # The version is never higher than that of the sound operator.
        document = sound_messages.configuration(0)
        await self._post_control(
            sound_messages.control_path("replace"),
            mutations.hostile_document({**document, "x": 0}, self.rng),
        )

    async def _send_job(self, _: str) -> None:
        body = mutations.hostile_document(sound_messages.job(), self.rng)
        number = self.inputs["job"]
        entry = self.deployment.entry
        target = f"{sound_messages.PATH_PREFIX}hostile{number}"
        await self._send(
            f"{entry.host}:{deployments.CLIENT_PORT}",
            _post(target, body, sound_messages.HOST),
        )

    async def _send_raw(self, _: str) -> None:
        program = self.rng.choice(self.deployment.programs)
        port = self.rng.choice(program.ports)
        data = self.rng.choice(
            [*mutations.RAW_INPUTS, self.rng.randbytes(1000)]
        )
        await self._send(f"{program.host}:{port}", data)

    async def _post_control(self, path: str, body: bytes) -> None:
        replica = self.rng.choice(self.deployment.replicas)
        await self._send(
            f"{replica.host}:{deployments.CONTROL_PORT}", _post(path, body, "a")
        )

    async def _send(self, address: str, data: bytes) -> None:
        """Send bytes, and wait for the beginning of an answer."""
        host, _, port = address.rpartition(":")
        try:
            with trio.move_on_after(ANSWER_SECONDS):
                async with await trio.open_tcp_stream(
                    host, int(port)
                ) as stream:
                    await stream.send_all(data)
                    await stream.receive_some(4096)
        except (OSError, trio.BrokenResourceError):
            # The process is down, or has closed the connection.
            return

    async def _serve(self, stream: trio.SocketStream) -> None:
        """Answer the calls of leaders as a hostile worker."""
        try:
            while await stream.receive_some():
                self.inputs["answer"] += 1
                await stream.send_all(self._worker_answer())
        except trio.BrokenResourceError:
            return

    def _worker_answer(self) -> bytes:
        if self.rng.random() < 0.2:
            return self.rng.choice(sound_messages.ANSWER_KINDS)
        clock_ms = int(trio.current_time() * 1000) + 5000
        document = sound_messages.poll_answer(clock_ms)
        if self.rng.random() < 0.3:
            body = json.dumps(document).encode()
        else:
            body = mutations.hostile_document(document, self.rng)
        return message.encode_response(message.Response(200, body))


def _post(target: str, body: bytes, host: str) -> bytes:
    request = message.Request("POST", target, {"host": host}, body)
    return message.encode_request(request)


async def _run(seed: int, minutes: float, folder: pathlib.Path) -> int:
    rng = random.Random(seed)
    # Runs with other seeds can go on at the same time.
    network = f"127.{20 + seed % 200}.{1 + seed // 200 % 200}"
    fuzzer = Fuzzer(deployments.Deployment(folder, network), rng)
    await fuzzer.run(minutes * 60)
    ends = fuzzer.deployment.ends
    print(f"seed {seed}, {sum(fuzzer.inputs.values())} inputs")
    for kind, count in sorted(fuzzer.inputs.items()):
        print(f"  {kind}: {count}")
    print(f"{len(fuzzer.accepted)} sound jobs accepted")
    for program in fuzzer.deployment.programs:
        print(f"{program.name}: at most {program.peak_mb:.0f} MB")
    for end in ends:
        print(f"{end.name} ended with {end.status} at {end.at_seconds:.1f} s")
        for line in end.lines:
            print(f"    {line}")
    for fault in fuzzer.faults:
        print(f"fault: {fault}")
    return 1 if ends or fuzzer.faults else 0


def main() -> None:
    """Run the program with the arguments of the command line."""
    parser = argparse.ArgumentParser(
        description=(__doc__ or "").splitlines()[0]
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=2.0)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="fuzzing-") as folder:
        status = trio.run(
            _run, arguments.seed, arguments.minutes, pathlib.Path(folder)
        )
    sys.exit(status)


if __name__ == "__main__":
    main()
