"""Callers of the soak. They keep connections open until the gateway's process is gone."""

import asyncio
import itertools
import random
import time

from gatewaylib import http
from gatewaylib.targets import answer_text, event, events_of

HOST = "shop.example"
KINDS = ("book", "look", "stream", "streamresume")
DEADLINE_MS = {"book": 1000, "look": 1000, "stream": 6000, "streamresume": 6000}
LEAVE_SHARE = 0.08


class Callers:
    def __init__(self, fleet, trace, keys, seed):
        self.fleet = fleet
        self.trace = trace
        self.keys = keys
        self.chance = random.Random(seed)
        self.numbers = itertools.count(1)
        self.seed = seed
        self.stopping = False
        self.tasks = []

    def start(self, count):
        self.tasks = [asyncio.ensure_future(self.run(i)) for i in range(count)]

    async def stop(self):
        self.stopping = True
        await asyncio.gather(*self.tasks)

    async def run(self, index):
        chance = random.Random(self.seed * 1000 + index)
        while not self.stopping:
            gateway = self.fleet.pick(chance)
            if gateway is None:
                await asyncio.sleep(0.1)
                continue
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", gateway.caller_port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            try:
                # Most connections are kept for many requests.
                for _ in range(chance.choice((1, 5, 40))):
                    if self.stopping or not await self.request(gateway, reader, writer, chance):
                        break
                    await asyncio.sleep(chance.random() * 0.1)
            finally:
                writer.close()

    async def request(self, gateway, reader, writer, chance):
        kind = chance.choice(KINDS)
        attempt = f"{self.seed}-{next(self.numbers):x}"
        organisation, key = chance.choice(self.keys.current())
        body = f"body of {attempt}".encode()
        fields = {
            "Host": HOST, "X-Attempt-Id": attempt, "X-Deadline-Ms": DEADLINE_MS[kind],
            "Authorization": f"Bearer {key}", "X-Tenant": "forged", "Content-Length": len(body),
            "X-Prompt-Prefix": f"{chance.randrange(6):x}:500,{chance.randrange(1 << 30):x}:80",
        }
        seen = self.trace.add(
            "request", attempt=attempt, what=kind, gateway=gateway.name, life=gateway.life, key=key,
            organisation=organisation, body=body, result=None, status=0, ended=None,
        )
        try:
            writer.write(http.message(f"POST /{kind}/x HTTP/1.1", fields, body))
            leave_after = chance.random() * 0.3 if chance.random() < LEAVE_SHARE else None
            limit = leave_after or DEADLINE_MS[kind] / 1000 + 2
            return await asyncio.wait_for(self.read_answer(seen, reader), limit)
        except asyncio.TimeoutError:
            seen.values["result"] = "left" if leave_after else "none"
            seen.values["left_at"] = time.monotonic()
            return False
        except (http.Broken, ConnectionError, OSError) as fault:
            seen.values["result"] = "cut"
            seen.values["detail"] = repr(fault)
            return False
        finally:
            seen.values["ended"] = time.monotonic()

    async def read_answer(self, seen, reader):
        head = await http.read_head(reader)
        if head is None:
            seen.values["result"] = "closed"
            return False
        line, fields = head
        seen.values["status"] = int(line.split(" ")[1])
        seen.values["retry_after"] = fields.get("retry-after")
        seen.values["outcome"] = fields.get("x-outcome")
        body = await http.read_body(reader, fields)
        if seen.status == 200:
            is_right = body == self.expected(seen) and fields.get("x-attempt-id") == seen.attempt
            is_sealed = fields.get("x-response-seal", "").endswith("." + seen.attempt)
            seen.values["result"] = "whole" if is_right and is_sealed else "wrong"
            seen.values["detail"] = body[:200]
        else:
            seen.values["result"] = "refused"
        return fields.get("connection") != "close"

    @staticmethod
    def expected(seen):
        if seen.what.startswith("stream"):
            return b"".join(event(seen.attempt, n) for n in range(1, events_of(seen.attempt) + 1))
        return answer_text(seen.attempt).encode()
