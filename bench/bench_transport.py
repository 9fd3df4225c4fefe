"""Control calls over the project's links, compared with grpclib on trio-asyncio.

Both ends run in one process, so the CPU time covers both. Prints the results as JSON
and writes them to bench/results/transport.json.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import pathlib
import resource
import time
from typing import TYPE_CHECKING, Any

import grpclib.client
import grpclib.const
import grpclib.server
import msgspec
import trio
import trio_asyncio
from hdrh.histogram import HdrHistogram

from marigoldchute.events import HybridClock
from marigoldchute.link.endpoint import LinkEndpoint
from marigoldchute.link.handlers import Handlers
from marigoldchute.link.handshake import PeerIdentity

if TYPE_CHECKING:
    from marigoldchute.link.link import Link

ADDRESS = "127.0.0.1"
LINK_PORT = 17_001
GRPC_PORT = 17_002
LINK_METHOD = 999
GRPC_METHOD = "/bench.Echo/Echo"
PAYLOAD = bytes(200)
RESULT_PATH = pathlib.Path(__file__).parent / "results" / "transport.json"


@dataclasses.dataclass(frozen=True)
class TransportMeasurements:
    """Measurements of one transport.

    Parameters
    ----------
    transport : str
        Name of the transport.
    calls : int
        Number of calls, made one after another.
    p50_us, p99_us : float
        Round-trip time in microseconds.
    cpu_us_per_call : float
        CPU time of both ends per call, in microseconds.
    max_rss_mb : float
        Peak resident memory of the process so far, in megabytes.
    """

    transport: str
    calls: int
    p50_us: float
    p99_us: float
    cpu_us_per_call: float
    max_rss_mb: float


async def _measure(name: str, call: Any, calls: int) -> TransportMeasurements:
    for _ in range(calls // 10):
        await call()
    histogram = HdrHistogram(1, 10_000_000, 3)
    cpu_started_s = time.process_time()
    for _ in range(calls):
        started_ns = time.perf_counter_ns()
        await call()
        histogram.record_value((time.perf_counter_ns() - started_ns) // 1000)
    cpu_us = (time.process_time() - cpu_started_s) * 1e6
    rss_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    return TransportMeasurements(
        name,
        calls,
        histogram.get_value_at_percentile(50),
        histogram.get_value_at_percentile(99),
        round(cpu_us / calls, 1),
        round(rss_mb, 1),
    )


def _endpoint(name: str, handlers: Handlers) -> LinkEndpoint:
    return LinkEndpoint(
        PeerIdentity(name, 1, "a", "r"),
        ADDRESS,
        b"secret",
        handlers,
        HybridClock(),
        1000,
        lambda link: None,
    )


async def _echo(link: Link, body: bytes) -> bytes:
    return body


async def measure_links(calls: int) -> TransportMeasurements:
    """Measure echo calls over a link."""
    handlers = Handlers()
    handlers.register(LINK_METHOD, _echo)
    server, client = _endpoint("server", handlers), _endpoint("client", Handlers())
    async with trio.open_nursery() as nursery:
        await nursery.start(server.serve, LINK_PORT)
        link = await client.connect(ADDRESS, LINK_PORT, "control")
        nursery.start_soon(client.run_link, link)

        async def call() -> None:
            await link.call(LINK_METHOD, PAYLOAD, 5.0)

        measurements = await _measure("link", call, calls)
        nursery.cancel_scope.cancel()
    return measurements


class _MsgpackCodec(grpclib.encoding.base.CodecBase):
    """Codec that sends messages as msgpack, without generated code."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message."""
        return msgspec.msgpack.encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode one message."""
        return msgspec.msgpack.decode(data)


class _EchoService:
    async def echo(self, stream: Any) -> None:
        await stream.send_message(await stream.recv_message())

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        unary = grpclib.const.Cardinality.UNARY_UNARY
        return {GRPC_METHOD: grpclib.const.Handler(self.echo, unary, bytes, bytes)}


async def _measure_grpc_on_asyncio(calls: int) -> TransportMeasurements:
    server = grpclib.server.Server([_EchoService()], codec=_MsgpackCodec())
    await server.start(ADDRESS, GRPC_PORT)
    channel = grpclib.client.Channel(ADDRESS, GRPC_PORT, codec=_MsgpackCodec())
    method = grpclib.client.UnaryUnaryMethod(channel, GRPC_METHOD, bytes, bytes)

    async def call() -> None:
        await method(PAYLOAD, timeout=5.0)

    try:
        return await _measure("grpclib on trio-asyncio", call, calls)
    finally:
        channel.close()
        server.close()
        await server.wait_closed()


async def measure_grpc(calls: int) -> TransportMeasurements:
    """Measure echo calls over grpclib, with its asyncio loop inside trio."""
    async with trio_asyncio.open_loop():
        return await trio_asyncio.aio_as_trio(_measure_grpc_on_asyncio)(calls)


def main() -> None:
    """Measure both transports, print the results and write them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=5000)
    calls = parser.parse_args().calls
    results = [
        trio.run(measure_links, calls),
        trio.run(measure_grpc, calls),
    ]
    rows = [dataclasses.asdict(item) for item in results]
    text = json.dumps(rows, indent=2)
    print(text)
    RESULT_PATH.write_text(text + "\n")


if __name__ == "__main__":
    main()
