"""Tornado's curl client with TCP keepalive and cancelable transfers."""

import os
import socket

import pycurl
from tornado import curl_httpclient

CANCELED = 'canceled'
# TCP keepalive detects a peer that has vanished without closing an idle
# connection, after about
# `KEEPALIVE_IDLE_S` + `KEEPALIVE_PROBES` * `KEEPALIVE_INTERVAL_S`.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Keepalive does not probe while sent data is unacknowledged; this timeout
# covers that case.
UNACKNOWLEDGED_TIMEOUT_MS = 2500


def enable_keepalive(curl):
    """Make a transfer fail, by keepalive or timeout, if its peer vanishes."""
    curl.setopt(pycurl.TCP_KEEPALIVE, 1)
    curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    curl.setopt(pycurl.SOCKOPTFUNCTION, _set_socket_options)


def _set_socket_options(descriptor, _purpose):
    """Set the socket options that pycurl has no setting for."""
    with socket.socket(fileno=os.dup(descriptor)) as duplicate:
        for option, setting in (
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
        ):
            duplicate.setsockopt(socket.IPPROTO_TCP, option, setting)
    return pycurl.SOCKOPT_OK


class CancelableCurlClient(curl_httpclient.CurlAsyncHTTPClient):
    """A curl client whose transfers can be canceled.

    The `prepare_curl_callback` of a request receives the curl handle, which
    identifies the transfer in a call of `cancel`.
    """

    def cancel(self, curl):
        """Abort a transfer and close its connection; no-op if it ended."""
        if getattr(curl, 'info', None) is not None:
            self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, CANCELED)
            self._process_queue()
