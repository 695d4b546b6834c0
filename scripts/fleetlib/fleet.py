"""A fleet on local ports: platform stand-in, engines, plain services, routers."""

import hashlib
import json
import os
import random
import socket
import time

from .http_call import call, get_json
from .process import Process

ADMIN_TOKEN = "operations"
FLEET_KEY = "5a" * 32
READY_SECONDS = 30
MODEL = "assistant"
CHAT_SERVICE = "assistant-llm"
BOOKING_SERVICE = "rental-core"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def read_ephemeral_start():
    try:
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as file:
            return int(file.read().split()[0])
    except (OSError, ValueError):
        return 32768


# Listening ports are chosen below the ephemeral range, as an outgoing connection could take one
# between the choice and the start of a process.
FIRST_PORT = 10000
port_candidates = list(range(FIRST_PORT, read_ephemeral_start()))
random.SystemRandom().shuffle(port_candidates)


def free_port():
    """Returns a port that nothing listens on, never the same one twice in a run."""
    while True:
        port = port_candidates.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


class Target:
    """A stand-in engine or plain service on a VM of its own."""

    def __init__(self, process, service, data_centre, port):
        self.process = process
        self.service = service
        self.data_centre = data_centre
        self.port = port
        self.vm = "vm-" + process.name
        # As the program itself reports it.
        self.incarnation = 0
        # Time of the last control call that turned it cold without a restart, or None.
        self.turned_cold_at = None
        self.was_warm = False
        self.leaving = False

    @property
    def name(self):
        return self.process.name

    def start(self):
        self.process.start()
        self.turned_cold_at = None
        self.was_warm = False
        self.incarnation = get_json(self.port, "/load")["incarnation"]


class Router:
    def __init__(self, process, name, data_centre, ports):
        self.process = process
        self.name = name
        self.data_centre = data_centre
        self.caller_port, self.admin_port, self.peer_port = ports

    def admin(self, method, path, body=None, timeout=10):
        headers = {"authorization": "Bearer " + ADMIN_TOKEN}
        return call(self.admin_port, method, path, body, headers, timeout)

    def admin_json(self, path, timeout=2):
        return get_json(
            self.admin_port, path, {"authorization": "Bearer " + ADMIN_TOKEN}, timeout
        )

    def ready(self):
        return get_json(self.caller_port, "/healthz", timeout=1) is not None


class Fleet:
    """All processes of a run. File names are relative to `folder`, programs to `build`."""

    def __init__(self, build, folder, region="kr-central"):
        self.build = build
        self.folder = folder
        self.region = region
        self.platform = None
        self.platform_port = free_port()
        self.targets = []
        self.routers = []
        self.router_count = 0

    def path(self, name):
        return os.path.join(self.folder, name)

    def program(self, name):
        return os.path.join(self.build, name)

    def start_platform(self):
        arguments = [self.program("standin-platform"), "--listen", f"127.0.0.1:{self.platform_port}"]
        self.platform = Process("platform", arguments, self.path("platform.log"))
        self.platform.start()

    def add_engine(self, name, data_centre, *options):
        port = free_port()
        arguments = [
            self.program("standin-engine"), "--listen", f"127.0.0.1:{port}", "--name", name, *options,
        ]
        process = Process(name, arguments, self.path(name + ".log"))
        self.add_target(Target(process, CHAT_SERVICE, data_centre, port))

    def add_service(self, name, data_centre, *options):
        port = free_port()
        arguments = [
            self.program("standin-service"), "--listen", f"127.0.0.1:{port}", "--name", name, *options,
        ]
        process = Process(name, arguments, self.path(name + ".log"))
        self.add_target(Target(process, BOOKING_SERVICE, data_centre, port))

    def add_target(self, target):
        target.start()
        self.targets.append(target)

    def publish_vms(self):
        """Sends the current list of VMs to the platform.

        A real platform learns of a change late; callers that imitate this wait before the call.
        """
        vms = [
            {
                "name": t.vm, "data_centre": t.data_centre, "region": self.region,
                "leaving": t.leaving,
                "targets": [
                    {
                        "name": t.name, "service": t.service, "ip": "127.0.0.1", "port": t.port,
                        "incarnation": t.incarnation,
                    }
                ],
            }
            for t in self.targets
        ]
        call(self.platform_port, "PUT", "/control/vms", {"vms": vms})

    def set_store_fault(self, mode, **more):
        call(self.platform_port, "PUT", "/control/faults", dict(more, mode=mode))

    def make_router(self, data_centre, region=None):
        self.router_count += 1
        name = f"router-{self.router_count}"
        ports = (free_port(), free_port(), free_port())
        seeds = [f"127.0.0.1:{r.peer_port}" for r in self.routers][:5]
        settings = {
            "name": name, "data_centre": data_centre, "region": region or self.region,
            "caller_listen": f"127.0.0.1:{ports[0]}", "admin_listen": f"127.0.0.1:{ports[1]}",
            "peer_listen": f"127.0.0.1:{ports[2]}", "store": f"127.0.0.1:{self.platform_port}",
            "fleet_keys": [FLEET_KEY], "seeds": seeds, "shutdown_grace": "30s",
            "admin_tokens": [
                {"name": "soak", "token_hash": sha256(ADMIN_TOKEN), "role": "operator"}
            ],
            "log_file": self.path(name + ".jsonl"), "seed": self.router_count,
        }
        file = self.path(name + ".yaml")
        with open(file, "w", encoding="utf-8") as out:
            # The settings are YAML, of which JSON is a subset.
            json.dump(settings, out, indent=1)
        arguments = [self.program("samphirespool-router"), "--config", file]
        process = Process(name, arguments, self.path(name + ".stderr"))
        router = Router(process, name, data_centre, ports)
        self.routers.append(router)
        return router

    def configure(self, organisations, **service_options):
        """Imports the first configuration through any router."""
        chat = {"name": CHAT_SERVICE, "kind": "engine", "models": [MODEL], **service_options}
        booking = {
            "name": BOOKING_SERVICE, "kind": "service", "path_prefixes": ["/bookings"],
            "non_idempotent": ["POST /bookings"],
        }
        document = {
            "services": [chat, booking],
            "organisations": [
                {"name": name, "api_key_hash": sha256(name + "-key")} for name in organisations
            ],
            "presets": [{"name": n} for n in ("ordinary", "peak", "maintenance")],
            "preset_in_force": "ordinary",
        }
        deadline = time.monotonic() + READY_SECONDS
        while True:
            status, _, text = self.routers[0].admin("PUT", "/admin/v1/configuration", document)
            if status == 200:
                return json.loads(text)["version"]
            if time.monotonic() > deadline or status == 422:
                raise RuntimeError(f"the first configuration was rejected: {status} {text}")
            time.sleep(0.2)

    def wait_ready(self, routers=None):
        deadline = time.monotonic() + READY_SECONDS
        for router in routers or self.routers:
            while not router.ready():
                if time.monotonic() > deadline:
                    raise RuntimeError(f"{router.name} is not ready; see {self.folder}")
                time.sleep(0.05)

    def processes(self):
        processes = [r.process for r in self.routers] + [t.process for t in self.targets]
        return processes + ([self.platform] if self.platform else [])

    def stop(self):
        for process in self.processes():
            process.resume()
            process.kill()
