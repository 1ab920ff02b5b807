"""Connections to the platform's store."""

import contextlib
from typing import Final

import pycurl

from lacewingdock.helpers.sockets import has_unread
from lacewingdock.helpers.transfer import Transfers

# Timeout of opening a connection, in milliseconds.
CONNECT_TIMEOUT_MS: Final = 1000


class StoreConnection:
    """A task's connection to the store, opened by its first call.

    Attributes:
        curl: The handle of its calls.
        transfers: Makes the calls, and keeps the connection open.
    """

    __slots__ = ("curl", "transfers")

    def __init__(self) -> None:
        """Configure the handle."""
        self.transfers = Transfers()
        self.curl = pycurl.Curl()
        self.curl.setopt(pycurl.NOSIGNAL, 1)
        self.curl.setopt(pycurl.NOPROXY, "*")
        self.curl.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
        self.curl.setopt(pycurl.TCP_NODELAY, 1)
        # Accepts every coding that libcurl supports; compression shrinks the
        # instance list to a tenth.
        self.curl.setopt(pycurl.ACCEPT_ENCODING, "")

    def has_unread_bytes(self) -> bool:
        """Whether bytes, or an end, wait on the open connection."""
        descriptor = self.curl.getinfo(pycurl.LASTSOCKET)
        return descriptor >= 0 and has_unread(descriptor)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(pycurl.error):
            self.transfers.close()
            self.curl.close()
