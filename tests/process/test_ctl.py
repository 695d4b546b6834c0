#!/usr/bin/env python3
"""Tests samphirespoolctl against an administration API with scripted responses."""

import http.server
import json
import os
import subprocess
import sys
import tempfile
import threading

CTL = os.path.join(sys.argv[1], "samphirespoolctl")
WAIT_TIMEOUT_SECONDS = 30


class AdminApi(http.server.BaseHTTPRequestHandler):
    """Responds with the next item of `script`: (status, body), or None to close the connection."""

    protocol_version = "HTTP/1.1"
    script = []
    requests = []

    def respond(self):
        length = int(self.headers.get("content-length", 0))
        body = self.rfile.read(length).decode()
        self.requests.append((self.command, self.path, body, self.headers.get("authorization")))
        step = self.script.pop(0)
        if step is None:
            self.close_connection = True
            return
        status, content = step
        data = content.encode() if isinstance(content, str) else json.dumps(content).encode()
        self.send_response(status)
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_PUT = do_POST = do_DELETE = respond

    def log_message(self, *_):
        pass


def run(port, *arguments, responses=(), stdin=""):
    AdminApi.script[:] = list(responses)
    AdminApi.requests.clear()
    command = [CTL, "--address", f"127.0.0.1:{port}", *arguments]
    done = subprocess.run(
        command, input=stdin, capture_output=True, text=True, timeout=WAIT_TIMEOUT_SECONDS, check=False
    )
    return done.returncode, done.stdout, done.stderr


def expect(condition, text):
    if not condition:
        sys.exit(f"FAILED: {text}")


def outcome(status, version=7, **more):
    return {"status": status, "version": version, "message": "text", "faults": [], **more}


def check_reading(port, folder):
    token = os.path.join(folder, "token")
    with open(token, "w", encoding="utf-8") as file:
        file.write("secret\n")
    members = {"members": [{"name": "r1", "state": "alive\x1b[31m", "configuration_version": 4}]}
    code, out, _ = run(port, "members", "--token-file", token, responses=[(200, members)])
    expect(code == 0 and out.splitlines()[0].startswith("NAME  STATE"), f"table: {out}")
    expect("\x1b" not in out, "control characters must not reach the terminal")
    expect(AdminApi.requests[0][3] == "Bearer secret", f"token: {AdminApi.requests}")
    code, out, _ = run(port, "--json", "status", responses=[(200, {"name": "r1"})])
    expect(code == 0 and json.loads(out) == {"name": "r1"}, f"json: {out}")
    pages = [
        (200, {"organisations": [{"name": "a"}], "next": "a"}),
        (200, {"organisations": [{"name": "b"}], "next": None}),
    ]
    code, out, _ = run(port, "organisations", "list", responses=pages)
    expect(code == 0 and "\nb " in out, f"pages: {out}")
    expect(AdminApi.requests[1][1].endswith("after=a"), f"second page: {AdminApi.requests}")


def check_exit_codes(port):
    error = {"error": {"code": "x", "message": "y"}}
    table = [(200, 0), (202, 8), (409, 3), (422, 1), (503, 4), (401, 7), (403, 7), (404, 1)]
    for status, expected in table:
        response = error if status in (401, 403, 404) else outcome("s")
        code, _, _ = run(port, "preset", "use", "peak", responses=[(status, response)])
        expect(code == expected, f"status {status} gave exit code {code}, not {expected}")
    for arguments in ([], ["mark", "gone", "vm", "v"], ["preset", "use"], ["nonsense"], ["--nonsense"]):
        expect(run(port, *arguments)[0] == 2, f"usage of {arguments}")
    expect(run(port, "mark", "leaving", "vm", "a/../b")[0] == 2, "a name must not leave its path")
    expect(run(1, "status")[0] == 6, "exit code for a router that does not listen (port 1)")
    for arguments in (["--help"], ["preset", "--help"], ["--version"]):
        expect(run(port, *arguments)[0] == 0, f"{arguments}")


def check_changes(port):
    code, out, err = run(
        port, "mark", "leaving", "data-centre", "lk-a", "--if-version", "6", "--request-id", "op-1",
        responses=[(200, outcome("accepted"))],
    )
    expect(code == 0 and "accepted at version 7" in out, f"change: {out}")
    expect("op-1" in err, "the request id is printed")
    method, path, body, _ = AdminApi.requests[0]
    expect(method == "PUT", method)
    expect(path == "/admin/v1/marks/data-centres/lk-a?request_id=op-1&if_version=6", path)
    expect(json.loads(body) == {"state": "leaving"}, body)

    responses = [None, (504, outcome("unknown")), (503, outcome("not")), (200, outcome("accepted"))]
    code, _, _ = run(port, "preset", "use", "peak", responses=responses)
    expect(code == 0, f"a lost response is retried: {code}")
    expect(len(AdminApi.requests) == 4, f"attempts: {AdminApi.requests}")
    expect(len({path for _, path, _, _ in AdminApi.requests}) == 1, "retries keep the request id")

    responses = [None] + [(503, outcome("not_accepted"))] * 3
    code, _, err = run(port, "preset", "use", "peak", responses=responses)
    expect(code == 5, f"a rejected retry does not settle a lost response: {code} {err}")
    expect("unknown" in err, err)


def check_configuration(port, folder):
    file = os.path.join(folder, "configuration.json")
    with open(file, "w", encoding="utf-8") as out:
        json.dump({"version": 12}, out)
    accepted = [(200, outcome("accepted"))]
    expect(run(port, "configuration", "apply", file, responses=accepted)[0] == 0, "apply")
    expect("if_version=12" in AdminApi.requests[0][1], f"version of the file: {AdminApi.requests}")
    run(port, "configuration", "apply", file, "--if-version", "3", responses=accepted)
    expect("if_version=3" in AdminApi.requests[0][1], f"version of the option: {AdminApi.requests}")
    faults = {"valid": False, "faults": ["services.a: wrong"]}
    code, _, err = run(port, "configuration", "check", "-", responses=[(422, faults)], stdin="{}")
    expect(code == 1 and "services.a: wrong" in err, f"check: {code} {err}")
    expect(run(port, "configuration", "apply", file + "x")[0] == 2, "a missing file")


def check_timeline(port, folder):
    logs = []
    for process, times in (("a", (1, 5)), ("b", (2, 3))):
        logs.append(os.path.join(folder, process + ".log"))
        with open(logs[-1], "w", encoding="utf-8") as file:
            for time in times:
                line = {"hybrid": time, "logical": 0, "process": process, "event": f"at{time}"}
                file.write(json.dumps(line) + "\n")
    code, out, _ = run(port, "timeline", *logs)
    order = [word for word in out.split() if word.startswith("at")]
    expect(code == 0 and order == ["at1", "at2", "at3", "at5"], f"timeline: {out}")
    page = os.path.join(folder, "page.html")
    expect(run(port, "timeline", *logs, "--html", page)[0] == 0, "html")
    with open(page, encoding="utf-8") as file:
        expect("at3" in file.read(), "the page holds the events")


def main():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), AdminApi)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    port = server.server_address[1]
    with tempfile.TemporaryDirectory() as folder:
        check_reading(port, folder)
        check_exit_codes(port)
        check_changes(port)
        check_configuration(port, folder)
        check_timeline(port, folder)
    server.shutdown()


main()
