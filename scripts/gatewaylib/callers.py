"""Callers of the soak: keep-alive connections to ready gateways, and the check of each response."""

import asyncio
import itertools
import random
import time

from gatewaylib import http
from gatewaylib.targets import LONG_STREAM_EVENTS, event_count, format_event, response_text

HOST = "shop.example"
ROUTES = ("book", "look", "stream", "streamresume")
DEADLINE_MS = {"book": 1000, "look": 1000, "stream": 6000, "streamresume": 6000}
DISCONNECT_SHARE = 0.08
# Callers take up a stream that was broken off, at any gateway, for about two seconds.
RESUME_TRIES = 8
RESUME_INTERVAL_SECONDS = 0.25


class Callers:
    """A number of callers, each with its own random generator, and the requests that they record."""

    def __init__(self, fleet, trace, keys, seed):
        self.fleet = fleet
        self.trace = trace
        self.keys = keys
        self.rng = random.Random(seed)
        self.attempt_numbers = itertools.count(1)
        self.seed = seed
        self.stopping = False
        self.tasks = []

    def start(self, count):
        self.tasks = [asyncio.ensure_future(self.run(i)) for i in range(count)]

    async def stop(self):
        self.stopping = True
        await asyncio.gather(*self.tasks)

    async def run(self, index):
        rng = random.Random(self.seed * 1000 + index)
        while not self.stopping:
            gateway = self.fleet.pick(rng)
            if gateway is None:
                await asyncio.sleep(0.1)
                continue
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.caller_port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                # Most connections carry many requests, also after the gateway stops being ready.
                for _ in range(rng.choice((1, 5, 40))):
                    if self.stopping or not await self.request(gateway, reader, writer, rng):
                        break
                    await asyncio.sleep(rng.random() * 0.1)
            finally:
                writer.close()

    async def request(self, gateway, reader, writer, rng):
        """Sends one request, and takes up its stream if it was broken off. Returns whether the connection
        can be used again."""
        is_reusable, first = await self.attempt(gateway, reader, writer, rng, rng.choice(ROUTES))
        if first.route == "streamresume" and first.result == "cut":
            await self.resume(first, rng)
        return is_reusable

    async def resume(self, first, rng):
        events = (first.received or b"").count(b"\n\n")
        if not 0 < events < LONG_STREAM_EVENTS:
            return
        for _ in range(RESUME_TRIES):
            await asyncio.sleep(RESUME_INTERVAL_SECONDS)
            gateway = self.fleet.pick(rng)
            if gateway is None:
                continue
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.caller_port)
            except OSError:
                continue
            try:
                _, further = await self.attempt(gateway, reader, writer, rng, first.route, first, events)
            finally:
                writer.close()
            if further.result not in ("refused", "closed"):
                return

    def next_attempt(self, is_long):
        """A long stream has more events than any that was broken off."""
        while True:
            attempt = f"{self.seed}-{next(self.attempt_numbers):x}"
            if not is_long or event_count(attempt) == LONG_STREAM_EVENTS:
                return attempt

    async def attempt(self, gateway, reader, writer, rng, route, resumes=None, after=0):
        """Sends one request and records its result. Returns whether the connection can be used again, and the
        record."""
        attempt = self.next_attempt(resumes is not None)
        organisation, key = rng.choice(self.keys.in_use())
        body = f"body of {attempt}".encode()
        fields = {
            "Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": DEADLINE_MS[route],
            "Authorization": f"Bearer {key}", "X-Tenant": "forged", "Content-Length": len(body),
            "X-Prompt-Prefix": f"{rng.randrange(6):x}:500,{rng.randrange(1 << 30):x}:80",
        }
        if resumes is not None:
            fields |= {"Last-Event-Id": after, "Resumes": resumes.attempt}
        observation = self.trace.add(
            "request", attempt=attempt, route=route, gateway=gateway.name, incarnation=gateway.incarnation,
            key=key, organisation=organisation, body=body, result=None, status=0, ended=None,
            resumes=resumes and resumes.attempt, resumed_after=after,
        )
        try:
            writer.write(http.format_message(f"POST /{route}/x HTTP/1.1", fields, body))
            disconnect_after = rng.random() * 0.3 if rng.random() < DISCONNECT_SHARE else None
            timeout = disconnect_after or DEADLINE_MS[route] / 1000 + 2
            return await asyncio.wait_for(self.read_response(observation, reader), timeout), observation
        except asyncio.TimeoutError:
            observation.values["result"] = "left" if disconnect_after else "none"
            observation.values["disconnected_at"] = time.monotonic()
            return False, observation
        except (http.IncompleteMessage, ConnectionError, OSError) as error:
            observation.values["result"] = "cut"
            observation.values["detail"] = repr(error)
            return False, observation
        finally:
            observation.values["ended"] = time.monotonic()

    async def read_response(self, observation, reader):
        head = await http.read_head(reader)
        if head is None:
            observation.values["result"] = "closed"
            return False
        line, fields = head
        observation.values["status"] = int(line.split(" ")[1])
        observation.values["retry_after"] = fields.get("retry-after")
        observation.values["outcome"] = fields.get("x-outcome")
        observation.values["received"] = b""
        async for part in http.body_parts(reader, fields):
            observation.values["received"] += part
        body = observation.received
        if observation.status == 200:
            is_correct = body == self.expected_body(observation) and fields.get(
                "x-attempt-id") == observation.attempt
            has_valid_seal = fields.get("x-response-seal", "").endswith("." + observation.attempt)
            observation.values["result"] = "whole" if is_correct and has_valid_seal else "wrong"
            observation.values["detail"] = body[:200]
        else:
            observation.values["result"] = "refused"
        return fields.get("connection") != "close"

    @staticmethod
    def expected_body(observation):
        if observation.route.startswith("stream"):
            return b"".join(
                format_event(observation.attempt, n)
                for n in range((observation.resumed_after or 0) + 1, event_count(observation.attempt) + 1))
        return response_text(observation.attempt).encode()
