"""One exchange over HTTP with a backend server or another agent."""

import abc
import asyncio

import pycurl
from tornado import httpclient
from tornado import httputil

from laburnumlatch.slots import calls
from laburnumlatch.slots import headers
from laburnumlatch.slots import requestmsg

CONNECT_TIMEOUT_MS = 1000
# libcurl's own limit; the deadlines system cancels a transfer before it.
TIMEOUT_MARGIN_MS = 1000
MS_PER_S = 1000
KEPT_ANSWER_BYTES = 16384
FINAL_STATUS = 200
FAILED = 599
NO_BODY_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))

STOP_TRANSFER = 0
_WITHOUT_BODY = frozenset((204, 304))


class Transfer(abc.ABC):
    """Moves one call's body out and its answer in, and reports on both."""

    def __init__(self, client, call, message, post):
        """Prepare the exchange that `message` (Forward or Send) asks for."""
        self._client = client
        self._call = call
        self._message = message
        self._post = post
        self._curl = None
        self._answering = False
        self._kept = bytearray()
        self._is_done = False
        self.stream = calls.AnswerStream(message.exchange)

    @abc.abstractmethod
    def url(self):
        """Return where the request goes."""

    @abc.abstractmethod
    def own_headers(self):
        """Return the header fields that this hop adds."""

    @abc.abstractmethod
    def began(self, answer_headers):
        """Return the `AnswerBegan` for a head with these fields."""

    def start(self):
        """Begin to send."""
        timeout_ms = self._message.time_left_ms + TIMEOUT_MARGIN_MS
        request = httpclient.HTTPRequest(
            self.url(),
            method=self._call.method,
            headers=self._request_headers(),
            body=None if self._call.method in NO_BODY_METHODS else '',
            connect_timeout=CONNECT_TIMEOUT_MS / MS_PER_S,
            request_timeout=timeout_ms / MS_PER_S,
            follow_redirects=False,
            max_redirects=0,
            decompress_response=False,
            prepare_curl_callback=self._prepare,
        )
        self._client.fetch_impl(request, self._finished)

    def cancel(self):
        """Stop without a report."""
        if not self._is_done:
            self._is_done = True
            self.stream.body.break_off()
            self._client.cancel(self._curl)

    def drain(self):
        """Go on to the end of the answer although nobody reads it."""
        self.stream.body.discard()

    def _request_headers(self):
        fields = httputil.HTTPHeaders()
        for name, text in headers.end_to_end(self._call.headers):
            fields.add(name, text)
        for name, text in self.own_headers():
            fields.add(name, str(text))
        return fields

    def _prepare(self, curl):
        if self._is_done:
            # It waited for a free handle and was canceled meanwhile.
            raise httpclient.HTTPError(FAILED, 'canceled before its start')
        self._curl = curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_bytes)
        # libcurl repeats a request by itself if a reused connection closes
        # before the answer; on a fresh one it does not. Handles are used
        # again with their options, so both values are set.
        is_fresh = int(self._message.fresh_connection)
        curl.setopt(pycurl.FRESH_CONNECT, is_fresh)
        if self._call.method in NO_BODY_METHODS:
            return
        curl.setopt(pycurl.READFUNCTION, self._next_bytes)
        curl.setopt(pycurl.SEEKFUNCTION, _refuse_seek)
        size = -1 if self._call.length is None else self._call.length
        if self._call.method == 'POST':
            curl.setopt(pycurl.POSTFIELDSIZE_LARGE, size)
        else:
            curl.setopt(pycurl.INFILESIZE_LARGE, size)

    def _next_bytes(self, size):
        body = self._call.body
        chunk = body.read_now(size)
        if chunk is not None:
            return chunk
        if body.broken:
            return pycurl.READFUNC_ABORT
        body.watch(self._resume_soon)
        return pycurl.READFUNC_PAUSE

    def _on_header(self, line_bytes):
        line = line_bytes.decode('latin1').strip()
        if line.startswith('HTTP/'):
            self.stream.status = int(line.split(maxsplit=2)[1])
            self.stream.headers.clear()
        elif line:
            name, _, text = line.partition(':')
            self.stream.headers.append((name.strip(), text.strip()))
        elif self.stream.status >= FINAL_STATUS and not self._answering:
            return self._on_head_end()
        return None

    def _on_head_end(self):
        fields = {name.lower(): text for name, text in self.stream.headers}
        if not self._can_be_verified(fields):
            # A return value other than None makes libcurl stop the transfer.
            return STOP_TRANSFER
        self._answering = True
        self._call.answer = self.stream
        self._post(self.began(fields))
        return None

    def _can_be_verified(self, fields):
        # libcurl checks the length that is announced, and the last chunk.
        if self._call.method == 'HEAD' or self.stream.status in _WITHOUT_BODY:
            return True
        if 'content-length' in fields:
            return True
        return fields.get('transfer-encoding', '').lower().endswith('chunked')

    def _on_bytes(self, chunk):
        body = self.stream.body
        if body.is_full:
            body.watch(self._resume_soon)
            return pycurl.WRITEFUNC_PAUSE
        body.feed(chunk)
        if len(self._kept) <= KEPT_ANSWER_BYTES:
            self._kept += chunk
        return len(chunk)

    def _resume_soon(self):
        asyncio.get_running_loop().call_soon(self._resume)
        return False

    def _resume(self):
        if not self._is_done:
            self._client.resume(self._curl)

    def _finished(self, response):
        if self._is_done:
            return
        self._is_done = True
        if not _has_failed(response):
            self.stream.body.end()
            self._post(
                requestmsg.AnswerEnded(
                    self._message.number,
                    self._message.exchange,
                    self._answer(),
                )
            )
            return
        self.stream.body.break_off()
        self._post(
            requestmsg.ExchangeBroke(
                self._message.number,
                self._message.exchange,
                self._phase(),
                str(response.error),
                self._call.body.replayable,
            )
        )

    def _answer(self):
        if len(self._kept) > KEPT_ANSWER_BYTES:
            return None
        return requestmsg.Answer(
            self.stream.status,
            tuple(headers.end_to_end(self.stream.headers)),
            bytes(self._kept),
        )

    def _phase(self):
        if self._answering:
            return requestmsg.Phase.ANSWERING
        if self._curl is None or not self._curl.getinfo(pycurl.REQUEST_SIZE):
            return requestmsg.Phase.UNSENT
        return requestmsg.Phase.SENT


def _has_failed(response):
    # A status that is no success also comes as an error, of the base class;
    # libcurl's failures and those of the set-up are of other classes.
    return type(response.error) not in {type(None), httpclient.HTTPClientError}


def _refuse_seek(_offset, _origin):
    # libcurl must not send a body again by itself; retries are decided here.
    return pycurl.SEEKFUNC_FAIL
