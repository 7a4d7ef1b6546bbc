"""Load generator that runs in a process of its own."""

from __future__ import annotations

import asyncio
import collections
import sys
import time
from typing import Any

import aiohttp
from hdrh import histogram
import msgspec
import uvloop

from cowslipshift.serving.entry import idempotency

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Plan(msgspec.Struct, kw_only=True):
    """Load of one generator.

    Attributes:
        urls: Request URLs, used in turn.
        seconds: Length of the run.
        connections: Concurrent requests if ``rate`` is 0.
        rate: Requests per second, evenly spaced (open loop); 0 sends the next
            request when the previous one is answered (closed loop).
        method: HTTP method.
        key: API key; none if empty.
        keyed: Whether each request gets an idempotency key.
        timeout_ms: Deadline sent with each request; 0 for none.
        start_s: Unix time to start at; 0 for immediately.
    """

    urls: list[str]
    seconds: float
    connections: int = 16
    rate: float = 0.0
    method: str = "GET"
    key: str = ""
    keyed: bool = False
    timeout_ms: int = 0
    start_s: float = 0.0


class Result(msgspec.Struct, kw_only=True):
    """Result of one generator.

    Attributes:
        seconds: Length of the run, until the last answer.
        answered: Number of answers with status 200.
        codes: Number of answers by status or error code, and of failed
            requests by exception name.
        first_second: The same for requests that were due in the first second.
        latency: Encoded HDR histogram of requests answered with 200, in
            microseconds.
    """

    seconds: float
    answered: int
    codes: dict[str, int]
    first_second: dict[str, int]
    latency: str


class Generator:
    """Sends the requests of a plan and records the answers."""

    def __init__(self, plan: Plan) -> None:
        self._plan = plan
        self._codes: collections.Counter[str] = collections.Counter()
        self._first_second: collections.Counter[str] = collections.Counter()
        self._latency = build_histogram()
        self._position = 0
        self._started_s = 0.0

    async def run(self) -> Result:
        """Send the requests of the plan and wait for the last answers."""
        plan = self._plan
        await asyncio.sleep(max(0.0, plan.start_s - time.time()))
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            self._started_s = time.perf_counter()
            if plan.rate > 0:
                await self._run_open_loop(session)
            else:
                workers = [
                    self._run_closed_loop(session)
                    for _ in range(plan.connections)
                ]
                await asyncio.gather(*workers)
            elapsed_s = time.perf_counter() - self._started_s
        return Result(
            seconds=elapsed_s,
            answered=self._latency.get_total_count(),
            codes=dict(self._codes),
            first_second=dict(self._first_second),
            latency=self._latency.encode().decode(),
        )

    async def _run_closed_loop(self, session: aiohttp.ClientSession) -> None:
        end_s = self._started_s + self._plan.seconds
        while time.perf_counter() < end_s:
            await self._send(session, time.perf_counter())

    async def _run_open_loop(self, session: aiohttp.ClientSession) -> None:
        plan = self._plan
        tasks: set[asyncio.Task[None]] = set()
        for number in range(int(plan.rate * plan.seconds)):
            due_s = self._started_s + number / plan.rate
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            task = asyncio.create_task(self._send(session, due_s))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def _send(
        self, session: aiohttp.ClientSession, due_s: float
    ) -> None:
        plan = self._plan
        url = plan.urls[self._position % len(plan.urls)]
        self._position += 1
        headers = {"Authorization": f"Bearer {plan.key}"} if plan.key else {}
        if plan.keyed:
            headers["Idempotency-Key"] = idempotency.make_key()
        if plan.timeout_ms:
            headers["X-Request-Timeout-Ms"] = str(plan.timeout_ms)
        try:
            async with session.request(
                plan.method, url, headers=headers
            ) as response:
                raw = await response.read()
                code = str(response.status)
                if response.status >= 400:
                    code = _parse_error_code(raw) or code
        except (aiohttp.ClientError, OSError) as error:
            code = type(error).__name__
        self._codes[code] += 1
        if due_s - self._started_s < 1.0:
            self._first_second[code] += 1
        if code == "200":
            elapsed_us = (time.perf_counter() - due_s) * 1e6
            self._latency.record_value(int(elapsed_us))


def build_histogram() -> Any:
    """Return an empty latency histogram, in microseconds."""
    return histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )


def merge_results(results: list[Result]) -> dict[str, Any]:
    """Merge the results of several generators into one report."""
    latency = build_histogram()
    codes: collections.Counter[str] = collections.Counter()
    first: collections.Counter[str] = collections.Counter()
    for result in results:
        latency.decode_and_add(result.latency)
        codes.update(result.codes)
        first.update(result.first_second)
    seconds = max(result.seconds for result in results)
    return {
        "seconds": round(seconds, 2),
        "sent": sum(codes.values()),
        "codes": dict(codes),
        "first_second": dict(first),
        "answered_per_s": round(codes["200"] / seconds, 1),
        "latency_ms": {
            f"p{p:g}": round(latency.get_value_at_percentile(p) / 1000, 3)
            for p in PERCENTILES
        },
    }


async def run_generators(plans: list[Plan]) -> list[Result]:
    """Run all plans concurrently, each in a process of its own."""

    async def run_one(plan: Plan) -> Result:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bench.load",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        raw, _ = await process.communicate(msgspec.json.encode(plan))
        return msgspec.json.decode(raw, type=Result)

    return list(await asyncio.gather(*map(run_one, plans)))


def _parse_error_code(raw: bytes) -> str:
    try:
        body = msgspec.json.decode(raw)
        return str(body["error"]["code"])
    except (msgspec.DecodeError, KeyError, TypeError):
        return ""


def main() -> None:
    """Read a plan from standard input and print the result, both as JSON."""
    uvloop.install()
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)
    result = asyncio.run(Generator(plan).run())
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
