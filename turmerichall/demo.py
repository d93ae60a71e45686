"""Starts the whole path on this machine, drives it and stops it.

    python -m turmerichall.demo

Three daemons, one for each availability zone, and two stand-in workers in each
run as processes.  Every step prints what it did; the exit code is 0 only if
each did what it should.
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

STEP_SECONDS = 30.0
POLL_SECONDS = 0.3


class DemoError(Exception):
    """A step of the demonstration did not do what it should."""


class Demo:
    """Drives one local cluster through the operators' command line.

    Attributes:
        cluster: The processes.
        started_at: When the demonstration began, Unix time.
    """

    def __init__(self, cluster: local_cluster.LocalCluster):
        self.cluster = cluster
        self.started_at = time.time()

    def say(self, text: str) -> None:
        """Prints one step."""
        print(f"[{time.time() - self.started_at:5.1f} s] {text}", flush=True)

    async def run(self) -> None:
        """Runs all steps."""
        await self.cluster.start()
        self.say("three daemons and six workers are running")
        await self.publish()
        await self.serve_requests()
        await self.run_job()
        await self.drain()
        await self.stop_daemon()

    async def command(self, *arguments: str) -> str:
        """Runs a command that must succeed, and returns what it printed."""
        code, text = await self.cluster.run_cli(*arguments)
        if code != 0:
            shown = " ".join(arguments)
            raise DemoError(f"turmerichall {shown} exited {code}: {text}")
        return text

    async def document(self, *arguments: str) -> object:
        """Runs a command and returns its JSON document."""
        text = await self.command("--format", "json", *arguments)
        return msgspec.json.decode(text)

    async def until(
        self, what: str, check: Callable[[], Awaitable[bool]]
    ) -> None:
        """Waits until a check holds."""
        with trio.move_on_after(STEP_SECONDS):
            while not await check():
                await trio.sleep(POLL_SECONDS)
            return
        raise DemoError(f"{what}: not within {STEP_SECONDS:g} s")

    async def publish(self) -> None:
        """Publishes two templates and sets a customer's parameters."""
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
        self.say("published templates offers and roster, set customer ikengwu")

    async def serve_requests(self) -> None:
        """Sends a request through each daemon."""
        for instance in self.cluster.instances.values():
            await self.until(
                f"a request through {instance.name}",
                functools.partial(self._answered, instance.callers),
            )
            self.say(f"a request through {instance.name} was answered")

    async def _answered(self, address: str) -> bool:
        code, text = await self.cluster.run_cli(
            *("--callers", address, "requests", "send", "offers"),
            *("--customer", "ikengwu", "--body", "slot 9:30"),
        )
        return code == 0 and "slot 9:30" in text

    async def run_job(self) -> None:
        """Runs a batch job to its end."""
        await self.command(
            *("job", "submit", "--customer", "ikengwu", "--template", "roster"),
            *("--tasks", "4", "--job_id", "night1"),
        )
        self.say("job night1 was accepted")

        async def finished() -> bool:
            return '"finished"' in await self.command(
                "--format", "json", "job", "status", "night1"
            )

        await self.until("job night1 finished", finished)
        self.say("job night1 finished; the decisions about it:")
        print(await self.command("job", "explain", "night1"))

    async def drain(self) -> None:
        """Drains a backend server and sees that it gets no new work."""
        name = await self._serving_worker()
        await self.command("backend-server", "drain", name)
        self.say(f"backend server {name} is draining")

        async def replaced() -> bool:
            return name not in await self._answering_workers(6)

        await self.until(f"{name} gets no new work", replaced)
        self.say(f"{name} gets no new work; its service runs elsewhere")

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
            found = {w for w in self.cluster.workers if f'"{w}"' in text}
            names |= found if code == 0 else set()
        return names

    async def stop_daemon(self) -> None:
        """Stops a daemon politely; the others go on."""
        code = await self.cluster.stop("i3", signal.SIGTERM)
        if code != 0:
            raise DemoError(f"daemon i3 exited {code}")
        self.say("daemon i3 finished what was in flight and stopped")
        for name in ("i1", "i2"):
            address = self.cluster.instances[name].callers
            await self.until(
                f"a request through {name}",
                functools.partial(self._answered, address),
            )
        self.say("the other two go on serving")


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
    print("done: every step did what it should")
    return 0


def main() -> None:
    """Runs the demonstration and exits with its code."""
    sys.exit(trio.run(_demonstrate))


if __name__ == "__main__":
    main()
