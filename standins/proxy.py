"""Stand-in for the network: passes TCP bytes, delays, loses or cuts them."""

import asyncio
import functools

import attrs

from laburnumlatch.core import addresses

CHUNK_BYTES = 65536
UP = 'up'
DOWN = 'down'
DIRECTIONS = (UP, DOWN)


@attrs.define(eq=False)
class Link:
    """One connection through the proxy and its silent directions."""

    writers: tuple
    silent: set[str] = attrs.Factory(set)


def _open_gates():
    gates = {direction: asyncio.Event() for direction in DIRECTIONS}
    for gate in gates.values():
        gate.set()
    return gates


@attrs.define
class Proxy:
    """State of one proxy; `blocked` directions pass nothing.

    Bytes of a direction whose gate is shut wait, and pass when it opens.
    """

    target: str
    gates: dict[str, asyncio.Event] = attrs.Factory(_open_gates)
    blocked: set[str] = attrs.Factory(set)
    links: set[Link] = attrs.Factory(set)
    accepted: int = 0
    passed: dict[str, int] = attrs.Factory(lambda: dict.fromkeys(DIRECTIONS, 0))


async def listen(proxy, address):
    """Accept connections at `address`, an `ip:port` of loopback."""
    return await asyncio.start_server(
        functools.partial(_serve, proxy), *addresses.split_address(address)
    )


def pause(proxy, direction):
    """Let the bytes of a direction wait, as on a link that is full."""
    proxy.gates[direction].clear()


def resume(proxy, direction):
    """Pass on the bytes that have waited."""
    proxy.gates[direction].set()


def set_faults(proxy, silence='', block='', cut=False):
    """Apply faults; raise ValueError for an unknown direction.

    `silence` (`up`, `down` or `both`) stops that direction of the connections
    that are open now, without closing them; later ones work. `block` does the
    same for all connections, old and new, until it is `none`. `cut` closes
    all connections. `up` is from the client to the target.
    """
    for link in proxy.links:
        link.silent.update(_directions(silence))
    if block:
        proxy.blocked = _directions(block)
    if cut:
        for link in proxy.links:
            _abort(link)


def _directions(text):
    if text == 'both':
        return set(DIRECTIONS)
    if text in {'', 'none'}:
        return set()
    if text not in DIRECTIONS:
        raise ValueError(f'{text!r}; expected up, down, both or none')
    return {text}


async def _serve(proxy, reader, writer):
    proxy.accepted += 1
    try:
        far_reader, far_writer = await asyncio.open_connection(
            *addresses.split_address(proxy.target),
        )
    except OSError:
        writer.transport.abort()
        return
    link = Link((writer, far_writer))
    proxy.links.add(link)
    try:
        await asyncio.gather(
            _pass_bytes(proxy, link, UP, reader, far_writer),
            _pass_bytes(proxy, link, DOWN, far_reader, writer),
        )
    except OSError:
        # One side broke off: the other one must learn of it.
        _abort(link)
    finally:
        proxy.links.discard(link)
        for each in link.writers:
            each.close()


async def _pass_bytes(proxy, link, direction, reader, writer):
    while chunk := await reader.read(CHUNK_BYTES):
        await proxy.gates[direction].wait()
        # Bytes of a silent direction are lost for good, as on a dead path.
        if direction in link.silent or direction in proxy.blocked:
            link.silent.add(direction)
            continue
        writer.write(chunk)
        await writer.drain()
        proxy.passed[direction] += len(chunk)
    if direction not in link.silent and writer.can_write_eof():
        writer.write_eof()


def _abort(link):
    for writer in link.writers:
        writer.transport.abort()
