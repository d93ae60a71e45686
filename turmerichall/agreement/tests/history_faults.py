"""Faults that random histories inject into a cluster."""

import random

import trio

from turmerichall.agreement.tests import cluster
from turmerichall.storage import records

__all__ = ["Faults", "OBSERVERS"]

# The second follows the first, the third the second.
OBSERVERS = ["x", "y", "z"]


class Faults:
    """Injects faults, and ends them.

    Attributes:
        cluster: The instances.
        rng: Chooses the faults.
        count: How many were injected.
    """

    def __init__(self, made: cluster.Cluster, rng: random.Random):
        self.cluster = made
        self.rng = rng
        self.count = 0

    def may_lose_a_disk(self) -> bool:
        """Tells whether every voter has its own disk and runs."""
        made = self.cluster
        if any(files.full or files.sync_fails for files in made.files.values()):
            return False
        for name in made.names:
            if name not in made.replicas:
                return False
            status = made.replicas[name].status()
            own = {member.identity for member in status.members}
            current = {
                made.replicas[other].status().identity
                for other in made.names
                if other in made.replicas
            }
            if status.stopped or status.learners or own != current:
                return False
        return True

    async def inject(self) -> None:
        """Injects a fault, or ends some."""
        made = self.cluster
        kind = self.rng.choice(
            ["kill", "kill", "start", "start", "start", "cut", "one-way"]
            + ["heal", "heal", "wait", "disk", "wipe", "flip", "hand over"]
        )
        name = self.rng.choice(made.names + OBSERVERS)
        disk = name not in OBSERVERS
        self.count += 1
        if kind == "kill" and name in made.replicas:
            self.kill(name)
        elif kind == "start":
            for each in made.names + OBSERVERS:
                if each not in made.replicas:
                    await made.start(each, each not in OBSERVERS)
        elif kind == "cut":
            made.hub.isolate(name, set(made.names + OBSERVERS))
        elif kind == "one-way":
            made.hub.cut.add((name, self.rng.choice(made.names + OBSERVERS)))
        elif kind == "heal":
            made.hub.heal()
            await self.replace_stopped()
        elif kind == "wait":
            await trio.sleep(self.rng.uniform(5.0, 30.0))
        elif kind == "hand over":
            for leader in made.leaders():
                await made.replicas[leader].transfer_leadership()
        elif disk and self.may_lose_a_disk():
            await self.lose_disk(name, kind)

    def kill(self, name: str) -> None:
        """Kills an instance, at times in the middle of a write."""
        self.cluster.kill(name)
        if name not in OBSERVERS and self.rng.random() < 0.3:
            torn = records.frame(b"x" * 64)[: self.rng.randrange(1, 70)]
            content = self.cluster.files[name].content
            content["log"] = content.get("log", b"") + torn

    async def lose_disk(self, name: str, kind: str) -> None:
        """Loses, damages or fails the disk of an instance."""
        made = self.cluster
        if kind == "disk":
            fault = self.rng.choice(["full", "sync_fails"])
            setattr(made.files[name], fault, True)
            return
        made.kill(name)
        if kind == "wipe":
            made.wipe(name)
        else:
            log = bytearray(made.files[name].content["log"])
            log[self.rng.randrange(len(log))] ^= 1 << self.rng.randrange(8)
            made.files[name].content["log"] = bytes(log)
        await made.start(name)

    async def replace_stopped(self) -> None:
        """Gives instances whose disk failed an empty one."""
        made = self.cluster
        for name in list(made.replicas):
            if made.replicas[name].status().stopped:
                made.kill(name)
                made.wipe(name)
                await made.start(name)
