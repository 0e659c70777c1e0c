"""Exchange of heartbeats over UDP, by a thread that waits for nothing else of its process."""

from __future__ import annotations

import hashlib
import hmac
import socket
import threading
from collections.abc import Callable

import cbor2
from attrs import define, field

from hornbeamreach.clock import Clock
from hornbeamreach.control.liveness import Heartbeat, Liveness
from hornbeamreach.control.raft import HEARTBEAT_INTERVAL_MS
from hornbeamreach.logs import part_logger

log = part_logger("heartbeats")

MAX_DATAGRAM_BYTES = 1_024
SIGNATURE_BYTES = 16
# A thread with nothing to send still looks this often whether its replica leads.
IDLE_WAIT_MS = HEARTBEAT_INTERVAL_MS
MIN_WAIT_MS = 1
ERROR_PAUSE_MS = 50


def encode_heartbeat(message: Heartbeat, secret: bytes) -> bytes:
    """Encode a heartbeat, signed with the link's secret."""
    data = cbor2.dumps(
        [message.source, message.target, message.term, message.sent_ms, message.is_reply]
    )
    return _signature(data, secret) + data


def decode_heartbeat(datagram: bytes, secret: bytes) -> Heartbeat | None:
    """Decode a datagram; return None unless it is a heartbeat signed with the secret."""
    signature, data = datagram[:SIGNATURE_BYTES], datagram[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _signature(data, secret)):
        return None
    try:
        source, target, term, sent_ms, is_reply = cbor2.loads(data)
    except (cbor2.CBORDecodeError, EOFError, ValueError, TypeError):
        return None
    texts = isinstance(source, str) and isinstance(target, str)
    if not texts or type(term) is not int or type(sent_ms) is not int:
        return None
    return Heartbeat(
        source=source, target=target, term=term, sent_ms=sent_ms, is_reply=bool(is_reply)
    )


def _signature(data: bytes, secret: bytes) -> bytes:
    return hmac.digest(secret, data, hashlib.sha256)[:SIGNATURE_BYTES]


@define(kw_only=True, eq=False)
class HeartbeatThread:
    """Send a replica's heartbeats and answer those of its leader until stopped."""

    liveness: Liveness
    clock: Clock
    host: str
    port: int
    secret: bytes
    # Returns a replica's link address, whose host receives heartbeats at the same port.
    address_of: Callable[[str], str | None]
    dropped: int = field(default=0, init=False)
    stopping: threading.Event = field(factory=threading.Event, init=False)

    def start(self) -> None:
        """Start the thread; without its port, the heartbeats of the link remain."""
        endpoint = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            endpoint.bind((self.host, self.port))
        except OSError as exc:
            endpoint.close()
            log.bind(port=self.port).warning("heartbeats only over the link: {}", exc)
            return
        # A daemon thread does not keep a process that ends.
        threading.Thread(target=self._run, args=(endpoint,), name="heartbeats", daemon=True).start()

    def stop(self) -> None:
        """Stop the thread within one heartbeat interval."""
        self.stopping.set()

    def _run(self, endpoint: socket.socket) -> None:
        next_send_ms = self.clock.now_ms()
        with endpoint:
            while not self.stopping.is_set():
                now_ms = self.clock.now_ms()
                try:
                    if now_ms >= next_send_ms:
                        next_send_ms = now_ms + HEARTBEAT_INTERVAL_MS
                        for message in self.liveness.heartbeats(now_ms):
                            self._send(endpoint, message)
                    wait_ms = min(max(next_send_ms - now_ms, MIN_WAIT_MS), IDLE_WAIT_MS)
                    self._receive(endpoint, wait_ms)
                except OSError as exc:
                    log.debug("no heartbeat received: {}", exc)
                    self.stopping.wait(ERROR_PAUSE_MS / 1_000)

    def _receive(self, endpoint: socket.socket, wait_ms: int) -> None:
        endpoint.settimeout(wait_ms / 1_000)
        try:
            datagram, _ = endpoint.recvfrom(MAX_DATAGRAM_BYTES)
        except TimeoutError:
            return
        message = decode_heartbeat(datagram, self.secret)
        if message is None:
            self.dropped += 1
            if self.dropped == 1:
                log.bind(size=len(datagram)).warning("datagram dropped: it is no heartbeat")
            return
        reply = self.liveness.receive(message, self.clock.now_ms())
        if reply is not None:
            self._send(endpoint, reply)

    def _send(self, endpoint: socket.socket, message: Heartbeat) -> None:
        try:
            address = self.address_of(message.target)
            if address is not None:
                host = address.rpartition(":")[0]
                endpoint.sendto(encode_heartbeat(message, self.secret), (host, self.port))
        except Exception as exc:
            # A full link, an unreachable peer, an address that can't be used, or members that the
            # loop changes meanwhile. The next heartbeat tries again; the other members get theirs.
            log.debug("heartbeat to {} not sent: {!r}", message.target, exc)
