"""Addresses as `ip:port`."""

import ipaddress

ADDRESS_EXPECTED = 'an address as ip:port, like 10.1.2.3:7000'
MAX_PORT = 65535


def is_address(text):
    """Tell whether `text` is an IP number and a port."""
    ip_text, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(ip_text.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and 0 < int(port) <= MAX_PORT


def split_address(address):
    """Return (ip, port) of an `ip:port` address."""
    ip_text, _, port = address.rpartition(':')
    return ip_text.strip('[]'), int(port)
