"""Loopback addresses for tests."""

import socket


def free():
    """Return the `ip:port` of a free port.

    The port is not reserved: another process may bind it first.
    """
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return f'127.0.0.1:{probe.getsockname()[1]}'
