"""Demonstrates a local cluster: starts it, uses it and stops it.

    python -m turmerichall.demo

Runs three daemons as processes, one for each availability zone, and two
stand-in workers in each zone.  Every step prints what it did; the exit code is
0 only if all steps succeeded.
"""

import functools
import pathlib
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

import msgspec
import trio

from turmerichall.tests import local_cluster

__all__ = ["main"]

STEP_TIMEOUT_SECONDS = 30.0
POLL_INTERVAL_SECONDS = 0.3


class DemoError(Exception):
    """A step of the demonstration failed."""


class Demo:
    """Operates one local cluster with the operators' command line.

    Attributes:
        cluster: The processes of the cluster.
        started_at: When the demonstration began, Unix time.
    """

    def __init__(self, cluster: local_cluster.LocalCluster):
        self.cluster = cluster
        self.started_at = time.time()

    def report(self, text: str) -> None:
        """Print a message with the time since the start."""
        print(f"[{time.time() - self.started_at:5.1f} s] {text}", flush=True)

    async def run(self) -> None:
        """Run all steps."""
        await self.cluster.start()
        self.report("three daemons and six workers are running")
        await self.publish()
        await self.serve_requests()
        await self.run_job()
        await self.drain()
        await self.stop_daemon()

    async def command(self, *arguments: str) -> str:
        """Run a command and return its output.

        Raises:
            DemoError: The command failed.
        """
        code, text = await self.cluster.run_cli(*arguments)
        if code != 0:
            command = " ".join(arguments)
            raise DemoError(f"turmerichall {command} exited {code}: {text}")
        return text

    async def document(self, *arguments: str) -> object:
        """Run a command and return its JSON document."""
        text = await self.command("--format", "json", *arguments)
        return msgspec.json.decode(text)

    async def wait_until(
        self, what: str, check: Callable[[], Awaitable[bool]]
    ) -> None:
        """Repeat a check until it succeeds.

        Args:
            what: What is waited for, for the error message.
            check: Returns whether it has happened.

        Raises:
            DemoError: The check did not succeed within the time limit.
        """
        with trio.move_on_after(STEP_TIMEOUT_SECONDS):
            while not await check():
                await trio.sleep(POLL_INTERVAL_SECONDS)
            return
        raise DemoError(f"{what}: not done within {STEP_TIMEOUT_SECONDS:g} s")

    async def publish(self) -> None:
        """Publish a service and a batch template, and set up a customer."""
        size = ("--processors", "1", "--memory_mb", "500")
        await self.command(
            "template", "publish", "offers", "--kind", "service", *size
        )
        await self.command(
            *("template", "publish", "roster", "--kind", "batch", *size),
            *("--run_seconds", "2"),
        )
        await self.command(
            *("customer", "set", "ikengwu", "--team", "desk"),
            *("--urgency", "urgent", "--zones", "z1,z2,z3"),
            *("--services", "offers=1"),
        )
        self.report(
            "published templates offers and roster, set customer ikengwu"
        )

    async def serve_requests(self) -> None:
        """Send requests through each daemon until one of them is answered."""
        for instance in self.cluster.instances.values():
            await self.wait_until(
                f"a request through {instance.name}",
                functools.partial(self._answered, instance.callers),
            )
            self.report(f"a request through {instance.name} was answered")

    async def _answered(self, address: str) -> bool:
        code, text = await self.cluster.run_cli(
            *("--callers", address, "requests", "send", "offers"),
            *("--customer", "ikengwu", "--body", "slot 9:30"),
        )
        return code == 0 and "slot 9:30" in text

    async def run_job(self) -> None:
        """Submit a batch job and wait until it has finished."""
        await self.command(
            *("job", "submit", "--customer", "ikengwu", "--template", "roster"),
            *("--tasks", "4", "--job_id", "night1"),
        )
        self.report("job night1 was accepted")

        async def is_finished() -> bool:
            return '"finished"' in await self.command(
                "--format", "json", "job", "status", "night1"
            )

        await self.wait_until("job night1 finished", is_finished)
        self.report("job night1 finished; the decisions about it:")
        print(await self.command("job", "explain", "night1"))

    async def drain(self) -> None:
        """Drain a backend server and wait until it gets no new work."""
        name = await self._serving_worker()
        await self.command("backend-server", "drain", name)
        self.report(f"backend server {name} is draining")

        async def is_replaced() -> bool:
            return name not in await self._answering_workers(6)

        await self.wait_until(f"{name} gets no new work", is_replaced)
        self.report(f"{name} gets no new work; its service runs elsewhere")

    async def _serving_worker(self) -> str:
        return min(await self._answering_workers(6))

    async def _answering_workers(self, requests: int) -> set[str]:
        names = set()
        address = self.cluster.instances["i1"].callers
        for _ in range(requests):
            code, text = await self.cluster.run_cli(
                *("--callers", address, "requests", "send", "offers"),
                *("--customer", "ikengwu", "--body", "x"),
            )
            answering = {w for w in self.cluster.workers if f'"{w}"' in text}
            names |= answering if code == 0 else set()
        return names

    async def stop_daemon(self) -> None:
        """Drain and stop a daemon; check that the others go on serving."""
        code = await self.cluster.stop("i3", signal.SIGTERM)
        if code != 0:
            raise DemoError(f"daemon i3 exited {code}")
        self.report("daemon i3 finished its requests in flight and stopped")
        for name in ("i1", "i2"):
            address = self.cluster.instances[name].callers
            await self.wait_until(
                f"a request through {name}",
                functools.partial(self._answered, address),
            )
        self.report("the other two daemons go on serving")


async def _demonstrate() -> int:
    with tempfile.TemporaryDirectory(prefix="turmerichall-") as folder:
        cluster = local_cluster.LocalCluster(pathlib.Path(folder))
        try:
            await Demo(cluster).run()
        except (DemoError, trio.TooSlowError) as error:
            print(f"failed: {error}", file=sys.stderr)
            for log in sorted(pathlib.Path(folder).glob("i*.log")):
                tail = log.read_text().splitlines()[-5:]
                print(f"{log.name}:", *tail, sep="\n", file=sys.stderr)
            return 1
        finally:
            cluster.kill_all()
    print("done: all steps succeeded")
    return 0


def main() -> None:
    """Run the demonstration and exit with its exit code."""
    sys.exit(trio.run(_demonstrate))


if __name__ == "__main__":
    main()
