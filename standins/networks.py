"""Loopback networks, one for each deployment on this machine."""

import socket

# Choices for the second and third octet of the addresses.
OCTETS = range(10, 100)
# The last octet of the store's address; the octets of hosts count from 1.
STORE_OCTET = 250
RESERVATION_PORT = 18_141


def reserve(rng):
    """Return the start of the addresses of a network, and its reservation.

    The reservation is a bound socket. While it is open, no other deployment
    on this machine gets the same network. `rng` is a `random.Random`.
    """
    while True:
        octets = [rng.choice(OCTETS) for _ in range(2)]
        network = '.'.join(('127', *map(str, octets)))
        reservation = socket.socket()
        try:
            reservation.bind((f'{network}.{STORE_OCTET}', RESERVATION_PORT))
        except OSError:
            reservation.close()
        else:
            return network, reservation
