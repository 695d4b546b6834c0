"""Starts a platform stand-in, engines, and several routers that form a fleet."""
import hashlib
import json
import os
import subprocess
import tempfile
import urllib.error
import urllib.request

from router_process import KEY, Process, get_json, start_engine, wait_for

TOKEN = "process-test-token"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


def put_json(port, path, document):
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", method="PUT",
                                     data=json.dumps(document).encode())
    urllib.request.urlopen(request, timeout=30).close()


def is_ready(router):
    try:
        return get_json(router.ready["caller_port"], "/healthz")["status"] == "ready"
    except (urllib.error.URLError, OSError):
        return False


class Fleet:
    def __init__(self, stack, build, engines, routers):
        self.stack = stack
        self.build = build
        self.folder = stack.enter_context(tempfile.TemporaryDirectory())
        self.platform = Process(stack, f"{build}/standin-platform", "--listen", "127.0.0.1:0")
        self.engines = [start_engine(stack, build, "--tokens-per-second", "200",
                                     "--full-rate-streams", "1000") for _ in range(engines)]
        put_json(self.platform.ready["port"], "/control/vms", {"vms": [
            {"name": f"vm{i}", "data_centre": "ab"[i % 2], "region": "r", "leaving": False,
             "targets": [{"name": f"e{i}", "service": "llm", "ip": "127.0.0.1",
                          "port": engine.ready["port"], "incarnation": 1}]}
            for i, engine in enumerate(self.engines)]})
        self.routers = []
        for number in range(routers):
            self.start_router(number)
        for router in self.routers:
            wait_for(lambda: is_ready(router), "the routers to be ready")
        self.ctl("configuration", "apply", self.write("fleet.json", json.dumps({
            "services": [{"name": "llm", "kind": "engine", "models": ["m"],
                          "path_prefixes": ["/v1/chat"], "cold_allowance": 50}],
            "organisations": [{"name": "org", "api_key_hash": sha256(KEY)}],
            "presets": [{"name": n} for n in ("ordinary", "peak", "maintenance")],
            "preset_in_force": "ordinary"})))
        for number in range(routers):
            wait_for(lambda: "llm" in self.ctl("services", "list", router=number),
                     "the configuration everywhere")

    def write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            file.write(text)
        return path

    def start_router(self, number, more="", descriptor_limit=None):
        """Starts a router with `more` lines of settings."""
        seeds = ""
        if self.routers:
            seeds = f"seeds:\n  - 127.0.0.1:{self.routers[0].ready['peer_port']}\n"
        settings = (f"name: r{number}\ndata_centre: {'ab'[number % 2]}\nregion: r\n"
                    "caller_listen: 127.0.0.1:0\nadmin_listen: 127.0.0.1:0\n"
                    "peer_listen: 127.0.0.1:0\n"
                    f"store: 127.0.0.1:{self.platform.ready['port']}\n"
                    f"fleet_keys:\n  - {'00' * 32}\n{seeds}"
                    f"admin_tokens:\n  - name: test\n    token_hash: {sha256(TOKEN)}\n"
                    f"    role: operator\nlog_file: {self.folder}/r{number}.log\n"
                    f"seed: {number + 1}\n{more}")
        self.routers.append(Process(self.stack, f"{self.build}/samphirespool-router", "--config",
                                    self.write(f"r{number}.yaml", settings), descriptor_limit=descriptor_limit))

    def ctl(self, *words, router=0):
        done = subprocess.run(
            [f"{self.build}/samphirespoolctl", "--address",
             f"127.0.0.1:{self.routers[router].ready['admin_port']}", "--token-file",
             self.write("token", TOKEN), *words], capture_output=True, text=True)
        assert done.returncode == 0, (words, done)
        return done.stdout

    def start_load(self, routers, *options):
        command = [f"{self.build}/standin-load", "--key", KEY, "--stream", "--max-tokens", "100",
                   *options]
        for number in routers:
            command += ["--to", f"127.0.0.1:{self.routers[number].ready['caller_port']}"]
        load = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.stack.callback(load.wait)
        self.stack.callback(load.kill)
        return load

    def in_flight(self):
        return sum(get_json(engine.ready["port"], "/control/counters")["in_flight"]
                   for engine in self.engines)

    def started(self):
        return sum(get_json(engine.ready["port"], "/control/counters")["started"]
                   for engine in self.engines)


def assert_all_whole(load):
    result = json.loads(load.communicate()[0])
    assert result["answered_whole"] == result["requests"] > 0, result
    assert result["wrong"] == result["broken"] == result["unanswered"] == 0, result
