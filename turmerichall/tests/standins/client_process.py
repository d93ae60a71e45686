"""Finds out which local process opened a connection."""

import os
import pathlib

__all__ = ["find_name"]

_TABLE = pathlib.Path("/proc/net/tcp")


def find_name(
    client_port: int, listening_port: int, pids: dict[str, int]
) -> str:
    """Returns the name of the process at the client's end of a connection.

    Args:
        client_port: Port of the client's end.
        listening_port: Port that it connected to.
        pids: Process ids by name.

    Returns:
        The name, or empty if it is none of them.
    """
    inode = _inode(client_port, listening_port)
    if not inode:
        return ""
    wanted = f"socket:[{inode}]"
    for name, pid in pids.items():
        if _holds(pid, wanted):
            return name
    return ""


def _inode(local_port: int, remote_port: int) -> str:
    local, remote = f":{local_port:04X}", f":{remote_port:04X}"
    for line in _TABLE.read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(local) and fields[2].endswith(remote):
            return fields[9]
    return ""


def _holds(pid: int, wanted: str) -> bool:
    folder = f"/proc/{pid}/fd"
    try:
        return any(
            os.readlink(f"{folder}/{entry}") == wanted
            for entry in os.listdir(folder)
        )
    except OSError:
        # The process, or the descriptor, has gone meanwhile.
        return False
