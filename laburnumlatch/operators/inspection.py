"""HTTP client for the administration API of an agent."""

import json
from urllib import parse as urlparse

from tornado import curl_httpclient
from tornado import httpclient

from laburnumlatch.core import addresses
from laburnumlatch.core import errors

TIMEOUT_S = 5
HTTP_OK = 200


async def ask_agent(address, *path):
    """Return the JSON object that the agent at `address` serves at `path`.

    `path` is given in segments, which are quoted here. Raises
    `errors.InvalidInputError` with the agent's error message if the agent
    rejects the request, and `errors.AgentUnavailableError` if there is no
    response within `TIMEOUT_S` or it is not JSON.
    """
    if not addresses.is_address(address):
        raise errors.InvalidInputError(
            f'agent {address!r}; expected {addresses.ADDRESS_EXPECTED}',
        )
    quoted_path = '/'.join(urlparse.quote(segment, safe='') for segment in path)
    client = curl_httpclient.CurlAsyncHTTPClient(force_instance=True)
    request = httpclient.HTTPRequest(
        f'http://{address}/{quoted_path}', request_timeout=TIMEOUT_S
    )
    try:
        response = await client.fetch(request, raise_error=False)
        document = json.loads(response.body or b'')
    except (OSError, ValueError, httpclient.HTTPError) as error:
        raise errors.AgentUnavailableError(f'{address}: {error}') from error
    finally:
        client.close()
    if response.code != HTTP_OK:
        raise errors.InvalidInputError(f'{address}: {document.get("error")}')
    return document
