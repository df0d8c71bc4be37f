"""State for `status` and `explain`: read from the store or from an agent."""

import json
import pathlib
from urllib import parse as urlparse

from tornado import curl_httpclient
from tornado import httpclient

from laburnumlatch.core import addresses
from laburnumlatch.core import errors
from laburnumlatch.slots import documents
from laburnumlatch.slots import rows
from laburnumlatch.slots import settings
from laburnumlatch.slots import world as world_module

TIMEOUT_S = 5
HTTP_OK = 200


async def read_store(store):
    """Return a `world.World` with the documents in a `store.Store`."""
    nobody = settings.Settings('status', '', '', '', '', '', '')
    world = world_module.create(nobody, 0, 0, 0)
    for row in await store.scan(''):
        kind, _, name = row.key.partition('/')
        document = rows.Document(kind, name, row.version, row.body)
        documents.accept(world, document, 'the store')
    return world


def read_token(path):
    """Return the token in a file, or an empty text without a path."""
    if not path:
        return ''
    try:
        return pathlib.Path(path).read_text(encoding='utf-8').strip()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.InvalidInputError(f'{path}: {error}') from error


async def ask_agent(address, token, *path):
    """Return the dict that an agent's administration API answers.

    Raises `errors.InvalidInputError` with the agent's own words if it
    refuses, `errors.AgentUnavailableError` if it does not answer.
    """
    if not addresses.is_address(address):
        raise errors.InvalidInputError(
            f'agent {address!r}; expected {addresses.ADDRESS_EXPECTED}',
        )
    quoted = '/'.join(urlparse.quote(part, safe='') for part in path)
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    fields = {'Authorization': f'Bearer {token}'} if token else {}
    request = httpclient.HTTPRequest(
        f'http://{address}/admin/{quoted}',
        headers=fields,
        request_timeout=TIMEOUT_S,
    )
    try:
        response = await client.fetch(request, raise_error=False)
        shown = json.loads(response.body or b'')
    except (OSError, ValueError, httpclient.HTTPError) as error:
        raise errors.AgentUnavailableError(f'{address}: {error}') from error
    finally:
        client.close()
    if response.code != HTTP_OK:
        raise errors.InvalidInputError(f'{address}: {shown.get("error")}')
    return shown
