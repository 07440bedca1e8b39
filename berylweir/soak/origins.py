"""Finds the process to which a TCP connection on loopback belongs."""

from collections.abc import Iterable
import pathlib

_PROC = pathlib.Path("/proc")
# Columns of `/proc/net/tcp`: local and remote address, and inode.
_LOCAL_COLUMN = 1
_REMOTE_COLUMN = 2
_INODE_COLUMN = 9


def find_process(
    local_port: int, remote_port: int, process_ids: Iterable[int]
) -> int | None:
    """Returns the process that has the other end of a connection.

    Args:
        local_port: TCP port of this process.
        remote_port: TCP port of the other process.
        process_ids: Processes that it may be.

    Returns:
        Its id; None if the connection belongs to none of them.
    """
    inode = _find_inode(remote_port, local_port)
    if inode is None:
        return None
    for process_id in process_ids:
        if _has_socket(process_id, inode):
            return process_id
    return None


def _find_inode(local_port: int, remote_port: int) -> str | None:
    """Returns the inode of a connected socket by its two ports."""
    for line in (_PROC / "net" / "tcp").read_text().splitlines()[1:]:
        columns = line.split()
        if (
            _decode_port(columns[_LOCAL_COLUMN]) == local_port
            and _decode_port(columns[_REMOTE_COLUMN]) == remote_port
        ):
            return columns[_INODE_COLUMN]
    return None


def _decode_port(address: str) -> int:
    return int(address.rpartition(":")[2], 16)


def _has_socket(process_id: int, inode: str) -> bool:
    name = f"socket:[{inode}]"
    try:
        for descriptor in (_PROC / str(process_id) / "fd").iterdir():
            try:
                if str(descriptor.readlink()) == name:
                    return True
            except OSError:
                continue  # It was closed meanwhile.
    except OSError:
        pass  # The process has ended.
    return False
