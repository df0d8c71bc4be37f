"""HTTP handlers through which the local backend server announces itself."""

import ipaddress
import json
import types

from tornado import web

from laburnumlatch.core import addresses
from laburnumlatch.slots import servermsg

MAX_CONCURRENT = 10000
STATUS_NO_CONTENT = 204
STATUS_BAD_REQUEST = 400
STATUS_FORBIDDEN = 403
STATUS_NOT_FOUND = 404

_KINDS = types.MappingProxyType({
    'server_id': str,
    'service': str,
    'address': str,
    'concurrent': int,
    'connections': int,
})


class ServerHandler(web.RequestHandler):
    """`/server`: for the backend server on this host only."""

    def initialize(self, post, is_known, own_address):
        """Keep the two functions of `handlers` and the agent's `ip:port`."""
        self._own_address = own_address
        self._post = post
        self._is_known = is_known

    def prepare(self):
        """Refuse everybody who is not on this host."""
        self.clear_header('Server')
        if not is_on_this_host(self.request.remote_ip, self._own_address):
            self._refuse(
                STATUS_FORBIDDEN,
                f'{self.request.remote_ip} is not an address of this host',
            )

    def get(self):
        """Answer 204 if the server has announced itself, or else 404.

        A backend server asks from time to time, because an agent that has
        restarted knows nothing of it.
        """
        server_id = self._server_id()
        if server_id and self._is_known(server_id):
            self.set_status(STATUS_NO_CONTENT)
        elif server_id:
            self._refuse(
                STATUS_NOT_FOUND,
                f'{server_id!r} has not announced itself',
            )

    def post(self):
        """Read the announcement and hand it to the systems."""
        try:
            message = read_announcement(self.request.body)
        except ValueError as error:
            self._refuse(STATUS_BAD_REQUEST, f'announcement: {error}')
            return
        self._post(message)
        self.set_status(STATUS_NO_CONTENT)

    def delete(self):
        """Hand on that the backend server asks for no new work."""
        server_id = self._server_id()
        if server_id:
            self._post(servermsg.ServerLeaving(server_id))
            self.set_status(STATUS_NO_CONTENT)

    def _server_id(self):
        server_id = self.get_query_argument('server_id', '')
        if not server_id:
            self._refuse(
                STATUS_BAD_REQUEST,
                "argument 'server_id' is missing; expected the server's ID",
            )
        return server_id

    def _refuse(self, status, problem):
        self.set_status(status)
        self.finish(f'{problem}\n')


def read_announcement(body):
    """Return the `servermsg.ServerAnnounced` in JSON; raise ValueError."""
    fields = json.loads(body)
    if not isinstance(fields, dict):
        raise ValueError('expected an object')
    unknown = sorted(set(fields) - set(_KINDS))
    if unknown:
        raise ValueError(f'unknown fields: {", ".join(unknown)}')
    for name, kind in _KINDS.items():
        if type(fields.get(name)) is not kind:
            raise ValueError(f'field {name!r}: expected {kind.__name__}')
    if not addresses.is_address(fields['address']):
        raise ValueError(f'field "address": {addresses.ADDRESS_EXPECTED}')
    _check_limits(fields)
    return servermsg.ServerAnnounced(**fields)


def _check_limits(fields):
    for name in ('concurrent', 'connections'):
        if not 0 < fields[name] <= MAX_CONCURRENT:
            raise ValueError(f'field {name!r}: expected 1 to {MAX_CONCURRENT}')


def is_on_this_host(remote_ip, own_address):
    """Tell whether a peer's IP address is loopback or the agent's own.

    An agent that listens on its host's address only sees that address as the
    peer of a backend server on the same host.
    """
    remote = ipaddress.ip_address(remote_ip)
    own_ip = own_address.rpartition(':')[0].strip('[]')
    return remote.is_loopback or remote == ipaddress.ip_address(own_ip)


def handlers(post, is_known, own_address):
    """Return the tornado routes; `is_known` takes the ID of a server."""
    fields = {'post': post, 'is_known': is_known, 'own_address': own_address}
    return [('/server', ServerHandler, fields)]
