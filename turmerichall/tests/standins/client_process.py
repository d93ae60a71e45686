"""Identification of the local process that opened a connection."""

import os
import pathlib

__all__ = ["find_name"]

_TCP_TABLE = pathlib.Path("/proc/net/tcp")


def find_name(
    client_port: int, listening_port: int, pids: dict[str, int]
) -> str:
    """Return the name of the process at the client end of a connection.

    Args:
        client_port: Port at the client end.
        listening_port: Port that it connected to.
        pids: Ids of the candidate processes by name.

    Returns:
        The name, or empty if none of the candidates has the connection.
    """
    inode = _socket_inode(client_port, listening_port)
    if not inode:
        return ""
    link_target = f"socket:[{inode}]"
    for name, pid in pids.items():
        if _has_open(pid, link_target):
            return name
    return ""


def _socket_inode(local_port: int, remote_port: int) -> str:
    """Return the inode of the socket at the local port, or empty."""
    local, remote = f":{local_port:04X}", f":{remote_port:04X}"
    for line in _TCP_TABLE.read_text(encoding="ascii").splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(local) and fields[2].endswith(remote):
            return fields[9]
    return ""


def _has_open(pid: int, link_target: str) -> bool:
    folder = f"/proc/{pid}/fd"
    try:
        return any(
            os.readlink(f"{folder}/{descriptor}") == link_target
            for descriptor in os.listdir(folder)
        )
    except OSError:
        # The process has exited or closed the descriptor in the meantime.
        return False
