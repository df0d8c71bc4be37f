"""Stand-in for the network: a TCP proxy that delays or drops bytes.

It can also close connections in the middle.
"""

import asyncio
import functools
import socket

import attrs

from laburnumlatch.core import addresses

CHUNK_BYTES = 65536
# Receive buffer of each connection: a sender notices soon that bytes wait.
WINDOW_BYTES = 65_536
UP = 'up'
DOWN = 'down'
DIRECTIONS = (UP, DOWN)


@attrs.define(eq=False)
class ProxiedConnection:
    """A connection through the proxy.

    `writers` are the streams to the client and to the target. Bytes of
    `silent` directions are dropped.
    """

    writers: tuple
    silent: set[str] = attrs.Factory(set)


def _open_gates():
    gates = {direction: asyncio.Event() for direction in DIRECTIONS}
    for gate in gates.values():
        gate.set()
    return gates


@attrs.define
class Proxy:
    """State of a proxy in front of `target`, an `ip:port`.

    While the event of a direction in `gates` is cleared, its bytes are held
    back, and are forwarded once it is set again. Bytes of `blocked`
    directions are dropped on all connections. Each connection forwards at
    most `bytes_per_s` in a direction; 0 is without limit. `accepted` counts
    connections, `forwarded_bytes` bytes by direction.
    """

    target: str
    gates: dict[str, asyncio.Event] = attrs.Factory(_open_gates)
    blocked: set[str] = attrs.Factory(set)
    connections: set[ProxiedConnection] = attrs.Factory(set)
    bytes_per_s: int = 0
    accepted: int = 0
    forwarded_bytes: dict[str, int] = attrs.Factory(
        lambda: dict.fromkeys(DIRECTIONS, 0)
    )


async def listen(proxy, address):
    """Accept connections at `address`, an `ip:port`; return the server."""
    ip_text, port = addresses.split_address(address)
    listener = socket.create_server((ip_text, int(port)))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    return await asyncio.start_server(
        functools.partial(_serve_connection, proxy), sock=listener
    )


def pause(proxy, direction):
    """Hold back the bytes of a direction, as a congested network does."""
    proxy.gates[direction].clear()


def resume(proxy, direction):
    """Forward the bytes of a direction that were held back."""
    proxy.gates[direction].set()


def set_faults(proxy, silence='', block='', cut=False):
    """Apply faults; raise ValueError for an unknown direction.

    `silence` (`up`, `down` or `both`) drops the bytes of that direction on
    the connections that are open now, without closing them; later
    connections work. `block` does the same on all connections, open and
    later ones, until it is set to `none`. `cut` closes all connections. `up`
    is from the client to the target.
    """
    for connection in proxy.connections:
        connection.silent.update(_directions(silence))
    if block:
        proxy.blocked = _directions(block)
    if cut:
        for connection in proxy.connections:
            _abort(connection)


def _directions(text):
    if text == 'both':
        return set(DIRECTIONS)
    if text in {'', 'none'}:
        return set()
    if text not in DIRECTIONS:
        raise ValueError(f'{text!r}; expected up, down, both or none')
    return {text}


async def _serve_connection(proxy, reader, writer):
    proxy.accepted += 1
    try:
        target_reader, target_writer = await asyncio.open_connection(
            *addresses.split_address(proxy.target),
        )
    except OSError:
        writer.transport.abort()
        return
    connection = ProxiedConnection((writer, target_writer))
    proxy.connections.add(connection)
    try:
        await asyncio.gather(
            _forward_bytes(proxy, connection, UP, reader, target_writer),
            _forward_bytes(proxy, connection, DOWN, target_reader, writer),
        )
    except OSError:
        # One side failed: close the other one too, so that it notices.
        _abort(connection)
    finally:
        proxy.connections.discard(connection)
        for stream in connection.writers:
            stream.close()


async def _forward_bytes(proxy, connection, direction, reader, writer):
    while chunk := await reader.read(CHUNK_BYTES):
        await proxy.gates[direction].wait()
        # Dropped bytes are never sent later: a connection that lost some stays
        # silent, as on a broken network path.
        if direction in connection.silent or direction in proxy.blocked:
            connection.silent.add(direction)
            continue
        if proxy.bytes_per_s:
            await asyncio.sleep(len(chunk) / proxy.bytes_per_s)
        writer.write(chunk)
        await writer.drain()
        proxy.forwarded_bytes[direction] += len(chunk)
    if direction not in connection.silent and writer.can_write_eof():
        writer.write_eof()


def _abort(connection):
    for writer in connection.writers:
        writer.transport.abort()
