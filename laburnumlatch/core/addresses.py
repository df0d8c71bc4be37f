"""Parsing of `ip:port` addresses."""

import functools
import ipaddress

from laburnumlatch.core import errors

ADDRESS_EXPECTED = 'an address as ip:port, like 10.1.2.3:7000'
MAX_PORT = 65535
# Holds the addresses of all hosts of a large deployment.
MAX_CACHED_ADDRESSES = 20_000


def is_address(text, least_port=1):
    """Return whether `text` is an IP address and a port joined by a colon."""
    ip_text, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(ip_text.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and least_port <= int(port) <= MAX_PORT


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def split_address(address):
    """Split an address into its IP address (a string) and port (an int).

    Port 0 is valid: it lets a listener bind to any free port. Raises
    `errors.InvalidInputError` if `address` has another form.
    """
    if not is_address(address, least_port=0):
        raise errors.InvalidInputError(
            f'{address!r:.60} is not an ip:port address'
        )
    ip_text, _, port = address.rpartition(':')
    return ip_text.strip('[]'), int(port)
