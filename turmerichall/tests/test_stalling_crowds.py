"""Crowds of clients that stop short, against real processes.

Each test runs apart from all others; see the target `test` of the Makefile.
"""

from collections.abc import AsyncIterator
import contextlib
import json
import os
import pathlib
import resource
import signal

import httpcore
import pytest
import trio

from turmerichall.fuzzing import deployment as deployments
from turmerichall.http1 import client as http_client
from turmerichall.http1 import message
from turmerichall.platform import sound_messages
from turmerichall.tests import local_cluster
from turmerichall.tests import stalling_crowd

pytestmark = pytest.mark.alone

MEMORY_MB = 110
DESCRIPTORS = 256
# turmerichalld has no setting of its memory; this is the smallest machine.
DAEMON_MEMORY_MB = 160
SERVED_SECONDS = 60.0
BODY_BYTES = 256 * 1024 - 1024
CONTROL_BODY_BYTES = 4 * 1024 * 1024 - 64 * 1024
CUSTOMER = "ikengwu"
REQUEST_PATH = f"/v1/requests/{CUSTOMER}/offers"
JOB_PATH = sound_messages.PATH_PREFIX + "5c0e7a21d94b36f8"


def _peak_mb(process_id: int) -> float:
    """Return the highest resident memory of a process so far, in MB."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text("ascii")
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmHWM"].split()[0]) * 1024 / 1e6


def _count_descriptors(process_id: int) -> int:
    return len(os.listdir(f"/proc/{process_id}/fd"))


class _Queues:
    """Replicas and an entry instance that serve one queue.

    Attributes:
        deployment: The processes.
    """

    def __init__(self, deployment: deployments.Deployment):
        self.deployment = deployment
        self._jobs = 0

    async def wait_until_configured(self) -> None:
        """Wait until the replicas acknowledge a configuration."""
        document = sound_messages.configuration(1)
        await self._wait_for(
            f"{self.deployment.replicas[0].host}:{deployments.CONTROL_PORT}",
            "POST",
            sound_messages.control_path("replace"),
            json.dumps(document).encode(),
        )

    async def serve_one_of_each(self) -> None:
        """Wait until an ordinary request is served on each kind of port."""
        self._jobs += 1
        entry, replica = self.deployment.entry, self.deployment.replicas[0]
        job = f"{sound_messages.PATH_PREFIX}{self._jobs:016x}"
        body = json.dumps(sound_messages.job()).encode()
        clients = f"{entry.host}:{deployments.CLIENT_PORT}"
        await self._wait_for(clients, "POST", job, body)
        await self._wait_for(clients, "GET", job, b"")
        for address, path in (
            (f"{entry.host}:{deployments.READY_PORT}", "/v1/readyz"),
            (f"{entry.host}:{deployments.METRICS_PORT}", "/metrics"),
            (f"{replica.host}:{deployments.METRICS_PORT}", "/metrics"),
            (f"{replica.host}:{deployments.CONTROL_PORT}", "/v1/config/read"),
        ):
            await self._wait_for(address, "GET", path, b"")

    async def _wait_for(
        self, address: str, method: str, path: str, body: bytes
    ) -> None:
        """Repeat a request until it is answered with 200."""
        client = http_client.Client(address)
        headers = {"host": sound_messages.HOST}
        with trio.fail_after(SERVED_SECONDS):
            while True:
                response = await client.call(method, path, body, headers, 3.0)
                if (
                    isinstance(response, message.Response)
                    and response.status == 200
                ):
                    break
                await trio.sleep(0.2)
        client.close()


@contextlib.asynccontextmanager
async def _serving_queues(folder: pathlib.Path) -> AsyncIterator[_Queues]:
    number = os.getpid()
    network = f"127.{20 + number % 200}.{101 + number // 200 % 90}"
    deployment = deployments.Deployment(folder, network)
    for program in deployment.programs:
        program.settings = f"\n[limits]\nmemory_mb = {MEMORY_MB}\n"
    queues = _Queues(deployment)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(deployment.run)
        await trio.lowlevel.checkpoint()
        await queues.wait_until_configured()
        await queues.serve_one_of_each()
        yield queues
        nursery.cancel_scope.cancel()


def _program(
    deployment: deployments.Deployment, role: str
) -> deployments.Program:
    return deployment.entry if role == "entry" else deployment.replicas[0]


async def _check_crowd(
    folder: pathlib.Path, role: str, port: int, crowd: stalling_crowd.Crowd
) -> None:
    """Check that a process stays up, small and in service."""
    async with _serving_queues(folder) as queues:
        deployment = queues.deployment
        program = _program(deployment, role)
        await stalling_crowd.run(f"{program.host}:{port}", crowd)
        await queues.serve_one_of_each()
        peaks = {
            each.name: _peak_mb(each.process.pid)
            for each in deployment.programs
            if each.process is not None
        }
    assert not deployment.ends
    assert max(peaks.values()) < MEMORY_MB


class TestChunkedBodies:

    # Processes ran out of memory: a chunk of two bytes took some thirty times
    # its size, and the bodies of all connections together had no limit.
    @pytest.mark.parametrize(
        "role, port, chunk_bytes, body_bytes, clients",
        [
            ("entry", deployments.CLIENT_PORT, 2, BODY_BYTES, 60),
            ("entry", deployments.CLIENT_PORT, 4096, BODY_BYTES, 500),
            ("entry", deployments.CLIENT_PORT, 65_536, BODY_BYTES, 500),
            ("entry", deployments.READY_PORT, 2, BODY_BYTES, 60),
            ("entry", deployments.METRICS_PORT, 2, BODY_BYTES, 60),
            ("replica", deployments.METRICS_PORT, 2, BODY_BYTES, 60),
            ("replica", deployments.CONTROL_PORT, 2, BODY_BYTES, 60),
            (
                "replica",
                deployments.CONTROL_PORT,
                65_536,
                CONTROL_BODY_BYTES,
                60,
            ),
        ],
    )
    async def test_crowd_of_unfinished_bodies_is_borne(
        self,
        tmp_path: pathlib.Path,
        role: str,
        port: int,
        chunk_bytes: int,
        body_bytes: int,
        clients: int,
    ) -> None:
        request = stalling_crowd.chunked_body(
            JOB_PATH, {"host": sound_messages.HOST}, chunk_bytes, body_bytes
        )
        crowd = stalling_crowd.Crowd(clients, request)
        await _check_crowd(tmp_path, role, port, crowd)


class TestCompleteRequests:

    # Bytes of requests without a body became objects of many times their size
    # while the answer to the first one was not read.
    @pytest.mark.parametrize(
        "role, port",
        [
            ("entry", deployments.CLIENT_PORT),
            ("entry", deployments.METRICS_PORT),
            ("replica", deployments.CONTROL_PORT),
            ("replica", deployments.METRICS_PORT),
        ],
    )
    async def test_pipelined_requests_without_a_reader_are_borne(
        self, tmp_path: pathlib.Path, role: str, port: int
    ) -> None:
        request = b"GET /v1/config/read HTTP/1.1\r\n\r\n" * 20_000
        crowd = stalling_crowd.Crowd(200, request, reads=False)
        await _check_crowd(tmp_path, role, port, crowd)

    # Bodies that wait for a leader were kept with their copies in frames,
    # however many there were.
    async def test_bodies_that_wait_for_a_leader_are_borne(
        self, tmp_path: pathlib.Path
    ) -> None:
        body = b"x" * BODY_BYTES
        head = (
            f"POST {JOB_PATH} HTTP/1.1\r\nhost: {sound_messages.HOST}\r\n"
            f"deadline: 59000\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        crowd = stalling_crowd.Crowd(300, (head.encode() + body) * 4)
        async with _serving_queues(tmp_path) as queues:
            deployment = queues.deployment
            processes = [
                each.process for each in deployment.replicas if each.process
            ]
            for process in processes:
                process.send_signal(signal.SIGSTOP)
            clients = f"{deployment.entry.host}:{deployments.CLIENT_PORT}"
            await stalling_crowd.run(clients, crowd)
            for process in processes:
                process.send_signal(signal.SIGCONT)
            await queues.serve_one_of_each()
            assert deployment.entry.process is not None
            peak_mb = _peak_mb(deployment.entry.process.pid)
        assert not deployment.ends
        assert peak_mb < MEMORY_MB


class TestHeaders:

    async def test_many_short_fields_are_borne(
        self, tmp_path: pathlib.Path
    ) -> None:
        crowd = stalling_crowd.Crowd(150, stalling_crowd.endless_head(4000))
        await _check_crowd(tmp_path, "entry", deployments.CLIENT_PORT, crowd)

    # A process whose descriptors are all in use reaches no leader.
    @pytest.mark.parametrize(
        "role, port",
        [
            ("entry", deployments.CLIENT_PORT),
            ("replica", deployments.CONTROL_PORT),
        ],
    )
    async def test_descriptors_are_left_for_other_uses(
        self, tmp_path: pathlib.Path, role: str, port: int
    ) -> None:
        crowd = stalling_crowd.Crowd(400, stalling_crowd.endless_head(2))
        most = 0
        async with _serving_queues(tmp_path) as queues:
            program = _program(queues.deployment, role)
            assert program.process is not None
            process_id = program.process.pid
            resource.prlimit(
                process_id, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS)
            )
            async with trio.open_nursery() as nursery:

                async def send() -> None:
                    await stalling_crowd.run(f"{program.host}:{port}", crowd)
                    nursery.cancel_scope.cancel()

                nursery.start_soon(send)
                while True:
                    most = max(most, _count_descriptors(process_id))
                    await trio.sleep(0.05)
            await queues.serve_one_of_each()
        assert not queues.deployment.ends
        assert most < DESCRIPTORS * 9 // 10


class TestFramesOfStrangers:

    # Each connection without the cluster's key could announce a frame of 4 MiB
    # and have all but its last byte kept.
    async def test_crowd_without_the_key_is_borne(
        self, tmp_path: pathlib.Path
    ) -> None:
        frame = (4 * 1024 * 1024).to_bytes(4, "big") + bytes(4_000_000)
        crowd = stalling_crowd.Crowd(60, frame)
        await _check_crowd(tmp_path, "replica", deployments.PEER_PORT, crowd)


class TestDaemonOfServices:

    # The same crowds on `turmerichalld`, which bounded connections only.
    @pytest.mark.parametrize(
        "port, path, chunk_bytes, body_bytes, clients",
        [
            ("callers", REQUEST_PATH, 65_536, 1_000_000, 250),
            ("callers", REQUEST_PATH, 2, 60_000, 200),
            ("operators", "/v1/workers/announce", 65_536, 1_000_000, 250),
            ("operators", "/v1/workers/announce", 2, 60_000, 200),
        ],
    )
    async def test_crowd_of_unfinished_bodies_is_borne(
        self,
        tmp_path: pathlib.Path,
        port: str,
        path: str,
        chunk_bytes: int,
        body_bytes: int,
        clients: int,
    ) -> None:
        headers = {
            "host": "a",
            "authorization": f"Bearer {local_cluster.WORKERS_KEY}",
            "turmerichall-idempotent": "true",
        }
        request = stalling_crowd.chunked_body(
            path, headers, chunk_bytes, body_bytes
        )
        await _check_daemon(
            tmp_path, port, stalling_crowd.Crowd(clients, request)
        )

    async def test_crowd_without_the_key_is_borne(
        self, tmp_path: pathlib.Path
    ) -> None:
        frame = (4 * 1024 * 1024).to_bytes(4, "big") + bytes(4_000_000)
        await _check_daemon(tmp_path, "peers", stalling_crowd.Crowd(60, frame))


async def _check_daemon(
    folder: pathlib.Path, port: str, crowd: stalling_crowd.Crowd
) -> None:
    """Check that a daemon of services stays up, small and in service."""
    cluster = local_cluster.LocalCluster(folder, ("z1",))
    try:
        await cluster.start(workers_per_zone=1)
        await _publish(cluster)
        callers = f"http://{cluster.instances['i1'].callers}{REQUEST_PATH}"
        await _wait_until_served(callers)
        process = cluster.processes["i1"]
        address: str = getattr(cluster.instances["i1"], port)
        await stalling_crowd.run(address, crowd)
        await cluster.wait_ready("i1")
        await _wait_until_served(callers)
        assert process.poll() is None
        peak_mb = _peak_mb(process.pid)
    finally:
        cluster.kill_all()
    assert peak_mb < DAEMON_MEMORY_MB


async def _publish(cluster: local_cluster.LocalCluster) -> None:
    """Set up one customer with one service."""
    for command in (
        "template publish offers --kind service --processors 1 --memory_mb 500",
        f"customer set {CUSTOMER} --team desk --urgency urgent --zones z1"
        " --services offers=1",
    ):
        code, output = await cluster.run_cli(*command.split())
        assert code == 0, output


async def _wait_until_served(url: str) -> None:
    """Repeat a request until it is answered with 200."""
    headers = [("turmerichall-idempotent", "true")]
    with trio.fail_after(SERVED_SECONDS):
        while True:
            async with httpcore.AsyncConnectionPool() as pool:
                with contextlib.suppress(
                    httpcore.NetworkError, httpcore.ProtocolError
                ):
                    response = await pool.request(
                        "POST", url, headers=headers, content=b"9:30"
                    )
                    if response.status == 200:
                        return
            await trio.sleep(0.2)
