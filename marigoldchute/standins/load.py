"""Open-loop load generator, a stand-in for many callers.

Requests start at Poisson arrival times whether or not earlier ones are complete, so a
slow response does not delay later requests and thereby hide their latency.
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
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
NO_RESPONSE = "no answer"


@dataclasses.dataclass(frozen=True)
class LoadPlan:
    """Target, rate and duration of a load run.

    Parameters
    ----------
    address : str
        IP address to call.
    port : int
        TCP port to call.
    path : str
        Request target.
    rate_per_s : float
        Mean rate of requests.
    duration_s : float
        Time during which requests are started.
    method : str
        HTTP method.
    body_bytes : int
        Length of the request body.
    source : str
        Source IP address of the connections.
    seed : int
        Seed of the random arrival times.
    timeout_s : float
        Timeout of a request.
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
    """Results and latencies of a load run.

    Parameters
    ----------
    calls : int
        Number of requests sent.
    results : dict of str to int
        Number of responses by status and, on a refusal, its outcome header.
    p50_us, p99_us, p999_us, max_us : int
        Latency of the responses with a status below 500, in microseconds.
    latencies : str
        Complete histogram, encoded by hdrhistogram.
    """

    calls: int
    results: dict[str, int]
    p50_us: int
    p99_us: int
    p999_us: int
    max_us: int
    latencies: str


class _ResponseState:
    """Parser callbacks and state of one response."""

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
    """Sends the requests of a plan and records their latencies."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._idle_connections: list[TcpConn] = []
        self._results: collections.Counter[str] = collections.Counter()
        self._histogram = HdrHistogram(
            MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
        )
        self._encoded_request = (
            f"{plan.method} {plan.path} HTTP/1.1\r\nhost: {plan.address}\r\n"
            f"content-length: {plan.body_bytes}\r\n\r\n"
        ).encode() + b"x" * plan.body_bytes

    async def run(self) -> LoadResult:
        """Send the requests and return their results and latencies."""
        plan = self._plan
        start = trio.current_time()
        request_count = 0
        send_at = start
        async with trio.open_nursery() as nursery:
            while True:
                send_at += self._rng.expovariate(plan.rate_per_s)
                if send_at >= start + plan.duration_s:
                    break
                await trio.sleep_until(send_at)
                nursery.start_soon(self._record_request)
                request_count += 1
        for conn in self._idle_connections:
            conn.close()
        return self._build_result(request_count)

    async def _record_request(self) -> None:
        started_at = time.perf_counter()
        result = NO_RESPONSE
        with trio.move_on_after(self._plan.timeout_s):
            try:
                result = await self._send_request()
            except (OSError, httptools.HttpParserError):
                result = NO_RESPONSE
        self._results[result] += 1
        if result[0] in "234":
            latency_us = int((time.perf_counter() - started_at) * 1_000_000)
            self._histogram.record_value(max(latency_us, MIN_LATENCY_US))

    async def _send_request(self) -> str:
        plan = self._plan
        if self._idle_connections:
            conn = self._idle_connections.pop()
        else:
            conn = await open_tcp(plan.address, plan.port, plan.source)
        response = _ResponseState()
        parser = response.parser
        try:
            await conn.send(self._encoded_request)
            while not response.complete:
                data = await conn.receive(RECEIVE_BYTES)
                if not data:
                    return NO_RESPONSE
                parser.feed_data(data)
        finally:
            if response.keep_alive:
                self._idle_connections.append(conn)
            else:
                conn.close()
        outcome = f" {response.outcome.decode()}" if response.outcome else ""
        return f"{parser.get_status_code()}{outcome}"

    def _build_result(self, request_count: int) -> LoadResult:
        histogram = self._histogram
        return LoadResult(
            request_count,
            dict(self._results),
            histogram.get_value_at_percentile(50),
            histogram.get_value_at_percentile(99),
            histogram.get_value_at_percentile(99.9),
            histogram.get_max_value(),
            histogram.encode().decode(),
        )
