"""Callers of a run: chats, bookings with and without a key, and a surging organisation."""

import http.client
import json
import random
import threading
import time

from fleetlib.fleet import MODEL
from fleetlib.http_call import IncompleteResponse, call

REQUEST_TIMEOUT_SECONDS = 40
RETRIES = 2
RETRY_DELAY_SECONDS = 0.3
# All chats cost the same, so that the number of requests in flight measures an engine's load.
PROMPT_REPETITIONS = 25
DEADLINE_MS = 20000
# Share of the bookings with this short deadline, so that rejections occur without faults as well.
SHORT_DEADLINE_MS = 2
SHORT_DEADLINE_SHARE = 0.05
RESPONSE_TOKENS = 60


class Balancer:
    """Imitates the platform's load balancer: picks among routers that passed the last health check."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.healthy = []

    def refresh(self):
        self.healthy = [r for r in list(self.fleet.routers) if r.process.running() and r.ready()]

    def pick(self, rng):
        healthy = self.healthy
        return rng.choice(healthy) if healthy else None


class Oracle:
    """Gives the expected text of a chat, from an engine that is not part of the fleet."""

    def __init__(self, port):
        self.port = port

    def expected_text(self, body):
        request = dict(body, stream=False)
        status, _, text = call(
            self.port, "POST", "/v1/chat/completions", request, timeout=REQUEST_TIMEOUT_SECONDS)
        if status != 200:
            raise RuntimeError(f"reference engine: {status} {text}")
        return message_content(json.loads(text))


def message_content(response):
    choice = response["choices"][0]
    return choice.get("message", choice.get("delta", {})).get("content", "") or ""


def stream_text(raw):
    """Returns the text of a stream, and whether it ended with exactly one [DONE]."""
    text, ended = "", False
    for event in raw.split("\n\n"):
        if not event.strip():
            continue
        data = event.removeprefix("data: ")
        if ended:
            return text, False
        if data == "[DONE]":
            ended = True
            continue
        item = json.loads(data)
        if item.get("choices"):
            text += message_content(item)
    return text, ended


class Traffic:
    def __init__(self, trace, balancer, oracle, seed):
        self.trace = trace
        self.balancer = balancer
        self.oracle = oracle
        self.seed = seed
        self.stopping = threading.Event()
        self.surging = threading.Event()
        self.threads = []
        self.counter = 0
        self.lock = threading.Lock()
        self.errors = []

    def start(self, chats, bookings, surges):
        # The names of the methods are part of the seeds.
        for kind, count in ((self.chat, chats), (self.book, bookings), (self.surge, surges)):
            for i in range(count):
                rng = random.Random(f"{self.seed}-{kind.__name__}-{i}")
                thread = threading.Thread(target=self.run, args=(kind, rng), daemon=True)
                self.threads.append(thread)
                thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(2 * REQUEST_TIMEOUT_SECONDS)

    def run(self, kind, rng):
        while not self.stopping.is_set():
            try:
                kind(rng)
            except Exception as reason:  # An error of the soak itself must fail the run.
                self.errors.append(repr(reason))
                time.sleep(1)

    def next_number(self):
        with self.lock:
            self.counter += 1
            return self.counter

    def chat(self, rng):
        time.sleep(rng.uniform(0, 0.2))
        prompt = f"chat {rng.randrange(60):3}: " + "gear manual " * PROMPT_REPETITIONS
        self.send_chat(rng, "chat", prompt, RESPONSE_TOKENS, "guides")

    def surge(self, rng):
        if not self.surging.wait(0.5):
            return
        self.send_chat(
            rng, "chat", f"surge {rng.randrange(1000):3}: " + "gear manual " * PROMPT_REPETITIONS,
            RESPONSE_TOKENS, "surging",
        )

    def send_chat(self, rng, request_type, prompt, tokens, organisation):
        router = self.balancer.pick(rng)
        if router is None:
            time.sleep(0.2)
            return
        body = {
            "model": MODEL, "stream": rng.random() < 0.7, "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        deterministic = rng.random() < 0.5
        if deterministic:
            body["temperature"] = 0
        expected = self.oracle.expected_text(body)
        result = self.send(
            router, request_type, f"chat-{self.next_number()}", "/v1/chat/completions", body, organisation)
        if result is None:
            return
        observed, raw = result
        observed["deterministic"] = deterministic
        if observed["result"] == "whole":
            check_chat(observed, raw, body["stream"], expected)
        self.trace.add("request", observed.pop("t"), **observed)

    def book(self, rng):
        time.sleep(rng.uniform(0, 0.3))
        keyless = rng.random() < 0.2
        key = "" if keyless else f"booking-{self.next_number()}"
        tries = 1 if keyless else 1 + rng.randrange(RETRIES + 1)
        deadline_ms = SHORT_DEADLINE_MS if rng.random() < SHORT_DEADLINE_SHARE else DEADLINE_MS
        for _ in range(tries):
            router = self.balancer.pick(rng)
            if router is None:
                time.sleep(0.2)
                continue
            request_type = "keyless" if keyless else "booking"
            observed, raw = self.send(
                router, request_type, key, "/bookings", {}, "guides", deadline_ms
            )
            if observed["result"] == "whole":
                observed["is_correct"] = json.loads(raw).get("path") == "/bookings"
            self.trace.add("request", observed.pop("t"), **observed)
            if observed["result"] in ("whole", "refused"):
                return
            time.sleep(RETRY_DELAY_SECONDS)

    def send(self, router, request_type, key, path, body, organisation, deadline_ms=DEADLINE_MS):
        incarnation = router.process.incarnation
        headers = {
            "authorization": f"Bearer {organisation}-key", "content-type": "application/json",
            "x-deadline-ms": str(deadline_ms),
        }
        if request_type == "booking":
            headers["idempotency-key"] = key
        observed = {
            "sent": time.monotonic(), "router": router.name, "incarnation": incarnation,
            "request_type": request_type, "key": key,
            "is_correct": True, "status": None, "code": "", "id": "",
        }
        raw = ""
        try:
            status, fields, raw = call(
                router.caller_port, "POST", path, body, headers, timeout=REQUEST_TIMEOUT_SECONDS
            )
            observed["status"] = status
            observed["id"] = fields.get("x-request-id", "")
            observed["result"] = "whole" if status == 200 else result_of_rejection(fields)
            if status != 200:
                observed["code"] = error_code(raw)
        except ConnectionRefusedError:
            observed["result"] = "unreachable"
        except IncompleteResponse as reason:
            observed["result"] = "broken"
            observed["status"] = reason.status
            observed["id"] = reason.headers.get("x-request-id", "")
            observed["code"] = str(reason)
        except (OSError, http.client.HTTPException) as reason:
            observed["result"] = "broken"
            observed["code"] = repr(reason)
        observed["t"] = time.monotonic()
        return observed, raw


def error_code(raw):
    try:
        return json.loads(raw)["error"]["code"]
    except (ValueError, KeyError, TypeError):
        return raw[:80]


def result_of_rejection(fields):
    outcome = fields.get("x-outcome", "")
    return {"not run": "not_run", "outcome unknown": "unknown"}.get(outcome, "refused")


def check_chat(observed, raw, is_stream, expected):
    try:
        if is_stream:
            text, ended = stream_text(raw)
            if not ended:
                observed["result"] = "wrong"
        else:
            text = message_content(json.loads(raw))
        observed["is_correct"] = text == expected
    except (ValueError, KeyError, IndexError, TypeError) as reason:
        observed["result"] = "wrong"
        observed["code"] = repr(reason)
