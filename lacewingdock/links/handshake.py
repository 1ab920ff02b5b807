"""Support for the mutual authentication of two peers with a link key."""

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
# Each side signs with its own label, so that a signature reflected back to its
# author is not accepted as the signature of the peer.
LABEL_DIALER: Final = b"lacewingdock dialer"
LABEL_LISTENER: Final = b"lacewingdock listener"


def dial(
    address: str,
    me: Hello,
    keys: KeyRing,
    timeout_s: float = HANDSHAKE_TIMEOUT_S,
) -> Link:
    """Connect to a peer and authenticate mutually.

    Args:
        address: "IP:PORT".
        me: Identity of this daemon; the nonce is generated here.
        keys: Keys for signing and verification.
        timeout_s: Timeout of the connect and of each frame, in seconds.

    Returns:
        The authenticated link.

    Raises:
        LacewingdockError: BAD_LINK if the peer does not hold a link key.
        OSError: The connection failed or timed out.
    """
    sock, peer, transcript = _exchange_hellos(address, me, keys, timeout_s)
    try:
        key_id, mac = keys.sign(LABEL_DIALER, *transcript)
        sock.sendall(encode(Proof(key_id.encode() + b" " + mac, stamp_ms())))
        return Link(sock, peer)
    except BaseException:
        sock.close()
        raise


def probe(address: str, me: Hello, keys: KeyRing, timeout_s: float) -> Hello:
    """Identify the daemon at an address without opening a link.

    Args:
        address: "IP:PORT".
        me: Identity of this daemon; the nonce is generated here.
        keys: Keys for verification.
        timeout_s: Timeout of the connect and of the response, in seconds.

    Returns:
        Identity of the peer, which proved that it holds a link key.

    Raises:
        LacewingdockError: BAD_LINK if the peer does not hold a link key.
        OSError: The connection failed or timed out.
    """
    sock, peer, _ = _exchange_hellos(address, me, keys, timeout_s)
    sock.close()
    return peer


def _exchange_hellos(
    address: str, me: Hello, keys: KeyRing, timeout_s: float
) -> tuple[socket.socket, Hello, tuple[bytes, ...]]:
    """Connect and verify that the listener holds a link key.

    Returns:
        The socket, the identity of the peer, and the transcript to sign.
    """
    sock = socket.create_connection(
        split_address(address), min(timeout_s, DIAL_TIMEOUT_S)
    )
    try:
        sock.settimeout(timeout_s)
        hello = replace(me, nonce=secrets.token_bytes(NONCE_BYTES))
        sock.sendall(encode(hello))
        peer = _read_hello(sock)
        transcript = (
            hello.nonce,
            peer.nonce,
            _encode_identity(hello),
            _encode_identity(peer),
        )
        if not keys.verify(peer.key_id, peer.mac, LABEL_LISTENER, *transcript):
            raise LacewingdockError(
                ErrorKind.BAD_LINK, f"{address} does not hold a link key"
            )
        return sock, peer, transcript
    except BaseException:
        sock.close()
        raise


def accept(sock: socket.socket, me: Hello, keys: KeyRing) -> Link | None:
    """Authenticate a peer that connected.

    Args:
        sock: The accepted socket.
        me: Identity of this daemon.
        keys: Keys for signing and verification.

    Returns:
        The authenticated link; None if the peer closed after it received
        this identity, as `probe` does.

    Raises:
        LacewingdockError: BAD_LINK if the peer does not hold a link key.
        OSError: The connection failed or timed out.
    """
    sock.settimeout(HANDSHAKE_TIMEOUT_S)
    peer = _read_hello(sock)
    hello = replace(me, nonce=secrets.token_bytes(NONCE_BYTES))
    transcript = (
        peer.nonce,
        hello.nonce,
        _encode_identity(peer),
        _encode_identity(hello),
    )
    key_id, mac = keys.sign(LABEL_LISTENER, *transcript)
    sock.sendall(encode(replace(hello, key_id=key_id, mac=mac)))
    if not sock.recv(1, socket.MSG_PEEK):
        return None
    proof = read_frame(sock, MAX_HELLO_BYTES)
    if not isinstance(proof, Proof):
        raise LacewingdockError(
            ErrorKind.BAD_LINK, "handshake: expected a Proof frame"
        )
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


def _read_hello(sock: socket.socket) -> Hello:
    message = read_frame(sock, MAX_HELLO_BYTES)
    if not isinstance(message, Hello) or len(message.nonce) != NONCE_BYTES:
        raise LacewingdockError(
            ErrorKind.BAD_LINK,
            "handshake: expected a Hello frame with a full nonce",
        )
    return message


def _encode_identity(hello: Hello) -> bytes:
    """Encode an identity for the transcript, which binds it to the mac."""
    names = (
        hello.instance,
        hello.incarnation,
        hello.role,
        hello.failure_domain,
    )
    return "\0".join(names).encode()
