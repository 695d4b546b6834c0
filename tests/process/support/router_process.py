"""Starts routers and stand-ins for the process tests, and sends them requests over plain sockets."""
import contextlib
import hashlib
import json
import os
import resource
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request

KEY = "process-test-key"
# Limit of every wait, so that no test hangs; no assertion depends on it.
WAIT_TIMEOUT_SECONDS = 60


class Process:
    """A program that prints one JSON line once it is ready."""

    def __init__(self, stack, *command, descriptor_limit=None):
        def limit_descriptors():
            if descriptor_limit is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (descriptor_limit, descriptor_limit))

        self.child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, preexec_fn=limit_descriptors)
        stack.callback(self.end)
        self.ready = json.loads(self.child.stdout.readline())

    def end(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        self.child.stdout.close()

    def terminate(self):
        self.child.send_signal(signal.SIGTERM)

    def exit_code(self):
        return self.child.wait(WAIT_TIMEOUT_SECONDS)


def wait_for(condition, description):
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting for {description}")
        time.sleep(0.02)


def get_json(port, path):
    with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=WAIT_TIMEOUT_SECONDS) as response:
        return json.load(response)


def start_router(stack, build, targets, descriptor_limit=None, **settings):
    """Starts a router with the given targets, each (service, port), and without a store."""
    folder = stack.enter_context(tempfile.TemporaryDirectory())
    values = {"name": "r1", "data_centre": "a", "region": "r", "caller_listen": "127.0.0.1:0",
              "admin_listen": "127.0.0.1:0", "peer_listen": "127.0.0.1:0", "store": "127.0.0.1:1",
              "log_file": os.path.join(folder, "router.log"), "seed": 1, **settings}
    text = "".join(f"{name}: {value}\n" for name, value in values.items())
    services = [
        {"name": "llm", "kind": "engine", "models": ["m"], "path_prefixes": ["/v1/chat"],
         "warm_capacity": 1000, "cold_allowance": 1000},
        {"name": "desk", "kind": "service", "path_prefixes": ["/bookings"],
         "non_idempotent": ["POST /bookings"], "cold_allowance": 64}]
    documents = {
        "fleet.json": {"services": services,
                       "organisations": [{"name": "org", "api_key_hash":
                                          hashlib.sha256(KEY.encode()).hexdigest()}],
                       "presets": [{"name": n} for n in ("ordinary", "peak", "maintenance")],
                       "preset_in_force": "ordinary"},
        "vms.json": {"vms": [
            {"name": f"vm{i}", "data_centre": "a", "region": "r", "leaving": False,
             "targets": [{"name": f"t{i}", "service": service, "ip": "127.0.0.1", "port": port,
                          "incarnation": 1}]} for i, (service, port) in enumerate(targets)]}}
    for name, document in documents.items():
        with open(os.path.join(folder, name), "w") as file:
            json.dump(document, file)
    with open(os.path.join(folder, "router.yaml"), "w") as file:
        file.write(text + f"fleet_keys:\n  - {'00' * 32}\n")
    return Process(stack, f"{build}/samphirespool-router",
                   "--config", os.path.join(folder, "router.yaml"),
                   "--configuration", os.path.join(folder, "fleet.json"),
                   "--vms", os.path.join(folder, "vms.json"), descriptor_limit=descriptor_limit)


def start_engine(stack, build, *options):
    return Process(stack, f"{build}/standin-engine", "--warm", *options)


def chat_body(prompt, stream=False, max_tokens=4):
    return json.dumps({"model": "m", "stream": stream, "max_tokens": max_tokens,
                       "messages": [{"role": "user", "content": prompt}]}).encode()


def request_bytes(method, path, body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", "host: test", f"authorization: Bearer {KEY}",
             f"content-length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def connect(port):
    return socket.create_connection(("127.0.0.1", port), timeout=WAIT_TIMEOUT_SECONDS)


def read_to_end(connection):
    """Reads until the peer closes or resets the connection."""
    data = b""
    with contextlib.suppress(ConnectionResetError):
        while True:
            part = connection.recv(65536)
            if not part:
                break
            data += part
    return data


def exchange(port, request):
    """Sends one request on a new connection and reads one response with a content-length."""
    with connect(port) as connection:
        connection.sendall(request)
        data = b""
        while b"\r\n\r\n" not in data:
            part = connection.recv(65536)
            if not part:
                return data
            data += part
        head, rest = data.split(b"\r\n\r\n", 1)
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        while len(rest) < length:
            part = connection.recv(65536)
            if not part:
                break
            rest += part
        return head + b"\r\n\r\n" + rest
