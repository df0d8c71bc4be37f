"""Addresses as `ip:port`."""

import functools
import ipaddress

from laburnumlatch.core import errors

ADDRESS_EXPECTED = 'an address as ip:port, like 10.1.2.3:7000'
MAX_PORT = 65535
# All hosts of a large deployment.
MAX_KEPT = 20_000


def is_address(text, least_port=1):
    """Tell whether `text` is an IP number and a port."""
    ip_text, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(ip_text.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and least_port <= int(port) <= MAX_PORT


@functools.lru_cache(maxsize=MAX_KEPT)
def split_address(address):
    """Return (ip, port) of an address; raise `errors.InvalidInputError`.

    Port 0 lets a listener have any free one.
    """
    if not is_address(address, least_port=0):
        raise errors.InvalidInputError(f'{address!r:.60} is no address')
    ip_text, _, port = address.rpartition(':')
    return ip_text.strip('[]'), int(port)
