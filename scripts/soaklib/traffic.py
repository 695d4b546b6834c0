"""Callers of a run: chats, bookings with and without a key, and a surging organisation."""

import http.client
import json
import random
import threading
import time

from fleetlib.fleet import MODEL
from fleetlib.http_call import BrokenAnswer, call

REQUEST_SECONDS = 40
RETRIES = 2
RETRY_PAUSE_SECONDS = 0.3
# All chats cost the same, so that requests in flight compare the load of engines.
PROMPT_REPEATS = 25
DEADLINE_MS = 20000
# Some bookings leave too little time, so that refusals come without faults as well.
SHORT_DEADLINE_MS = 2
SHORT_SHARE = 0.05
ANSWER_TOKENS = 60


class Balancer:
    """Knows which routers pass the health check, a little late, as the platform's does."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.healthy = []

    def refresh(self):
        self.healthy = [r for r in list(self.fleet.routers) if r.process.running() and r.ready()]

    def pick(self, chance):
        healthy = self.healthy
        return chance.choice(healthy) if healthy else None


class Oracle:
    """The right text of a chat, from an engine that is not part of the fleet."""

    def __init__(self, port):
        self.port = port

    def text(self, body):
        wanted = dict(body, stream=False)
        status, _, text = call(self.port, "POST", "/v1/chat/completions", wanted, timeout=REQUEST_SECONDS)
        if status != 200:
            raise RuntimeError(f"reference engine: {status} {text}")
        return content_of(json.loads(text))


def content_of(answer):
    choice = answer["choices"][0]
    return choice.get("message", choice.get("delta", {})).get("content", "") or ""


def stream_text(raw):
    """Text of a stream, and whether it ended once and properly."""
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
            text += content_of(item)
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
        self.faults = []

    def start(self, chats, bookings, surges):
        for kind, count in ((self.chat, chats), (self.book, bookings), (self.surge, surges)):
            for i in range(count):
                chance = random.Random(f"{self.seed}-{kind.__name__}-{i}")
                thread = threading.Thread(target=self.run, args=(kind, chance), daemon=True)
                self.threads.append(thread)
                thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(2 * REQUEST_SECONDS)

    def run(self, kind, chance):
        while not self.stopping.is_set():
            try:
                kind(chance)
            except Exception as reason:  # A fault of the harness must not look like a quiet run.
                self.faults.append(repr(reason))
                time.sleep(1)

    def number(self):
        with self.lock:
            self.counter += 1
            return self.counter

    def chat(self, chance):
        time.sleep(chance.uniform(0, 0.2))
        prompt = f"chat {chance.randrange(60):3}: " + "gear manual " * PROMPT_REPEATS
        self.ask(chance, "chat", prompt, ANSWER_TOKENS, "guides")

    def surge(self, chance):
        if not self.surging.wait(0.5):
            return
        self.ask(
            chance, "chat", f"surge {chance.randrange(1000):3}: " + "gear manual " * PROMPT_REPEATS,
            ANSWER_TOKENS, "surging",
        )

    def ask(self, chance, what, prompt, tokens, organisation):
        router = self.balancer.pick(chance)
        if router is None:
            time.sleep(0.2)
            return
        body = {
            "model": MODEL, "stream": chance.random() < 0.7, "max_tokens": tokens,
            "messages": [{"role": "user", "content": prompt}],
        }
        deterministic = chance.random() < 0.5
        if deterministic:
            body["temperature"] = 0
        right = self.oracle.text(body)
        result = self.send(router, what, f"chat-{self.number()}", "/v1/chat/completions", body, organisation)
        if result is None:
            return
        observed, raw = result
        observed["deterministic"] = deterministic
        if observed["result"] == "whole":
            judge_chat(observed, raw, body["stream"], right)
        self.trace.add("request", observed.pop("t"), **observed)

    def book(self, chance):
        time.sleep(chance.uniform(0, 0.3))
        keyless = chance.random() < 0.2
        key = "" if keyless else f"booking-{self.number()}"
        tries = 1 if keyless else 1 + chance.randrange(RETRIES + 1)
        deadline_ms = SHORT_DEADLINE_MS if chance.random() < SHORT_SHARE else DEADLINE_MS
        for _ in range(tries):
            router = self.balancer.pick(chance)
            if router is None:
                time.sleep(0.2)
                continue
            what = "keyless" if keyless else "booking"
            observed, raw = self.send(
                router, what, key, "/bookings", {}, "guides", deadline_ms
            )
            if observed["result"] == "whole":
                observed["rightful"] = json.loads(raw).get("path") == "/bookings"
            self.trace.add("request", observed.pop("t"), **observed)
            if observed["result"] in ("whole", "refused"):
                return
            time.sleep(RETRY_PAUSE_SECONDS)

    def send(self, router, what, key, path, body, organisation, deadline_ms=DEADLINE_MS):
        life = router.process.life
        headers = {
            "authorization": f"Bearer {organisation}-key", "content-type": "application/json",
            "x-deadline-ms": str(deadline_ms),
        }
        if what == "booking":
            headers["idempotency-key"] = key
        observed = {
            "sent": time.monotonic(), "router": router.name, "life": life, "what": what, "key": key,
            "rightful": True, "status": None, "code": "", "id": "",
        }
        raw = ""
        try:
            status, fields, raw = call(
                router.caller_port, "POST", path, body, headers, timeout=REQUEST_SECONDS
            )
            observed["status"] = status
            observed["id"] = fields.get("x-request-id", "")
            observed["result"] = "whole" if status == 200 else refusal_of(fields)
            if status != 200:
                observed["code"] = error_code(raw)
        except ConnectionRefusedError:
            observed["result"] = "unreachable"
        except BrokenAnswer as reason:
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


def refusal_of(fields):
    outcome = fields.get("x-outcome", "")
    return {"not run": "not_run", "outcome unknown": "unknown"}.get(outcome, "refused")


def judge_chat(observed, raw, is_stream, right):
    try:
        if is_stream:
            text, ended = stream_text(raw)
            if not ended:
                observed["result"] = "wrong"
        else:
            text = content_of(json.loads(raw))
        observed["rightful"] = text == right
    except (ValueError, KeyError, IndexError, TypeError) as reason:
        observed["result"] = "wrong"
        observed["code"] = repr(reason)
