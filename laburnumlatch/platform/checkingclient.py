"""curl client that aborts responses which are incomplete or unwanted."""

import functools

import pycurl

from laburnumlatch.core import curlclient

# libcurl aborts a transfer if a callback returns another number than that of
# the bytes it was given.
ABORT_TRANSFER = -1
INCOMPLETE_HEAD = 'the response ended within its header'
# Key in a transfer's `info`: whether the empty line after the header was
# received.
HEAD_IS_COMPLETE = 'head_is_complete'
STATUS_LINE_START = b'HTTP/'
# Key in a transfer's `info`: how many bytes of its body are in memory.
BUFFERED_BYTES = 'buffered_bytes'


class CheckingClient(curlclient.CancelableCurlClient):
    """Aborts responses by their header fields or by their size.

    The `header_callback` of a request differs from tornado's: it is called
    once, with all header fields, and returns whether to receive the rest of
    the response. The connection of an aborted transfer is closed, so that
    bytes still in transit cannot be taken for the next response.

    A response that ends within its header fails; libcurl would report it as
    complete if the server closed the connection. A response also fails if
    its body would bring all bodies being received above `max_buffered_bytes`.
    """

    def initialize(self, max_buffered_bytes, **parameters):
        """Set up the client; tornado calls this in place of `__init__`."""
        super().initialize(**parameters)
        self._max_buffered_bytes = max_buffered_bytes
        self._buffered_bytes = 0

    def _curl_setup_request(self, curl, request, buffer, headers):
        super()._curl_setup_request(curl, request, buffer, headers)
        curl.info[HEAD_IS_COMPLETE] = False
        on_header_line = functools.partial(
            self._on_header_line, curl.info, request.header_callback
        )
        curl.setopt(pycurl.HEADERFUNCTION, on_header_line)
        curl.info[BUFFERED_BYTES] = 0
        on_body_chunk = functools.partial(self._on_body_chunk, curl.info)
        curl.setopt(pycurl.WRITEFUNCTION, on_body_chunk)

    def _on_header_line(self, info, header_callback, line):
        headers = info['headers']
        self._curl_header_callback(headers, None, line)
        info[HEAD_IS_COMPLETE] = info[HEAD_IS_COMPLETE] or not line.strip()
        if line.startswith(STATUS_LINE_START):
            # A new header, after that of an interim (1xx) response.
            info[HEAD_IS_COMPLETE] = False
        if line.strip() or header_callback is None:
            return None
        return None if header_callback(headers) else ABORT_TRANSFER

    def _on_body_chunk(self, info, chunk):
        if self._buffered_bytes + len(chunk) > self._max_buffered_bytes:
            info['body_too_large'] = True
            return ABORT_TRANSFER
        self._buffered_bytes += len(chunk)
        info[BUFFERED_BYTES] += len(chunk)
        return info['buffer'].write(chunk)

    def _finish(self, curl, curl_error=None, curl_message=None):
        self._buffered_bytes -= curl.info[BUFFERED_BYTES]
        if curl_error is None and not curl.info[HEAD_IS_COMPLETE]:
            super()._finish(curl, pycurl.E_PARTIAL_FILE, INCOMPLETE_HEAD)
        else:
            super()._finish(curl, curl_error, curl_message)
