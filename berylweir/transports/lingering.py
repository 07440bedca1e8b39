"""Closes a connection so that the other end receives all that was sent.

Closing a socket with unread bytes, or receiving bytes after it was closed,
resets the connection. The kernel then drops what it hasn't sent yet, and the
other end may drop what its program hasn't read. RFC 9112, section 9.6,
describes the procedure.
"""

import asyncio
import contextlib
import fcntl
import os
import select
import socket
import struct
import termios

# Time after which a connection is closed once the other end has acknowledged
# all data, in seconds. Until then, requests that it sends before it has read
# the end of the last response are read and dropped.
_ACKNOWLEDGED_LINGER_S = 1.0
# Time without an acknowledgement after which data counts as lost, in seconds.
_STALLED_LINGER_S = 15.0
# Interval at which an idle connection that is being closed is checked for the
# close of the other end, in seconds.
_CLOSE_CHECK_INTERVAL_S = 0.05
_INT = struct.Struct("i")


def count_unacknowledged(transport: asyncio.Transport) -> int:
    """Returns how many bytes the other end hasn't acknowledged.

    Args:
        transport: An open transport of a TCP connection.
    """
    buffered = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _INT.pack(0))
    except OSError:
        # The socket has been closed, or isn't one of TCP.
        return buffered
    (unsent,) = _INT.unpack(queued)
    return buffered + int(unsent)


def count_unread(transport: asyncio.Transport) -> int:
    """Returns how many received bytes wait in the kernel.

    Args:
        transport: An open transport of a socket.
    """
    sock = transport.get_extra_info("socket")
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.FIONREAD, _INT.pack(0))
    except OSError:
        return 0  # The socket has been closed.
    (unread,) = _INT.unpack(queued)
    return int(unread)


def _has_peer_closed(transport: asyncio.Transport) -> bool:
    """Returns whether the other end has ended its side of the connection."""
    sock = transport.get_extra_info("socket")
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def _end_output(transport: asyncio.Transport) -> None:
    """Tells the other end at once that nothing more is sent.

    `write_eof` may wait for the next turn of the event loop.

    Args:
        transport: Transport without buffered data.
    """
    sock = transport.get_extra_info("socket")
    # The other end may have reset the connection.
    with (
        socket.socket(fileno=os.dup(sock.fileno())) as duplicate,
        contextlib.suppress(OSError),
    ):
        duplicate.shutdown(socket.SHUT_WR)


async def close_idle(transport: asyncio.Transport) -> int:
    """Closes a connection on which nothing is due, and reads nothing more.

    A request that crosses the close isn't received by this process, which
    couldn't answer it. The connection is reset behind it then.

    Args:
        transport: Transport of a connection whose requests were all answered.

    Returns:
        How many bytes were left unread.
    """
    if count_unacknowledged(transport) > 0 or not transport.can_write_eof():
        # A reset would lose the rest of the last answer.
        await close(transport)
        return 0
    transport.pause_reading()
    _end_output(transport)
    for _ in range(round(_ACKNOWLEDGED_LINGER_S / _CLOSE_CHECK_INTERVAL_S)):
        if _has_peer_closed(transport):
            break
        await asyncio.sleep(_CLOSE_CHECK_INTERVAL_S)
    unread = count_unread(transport)
    transport.close()
    return unread


async def close(transport: asyncio.Transport) -> None:
    """Sends the end of the data, and closes the connection later.

    It is closed at once if the other end closes it. The owner of the transport
    drops what it receives meanwhile, and cancels the call when the connection
    is lost.

    Args:
        transport: Transport whose reading isn't paused.
    """
    if transport.is_closing():
        return
    loop = asyncio.get_running_loop()
    unacknowledged = count_unacknowledged(transport)
    progress_s = loop.time()
    if transport.can_write_eof():
        transport.write_eof()
    elif unacknowledged == 0:
        # TLS has no end of one direction, so that a caller can't be told.
        transport.close()
        return
    while True:
        await asyncio.sleep(_ACKNOWLEDGED_LINGER_S)
        if transport.is_closing():
            return
        before = unacknowledged
        unacknowledged = count_unacknowledged(transport)
        if unacknowledged < before:
            progress_s = loop.time()
        elif unacknowledged == 0:
            transport.close()
            return
        elif loop.time() - progress_s > _STALLED_LINGER_S:
            transport.abort()
            return
