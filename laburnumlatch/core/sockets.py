"""Options of TCP connections."""

import contextlib
import fcntl
import socket
import struct
import termios

# Bytes that the kernel takes ahead of what the network can send. What it has
# taken tells nothing about the other side, and later bytes wait behind it.
MAX_UNSENT_BYTES = 65_536
_INT = struct.Struct('i')


def limit_unsent(transport, limit_bytes=MAX_UNSENT_BYTES):
    """Let the kernel take little more than it can send at once.

    With a `limit_bytes` of 0 it takes as much as it takes by default.
    """
    opened = transport.get_extra_info('socket')
    # Not every platform has this option.
    with contextlib.suppress(OSError):
        opened.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, limit_bytes
        )


def has_failed(transport):
    """Return whether the connection was reset, and clear that.

    A reset behind the end of the input does not show when reading.
    """
    opened = transport.get_extra_info('socket')
    return bool(opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))


def queued_bytes(transport):
    """Return the bytes in the kernel that the other side has not got yet.

    It is 0 where the platform does not tell.
    """
    opened = transport.get_extra_info('socket')
    with contextlib.suppress(OSError):
        queued = fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, _INT.pack(0))
        return _INT.unpack(queued)[0]
    return 0
