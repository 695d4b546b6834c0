#!/usr/bin/env python3
"""A crowd of clients that do not behave, as a program of its own: it takes no time from the stand-ins of a test.

Reads one JSON object from its first argument:
  address  [IP, PORT]
  count    number of clients
  parts    what each client sends: a list of [text, repetitions]; null repetitions never end
  again    whether a client sends the parts once more when it has sent them, without waiting for a response
  tls      whether the clients use TLS
  reads    whether the clients read what they are sent
A client whose connection ends connects again. Prints {"connected": N} once each client has tried to connect. On the
end of its input it stops sending and prints {"stopped": true}; its connections stay open until it is ended.
"""

import contextlib
import errno
import json
import selectors
import socket
import ssl
import sys
import time

BLOCK_BYTES = 65536
RECONNECT_SECONDS = 0.1
# Bytes that one client sends at a turn, so that all clients get theirs.
TURN_BYTES = 4 * BLOCK_BYTES


def blocks_of(parts, again):
    """Yields the bytes that a client sends, in blocks."""
    while True:
        for text, repetitions in parts:
            data = text.encode("latin-1")
            each_block = max(1, BLOCK_BYTES // max(1, len(data)))
            block = data * each_block
            left = repetitions
            while left is None or left > 0:
                if left is not None and left < each_block:
                    yield data * left
                    break
                yield block
                left = None if left is None else left - each_block
        if not again:
            return


def make_tls_context():
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    return context


class Client:
    def __init__(self, crowd):
        self.crowd = crowd
        self.socket = None
        self.connect_at = 0.0

    def connect(self):
        plain = socket.socket()
        plain.setblocking(False)
        result = plain.connect_ex(tuple(self.crowd.address))
        if result not in (0, errno.EINPROGRESS):
            plain.close()
            self.connect_at = time.monotonic() + RECONNECT_SECONDS
            return
        self.socket = plain
        self.is_secured = not self.crowd.tls
        self.blocks = blocks_of(self.crowd.parts, self.crowd.again)
        self.block = memoryview(b"")
        self.is_done = False
        self.crowd.selector.register(plain, self.crowd.read_event | selectors.EVENT_WRITE, self)

    def end(self):
        with contextlib.suppress(KeyError):
            self.crowd.selector.unregister(self.socket)
        self.socket.close()
        self.socket = None
        self.connect_at = time.monotonic() + RECONNECT_SECONDS

    def secure(self):
        """Carries the TLS handshake on. Returns whether it is complete."""
        if not isinstance(self.socket, ssl.SSLSocket):
            if self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                raise OSError("not connected")
            self.crowd.selector.unregister(self.socket)
            self.socket = self.crowd.tls.wrap_socket(self.socket, do_handshake_on_connect=False)
            self.crowd.selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)
        try:
            self.socket.do_handshake()
            self.is_secured = True
        except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
            pass
        return self.is_secured

    def send(self):
        sent = 0
        while sent < TURN_BYTES:
            if not self.block:
                following = next(self.blocks, None)
                if following is None:
                    self.is_done = True
                    self.stop()
                    return
                self.block = memoryview(following)
            try:
                count = self.socket.send(self.block)
            except (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError):
                return
            self.block = self.block[count:]
            sent += count

    def stop(self):
        """Sends nothing more on the connection, which stays open."""
        if self.socket is not None:
            with contextlib.suppress(KeyError):
                self.crowd.selector.unregister(self.socket)
            if self.crowd.reads:
                self.crowd.selector.register(self.socket, selectors.EVENT_READ, self)

    def handle(self, mask):
        try:
            if not self.is_secured and (self.crowd.stopped or not self.secure()):
                return
            if mask & selectors.EVENT_READ and self.crowd.reads:
                try:
                    if not self.socket.recv(BLOCK_BYTES):
                        self.end()
                        return
                except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
                    pass
            if mask & selectors.EVENT_WRITE and not self.crowd.stopped and not self.is_done:
                self.send()
        except OSError:
            self.end()


class Crowd:
    def __init__(self, spec):
        self.address = spec["address"]
        self.parts = spec["parts"]
        self.again = spec.get("again", False)
        self.reads = spec.get("reads", True)
        self.read_event = selectors.EVENT_READ if self.reads else 0
        self.tls = make_tls_context() if spec.get("tls") else None
        self.selector = selectors.DefaultSelector()
        self.clients = [Client(self) for _ in range(spec["count"])]
        self.stopped = False

    def run(self):
        self.selector.register(sys.stdin, selectors.EVENT_READ, None)
        announced = False
        while True:
            now = time.monotonic()
            for client in self.clients:
                if client.socket is None and client.connect_at <= now and not self.stopped:
                    client.connect()
            if not announced:
                print(json.dumps({"connected": len(self.clients)}), flush=True)
                announced = True
            for key, mask in self.selector.select(0.05):
                if key.data is not None:
                    if key.data.socket is not None:
                        key.data.handle(mask)
                elif not sys.stdin.read(1):
                    self.selector.unregister(sys.stdin)
                    self.stopped = True
                    for client in self.clients:
                        client.stop()
                    print(json.dumps({"stopped": True}), flush=True)


if __name__ == "__main__":
    Crowd(json.loads(sys.argv[1])).run()
