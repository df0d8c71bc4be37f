"""curl client that breaks off answers which cannot be whole or wanted."""

import functools

import pycurl

from laburnumlatch.core import curlclient

# Any number but that of the bytes taken makes libcurl end the transfer.
BREAK_OFF = -1
CUT_HEAD = 'the head of the answer has no end'
# Key of a transfer's `info`: whether the empty line after the head has come.
HEAD_IS_WHOLE = 'head_is_whole'
STATUS_LINE_START = b'HTTP/'
# Key of a transfer's `info`: how many bytes of its body have been taken in.
TAKEN_BYTES = 'taken_bytes'


class CheckingClient(curlclient.StoppableCurlClient):
    """Breaks off answers that are refused by their header fields.

    Here the `header_callback` of a request takes all fields at their end, and
    returns whether the answer may go on. A connection that is broken off is
    closed, so that what else is on its way cannot meet the next request.

    An answer whose head has no end fails: libcurl takes what there is of it
    for a whole answer if the connection is then closed. So does one with
    which all bodies that are being taken in exceed `most_bytes`.
    """

    def initialize(self, most_bytes, **parameters):
        """Set up as the library does, in place of a constructor."""
        super().initialize(**parameters)
        self._most_bytes = most_bytes
        self._taken_bytes = 0

    def _curl_setup_request(self, curl, request, buffer, headers):
        super()._curl_setup_request(curl, request, buffer, headers)
        curl.info[HEAD_IS_WHOLE] = False
        take_line = functools.partial(
            self._take_line, curl.info, request.header_callback
        )
        curl.setopt(pycurl.HEADERFUNCTION, take_line)
        curl.info[TAKEN_BYTES] = 0
        take_bytes = functools.partial(self._take_bytes, curl.info)
        curl.setopt(pycurl.WRITEFUNCTION, take_bytes)

    def _take_line(self, info, header_callback, line):
        headers = info['headers']
        self._curl_header_callback(headers, None, line)
        info[HEAD_IS_WHOLE] = info[HEAD_IS_WHOLE] or not line.strip()
        if line.startswith(STATUS_LINE_START):
            # An interim answer has a head of its own.
            info[HEAD_IS_WHOLE] = False
        if line.strip() or header_callback is None:
            return None
        return None if header_callback(headers) else BREAK_OFF

    def _take_bytes(self, info, chunk):
        if self._taken_bytes + len(chunk) > self._most_bytes:
            info['body_too_large'] = True
            return BREAK_OFF
        self._taken_bytes += len(chunk)
        info[TAKEN_BYTES] += len(chunk)
        return info['buffer'].write(chunk)

    def _finish(self, curl, curl_error=None, curl_message=None):
        self._taken_bytes -= curl.info[TAKEN_BYTES]
        if curl_error is None and not curl.info[HEAD_IS_WHOLE]:
            super()._finish(curl, pycurl.E_PARTIAL_FILE, CUT_HEAD)
        else:
            super()._finish(curl, curl_error, curl_message)
