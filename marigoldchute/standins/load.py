"""Stand-in for many callers: an open-loop load tool.

Requests start at seeded Poisson times whether or not earlier ones were answered, so a
slow answer does not hide the ones that would have come behind it.
"""

from __future__ import annotations

import collections
import dataclasses
import random
import time

import httptools
import trio
from hdrh.histogram import HdrHistogram

from marigoldchute.util.tcp import TcpConn, open_tcp

RECEIVE_BYTES = 65_536
LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
NO_ANSWER = "no answer"


@dataclasses.dataclass(frozen=True)
class LoadPlan:
    """What to send.

    Parameters
    ----------
    address : str
        IP number to call.
    port : int
        TCP port to call.
    path : str
        Request target.
    rate_per_s : float
        Mean rate of requests.
    duration_s : float
        How long to send.
    method : str
        HTTP method.
    body_bytes : int
        Length of the request's body.
    source : str
        IP number of the callers.
    seed : int
        Seed of the arrival times.
    timeout_s : float
        Time after which an answer is given up.
    """

    address: str
    port: int
    path: str
    rate_per_s: float
    duration_s: float
    method: str = "GET"
    body_bytes: int = 0
    source: str = "127.0.0.1"
    seed: int = 1
    timeout_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """What came back.

    Parameters
    ----------
    calls : int
        Requests sent.
    results : dict of str to int
        Answers by status and the outcome that a refusal states.
    p50_us, p99_us, p999_us, max_us : int
        Latency of the answers with a status below 500, in microseconds.
    latencies : str
        The whole histogram, encoded by hdrhistogram.
    """

    calls: int
    results: dict[str, int]
    p50_us: int
    p99_us: int
    p999_us: int
    max_us: int
    latencies: str


class _Answer:
    """Parser callbacks of one answer."""

    def __init__(self) -> None:
        self.complete = False
        self.keep_alive = False
        self.outcome = b""
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name == b"marigoldchute-outcome":
            self.outcome = value

    def on_message_complete(self) -> None:
        self.complete = True
        self.keep_alive = self.parser.should_keep_alive()


class LoadGenerator:
    """Sends the requests of one plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._idle: list[TcpConn] = []
        self._results: collections.Counter[str] = collections.Counter()
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self._request = (
            f"{plan.method} {plan.path} HTTP/1.1\r\nhost: {plan.address}\r\n"
            f"content-length: {plan.body_bytes}\r\n\r\n"
        ).encode() + b"x" * plan.body_bytes

    async def run(self) -> LoadResult:
        """Send the requests and return what came back."""
        plan = self._plan
        start = trio.current_time()
        calls = 0
        at = start
        async with trio.open_nursery() as nursery:
            while True:
                at += self._rng.expovariate(plan.rate_per_s)
                if at >= start + plan.duration_s:
                    break
                await trio.sleep_until(at)
                nursery.start_soon(self._call)
                calls += 1
        for conn in self._idle:
            conn.close()
        return self._result(calls)

    async def _call(self) -> None:
        started = time.perf_counter()
        result = NO_ANSWER
        with trio.move_on_after(self._plan.timeout_s):
            try:
                result = await self._exchange()
            except (OSError, httptools.HttpParserError):
                result = NO_ANSWER
        self._results[result] += 1
        if result[0] in "234":
            latency_us = int((time.perf_counter() - started) * 1_000_000)
            self._histogram.record_value(max(latency_us, LOWEST_US))

    async def _exchange(self) -> str:
        plan = self._plan
        if self._idle:
            conn = self._idle.pop()
        else:
            conn = await open_tcp(plan.address, plan.port, plan.source)
        answer = _Answer()
        parser = answer.parser
        try:
            await conn.send(self._request)
            while not answer.complete:
                data = await conn.receive(RECEIVE_BYTES)
                if not data:
                    return NO_ANSWER
                parser.feed_data(data)
        finally:
            if answer.keep_alive:
                self._idle.append(conn)
            else:
                conn.close()
        outcome = f" {answer.outcome.decode()}" if answer.outcome else ""
        return f"{parser.get_status_code()}{outcome}"

    def _result(self, calls: int) -> LoadResult:
        histogram = self._histogram
        return LoadResult(
            calls,
            dict(self._results),
            histogram.get_value_at_percentile(50),
            histogram.get_value_at_percentile(99),
            histogram.get_value_at_percentile(99.9),
            histogram.get_max_value(),
            histogram.encode().decode(),
        )
