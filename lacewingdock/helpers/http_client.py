"""Support for reading from HTTP servers."""

import io

import pycurl

TIMEOUT_S = 5.0
HTTP_OK = 200


def get(url: str, timeout_s: float = TIMEOUT_S) -> bytes:
    """Read what a URL answers.

    Args:
        url: Where to, by IP number.
        timeout_s: Seconds until it is given up.

    Raises:
        OSError: There is no answer, or its status is not 200.
    """
    received = io.BytesIO()
    curl = pycurl.Curl()
    try:
        curl.setopt(pycurl.URL, url)
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.NOPROXY, "*")
        curl.setopt(pycurl.TIMEOUT_MS, int(timeout_s * 1000))
        curl.setopt(pycurl.WRITEFUNCTION, received.write)
        curl.perform()
        status = curl.getinfo(pycurl.RESPONSE_CODE)
    except pycurl.error as error:
        raise OSError(f"{url}: {error.args[-1]}") from error
    finally:
        curl.close()
    if status != HTTP_OK:
        raise OSError(f"{url}: status {status}")
    return received.getvalue()
