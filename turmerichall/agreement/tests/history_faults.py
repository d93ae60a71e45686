"""Fault injection for random histories."""

import random

import trio

from turmerichall.agreement.tests import cluster as clusters
from turmerichall.storage import records

__all__ = ["Faults", "OBSERVERS"]

# In the fan-out tree, y follows x, and z follows y.
OBSERVERS = ["x", "y", "z"]
MAX_DISK_FAULT_SECONDS = 20.0


class Faults:
    """Injects faults, and ends them.

    Attributes:
        cluster: The cluster that faults are injected into.
        rng: Chooses the faults.
        disks_recover: Whether full disks and failing syncs end by themselves;
            then any number of disks may fail at once.
        count: Number of injected faults.
    """

    def __init__(
        self,
        cluster: clusters.Cluster,
        rng: random.Random,
        disks_recover: bool = False,
    ):
        self.cluster = cluster
        self.rng = rng
        self.disks_recover = disks_recover
        self.count = 0

    def may_lose_a_disk(self) -> bool:
        """Return whether all members run and are voters with working disks.

        Only then does the loss of one disk leave a quorum.
        """
        cluster = self.cluster
        if any(
            files.full or files.sync_fails for files in cluster.files.values()
        ):
            return False
        for name in cluster.names:
            if name not in cluster.replicas:
                return False
            status = cluster.replicas[name].status()
            own = {member.identity for member in status.members}
            current = {
                cluster.replicas[other].status().identity
                for other in cluster.names
                if other in cluster.replicas
            }
            if status.stopped or status.learners or own != current:
                return False
        return True

    async def inject(self) -> None:
        """Inject a random fault, or end some."""
        cluster = self.cluster
        kind = self.rng.choice(
            ["kill", "kill", "start", "start", "start", "cut", "one-way"]
            + ["heal", "heal", "wait", "disk", "wipe", "flip", "transfer"]
        )
        name = self.rng.choice(cluster.names + OBSERVERS)
        disk = name not in OBSERVERS
        self.count += 1
        if kind == "kill" and name in cluster.replicas:
            self.kill(name)
        elif kind == "start":
            for each in cluster.names + OBSERVERS:
                if each not in cluster.replicas:
                    await cluster.start(each, each not in OBSERVERS)
        elif kind == "cut":
            cluster.hub.isolate(name, set(cluster.names + OBSERVERS))
        elif kind == "one-way":
            cluster.hub.cut.add(
                (name, self.rng.choice(cluster.names + OBSERVERS))
            )
        elif kind == "heal":
            cluster.hub.heal()
            await self.replace_stopped()
        elif kind == "wait":
            await trio.sleep(self.rng.uniform(5.0, 30.0))
        elif kind == "transfer":
            for leader in cluster.leaders():
                await cluster.replicas[leader].transfer_leadership()
        elif disk and kind == "disk" and self.disks_recover:
            self.fail_disk(name)
        elif disk and self.may_lose_a_disk():
            await self.lose_disk(name, kind)

    def kill(self, name: str) -> None:
        """Kill an instance, sometimes in the middle of a write."""
        self.cluster.kill(name)
        if name not in OBSERVERS and self.rng.random() < 0.3:
            torn = records.frame(b"x" * 64)[: self.rng.randrange(1, 70)]
            content = self.cluster.files[name].content
            content["log"] = content.get("log", b"") + torn

    async def lose_disk(self, name: str, kind: str) -> None:
        """Make the disk of an instance fail, or wipe or corrupt it."""
        cluster = self.cluster
        if kind == "disk":
            self.fail_disk(name)
            return
        cluster.kill(name)
        if kind == "wipe":
            cluster.wipe(name)
        else:
            log = bytearray(cluster.files[name].content["log"])
            log[self.rng.randrange(len(log))] ^= 1 << self.rng.randrange(8)
            cluster.files[name].content["log"] = bytes(log)
        await cluster.start(name)

    def fail_disk(self, name: str) -> None:
        """Make a disk full or its syncs fail, for a while or for good."""
        files = self.cluster.files[name]
        fault = self.rng.choice(["full", "sync_fails"])
        setattr(files, fault, True)

        async def recover(seconds: float) -> None:
            await trio.sleep(seconds)
            setattr(files, fault, False)

        if self.disks_recover:
            seconds = self.rng.uniform(0.0, MAX_DISK_FAULT_SECONDS)
            self.cluster.nursery.start_soon(recover, seconds)

    async def replace_stopped(self) -> None:
        """Restart instances whose disk failed for good, with an empty disk."""
        cluster = self.cluster
        for name in list(cluster.replicas):
            reason = cluster.replicas[name].status().stopped
            if self.disks_recover and "failed" in reason:
                continue
            if reason:
                cluster.kill(name)
                cluster.wipe(name)
                await cluster.start(name)
