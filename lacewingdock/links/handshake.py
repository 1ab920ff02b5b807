"""Support for proving to each other that two peers hold a link key."""

import secrets
import socket
from dataclasses import replace
from typing import Final

from lacewingdock.const import (
    DIAL_TIMEOUT_S,
    HANDSHAKE_TIMEOUT_S,
    MAX_HELLO_BYTES,
)
from lacewingdock.exceptions import ErrorKind, LacewingdockError
from lacewingdock.helpers.address import split_address
from lacewingdock.helpers.clock import stamp_ms
from lacewingdock.links.keys import KeyRing
from lacewingdock.links.link import Link, read_frame
from lacewingdock.links.messages import Hello, Proof
from lacewingdock.links.wire import encode

NONCE_BYTES: Final = 16
# Each side signs under its own label: a signature reflected back to the side
# that made it must not pass for the peer's.
LABEL_DIALER: Final = b"lacewingdock dialer"
LABEL_LISTENER: Final = b"lacewingdock listener"


def dial(
    address: str,
    me: Hello,
    keys: KeyRing,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
) -> Link:
    """Connect to a peer and shake hands.

    Args:
        address: "IP:PORT".
        me: What this daemon says of itself; the nonce is filled in here.
        keys: Keys that sign and that are accepted.
        timeout_s: Seconds that connecting and each frame may take.

    Returns:
        The link.

    Raises:
        LacewingdockError: BAD_LINK when the peer does not hold the key.
        OSError: The connection failed or the time ran out.
    """
    sock, peer, transcript = _greet(address, me, keys, timeout_s)
    try:
        key_id, mac = keys.sign(LABEL_DIALER, *transcript)
        sock.sendall(encode(Proof(key_id.encode() + b" " + mac, stamp_ms())))
        return Link(sock, peer)
    except BaseException:
        sock.close()
        raise


def probe(address: str, me: Hello, keys: KeyRing, timeout_s: float) -> Hello:
    """Find out who answers at an address, without opening a link.

    Args:
        address: "IP:PORT".
        me: What this daemon says of itself; the nonce is filled in here.
        keys: Keys that are accepted.
        timeout_s: Seconds that connecting and the answer may take.

    Returns:
        What the peer, which holds a link key, says of itself.

    Raises:
        LacewingdockError: BAD_LINK when the peer does not hold the key.
        OSError: The connection failed or the time ran out.
    """
    sock, peer, _ = _greet(address, me, keys, timeout_s)
    sock.close()
    return peer


def _greet(
    address: str, me: Hello, keys: KeyRing, timeout_s: float
) -> tuple[socket.socket, Hello, tuple[bytes, ...]]:
    """Connect and check that the listener holds a link key.

    Returns:
        The socket, what the peer said of itself, and what is to be signed.
    """
    sock = socket.create_connection(
        split_address(address), min(timeout_s, DIAL_TIMEOUT_S)
    )
    try:
        sock.settimeout(timeout_s)
        hello = replace(me, nonce=secrets.token_bytes(NONCE_BYTES))
        sock.sendall(encode(hello))
        peer = _hello(sock)
        transcript = (hello.nonce, peer.nonce, _named(hello), _named(peer))
        if not keys.verify(peer.key_id, peer.mac, LABEL_LISTENER, *transcript):
            raise LacewingdockError(
                ErrorKind.BAD_LINK, f"{address} does not hold a link key"
            )
        return sock, peer, transcript
    except BaseException:
        sock.close()
        raise


def accept(sock: socket.socket, me: Hello, keys: KeyRing) -> Link | None:
    """Shake hands with a peer that connected.

    Args:
        sock: The accepted socket.
        me: What this daemon says of itself.
        keys: Keys that sign and that are accepted.

    Returns:
        The link; None when the peer closed once it knew who is here, as
        probes do.

    Raises:
        LacewingdockError: BAD_LINK when the peer does not hold the key.
        OSError: The connection failed or the time ran out.
    """
    sock.settimeout(HANDSHAKE_TIMEOUT_S)
    peer = _hello(sock)
    hello = replace(me, nonce=secrets.token_bytes(NONCE_BYTES))
    transcript = (peer.nonce, hello.nonce, _named(peer), _named(hello))
    key_id, mac = keys.sign(LABEL_LISTENER, *transcript)
    sock.sendall(encode(replace(hello, key_id=key_id, mac=mac)))
    if not sock.recv(1, socket.MSG_PEEK):
        return None
    proof = read_frame(sock, MAX_HELLO_BYTES)
    if not isinstance(proof, Proof):
        raise LacewingdockError(ErrorKind.BAD_LINK, "no proof of the key")
    key_name, _, mac = proof.mac.partition(b" ")
    if not keys.verify(
        key_name.decode("utf-8", "replace"), mac, LABEL_DIALER, *transcript
    ):
        raise LacewingdockError(
            ErrorKind.BAD_LINK, f"{peer.instance} does not hold a link key"
        )
    link = Link(sock, peer)
    link.delay.record_stamp(proof.sent_ms)
    return link


def _hello(sock: socket.socket) -> Hello:
    message = read_frame(sock, MAX_HELLO_BYTES)
    if not isinstance(message, Hello) or len(message.nonce) != NONCE_BYTES:
        raise LacewingdockError(ErrorKind.BAD_LINK, "no hello")
    return message


def _named(hello: Hello) -> bytes:
    """Bind the signature to who the peer says it is."""
    names = (
        hello.instance,
        hello.incarnation,
        hello.role,
        hello.failure_domain,
    )
    return "\0".join(names).encode()
