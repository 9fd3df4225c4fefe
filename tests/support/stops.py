"""Callers that keep their connections in use while nodes stop, and their checks."""

from __future__ import annotations

import dataclasses
import enum
import itertools
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import httptools
import trio

from tests.support.hosted import CALLER_PORT, HOST, BackendRun

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator, Sequence

    from tests.support.hosted import Backend, HostedMesh

DEADLINE_MS = 4000
TIMEOUT_S = 2.0
SHORT_RUN_S, LONG_RUN_S = 0.12, 1.85
LONG_RUN_RATIO = 0.1
MAX_PAUSE_S = 0.06
LONG_PAUSE_RATIO = 0.06  # Share of requests before which a connection is idle long.
MAX_LONG_PAUSE_S = 1.5
BODY_BYTES = 4000
CONNECT_RETRY_S = 0.05
RESPONSE_TIMEOUT_S = 8.0
RECEIVE_BYTES = 65_536
# Requests that are sent no later than this after the signal may be cut in the last
# part of the grace period if their backend server still runs them.
EXCUSED_SEND_S = 3.0
EXCUSED_GRACE_RATIO = 5 / 6
AFTER_GRACE_S = 1.0
OWN_FAILURE_STATUSES = frozenset((502, 503, 504))
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class BodyFraming(enum.Enum):
    """How a request sends its body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    LATE_LAST_CHUNK = "late last chunk"
    TWO_PIECES = "length, two pieces"
    NONE = "none"


class Ending(enum.Enum):
    """How a request ended for its caller."""

    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    PARTIAL = "partial"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True)
class KeptRequest:
    """One request on a kept connection.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    vm : str
        VM of the caller.
    connection : int
        Number of the connection.
    predecessors : int
        Number of requests that were sent before on the connection.
    framing : BodyFraming
        Framing of the body.
    started_at, sent_at, ended_at : float
        Monotonic times of the first byte, the last byte and the end.
    ending : Ending
        How the request ended.
    status : int
        Status of the response, 0 without one.
    is_own_response : bool
        Whether the response is one of the node itself.
    text : str
        Beginning of the body of a response.
    runs : tuple of BackendRun
        Executions of the request.
    """

    request_id: str
    vm: str
    connection: int
    predecessors: int
    framing: BodyFraming
    started_at: float
    sent_at: float
    ended_at: float
    ending: Ending
    status: int = 0
    is_own_response: bool = False
    text: str = ""
    runs: tuple[BackendRun, ...] = ()

    def describe(self, origin: float) -> str:
        """Return one line with times relative to ``origin``."""
        runs = ", ".join(
            f"{run.server} {run.arrived_at - origin:.3f}..{run.ended_at - origin:.3f}"
            f"{' answered' if run.answered else ''}"
            for run in self.runs
        )
        return (
            f"{self.request_id} at {self.vm} connection {self.connection} "
            f"after {self.predecessors}, body {self.framing.value}: sent "
            f"{self.started_at - origin:.3f}..{self.sent_at - origin:.3f}, end "
            f"{self.ended_at - origin:.3f} {self.ending.value} {self.status} "
            f"{self.text!r} [{runs}]"
        )


@dataclasses.dataclass(frozen=True)
class Stop:
    """One signal that stops a node.

    Parameters
    ----------
    vm : str
        VM of the node.
    stopped_at : float
        Monotonic time of the signal.
    """

    vm: str
    stopped_at: float


def find_lost(
    results: Iterable[KeptRequest],
    stopped_at: float,
    grace_s: float,
    timeout_s: float = TIMEOUT_S,
) -> list[KeptRequest]:
    """Return the requests that were passed on and lost around the stop of a node.

    Parameters
    ----------
    results : iterable of KeptRequest
        Requests to the stopped node.
    stopped_at : float
        Monotonic time of the signal.
    grace_s : float
        Seconds between the signal and the latest end of the process.
    timeout_s : float
        Time in seconds after which a request may end without a response.
    """
    excused_from = stopped_at + EXCUSED_GRACE_RATIO * grace_s
    grace_end = stopped_at + grace_s
    lost = []
    for result in results:
        if not result.runs or result.ended_at < stopped_at:
            continue
        if result.sent_at > grace_end + AFTER_GRACE_S or not _lacks_response(result):
            continue
        if result.ended_at - result.started_at >= timeout_s:
            continue
        is_early = result.sent_at <= stopped_at + EXCUSED_SEND_S
        if is_early and any(r.is_at_work(excused_from, grace_end) for r in result.runs):
            continue
        lost.append(result)
    return lost


def _lacks_response(result: KeptRequest) -> bool:
    if result.ending is not Ending.COMPLETE:
        return True
    return (
        result.is_own_response
        and result.status in OWN_FAILURE_STATUSES
        and any(run.arrived_at <= result.ended_at for run in result.runs)
    )


def find_cut_remotely(
    results: Iterable[KeptRequest], stops: Sequence[Stop], timeout_s: float = TIMEOUT_S
) -> list[KeptRequest]:
    """Return the lost requests that a stopped node's backend server was running.

    Parameters
    ----------
    results : iterable of KeptRequest
        Requests to other nodes.
    stops : sequence of Stop
        Signals; a request belongs to the stop of the VM whose server ran it.
    timeout_s : float
        Time in seconds after which a request may end without a response.
    """
    stopped_at = {f"i-{stop.vm}": stop.stopped_at for stop in stops}
    return [
        result
        for result in results
        if _lacks_response(result)
        and result.ended_at - result.started_at < timeout_s
        and any(result.ended_at >= stopped_at.get(r.server, 1e18) for r in result.runs)
    ]


def find_refused_after_run(results: Iterable[KeptRequest]) -> list[KeptRequest]:
    """Return the requests that ran although their response promises they did not."""
    return [r for r in results if r.runs and r.status in NOT_RUN_STATUSES]


def find_run_twice(results: Iterable[KeptRequest]) -> list[KeptRequest]:
    """Return the requests that were executed more than once."""
    return [result for result in results if len(result.runs) > 1]


def run_time_of(target: bytes) -> float:
    """Return the run time in seconds that the target of a request asks for."""
    values = parse_qs(urlsplit(target.decode()).query).get("ms", ["20"])
    return int(values[0]) / 1000


class _ResponseParser:
    """Parses one response."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.received_bytes = 0
        self.status = 0
        self.keeps_alive = False
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.complete = True
        self.keeps_alive = (
            self.parser.should_keep_alive()
            and self.headers.get(b"connection", b"").lower() != b"close"
        )

    def feed(self, data: bytes) -> None:
        self.received_bytes += len(data)
        self.parser.feed_data(data)

    def feed_end(self) -> None:
        """Complete a response that ends with its connection."""
        is_framed = (
            b"content-length" in self.headers or b"transfer-encoding" in self.headers
        )
        if self.status and not is_framed:
            self.complete = True


class KeptCallers:
    """Callers of one VM that use a pool of kept connections without a pause.

    Each connection is used until it is closed or a response has ``Connection: close``.
    A new one is then opened, as long as the node accepts connections; callers do not
    leave a node that is not ready.

    Parameters
    ----------
    mesh : HostedMesh
        Mesh with the VM.
    vm : str
        VM of the callers.
    rng : random.Random
        Source of random choices.
    connections : int
        Size of the pool.
    framings : sequence of BodyFraming
        Framings of bodies, one of which is drawn for each request.
    long_run_ratio : float
        Share of long requests.
    long_run_s : float
        Run time of a long request in seconds.

    Attributes
    ----------
    results : list of KeptRequest
        Requests that have ended.
    """

    def __init__(
        self,
        mesh: HostedMesh,
        vm: str,
        rng: random.Random,
        connections: int = 16,
        framings: Sequence[BodyFraming] = (BodyFraming.LENGTH,),
        long_run_ratio: float = LONG_RUN_RATIO,
        long_run_s: float = LONG_RUN_S,
    ) -> None:
        self._address = mesh.address(vm)
        self._vm = vm
        self._rng = rng
        self._num_connections = connections
        self._framings = tuple(framings)
        self._long_run_ratio = long_run_ratio
        self._long_run_s = long_run_s
        self._numbers: Iterator[int] = itertools.count()
        self._stopping = False
        self.results: list[KeptRequest] = []

    def stop(self) -> None:
        """Send no further requests; those in progress are completed."""
        self._stopping = True

    async def run(self) -> None:
        """Send requests until ``stop``."""
        async with trio.open_nursery() as nursery:
            for _ in range(self._num_connections):
                nursery.start_soon(self._use_connections)

    async def _use_connections(self) -> None:
        while not self._stopping:
            sock = trio.socket.socket()
            try:
                await sock.connect((self._address, CALLER_PORT))
                await self._use_connection(sock, next(self._numbers))
            except OSError:
                await trio.sleep(CONNECT_RETRY_S)
            finally:
                sock.close()

    async def _use_connection(self, sock: trio.socket.SocketType, number: int) -> None:
        predecessors = 0
        while not self._stopping:
            if not await self._send_request(sock, number, predecessors):
                return
            predecessors += 1
            pause_s = self._rng.uniform(0, MAX_PAUSE_S)
            if self._rng.random() < LONG_PAUSE_RATIO:
                pause_s = self._rng.uniform(0, MAX_LONG_PAUSE_S)
            with trio.move_on_after(pause_s):
                await trio.lowlevel.wait_readable(sock)
                return  # The node has closed the idle connection.

    async def _send_request(
        self, sock: trio.socket.SocketType, number: int, predecessors: int
    ) -> bool:
        """Send one request; return whether the connection can be used again."""
        rng = self._rng
        request_id = f"{rng.getrandbits(64):016x}"
        framing = rng.choice(self._framings)
        is_long = rng.random() < self._long_run_ratio
        run_ms = int((self._long_run_s if is_long else SHORT_RUN_S) * 1000)
        pieces = _encode_request(request_id, run_ms, framing)
        parser = _ResponseParser()
        started_at = sent_at = trio.current_time()
        ending = Ending.CLOSED
        try:
            for i, piece in enumerate(pieces):
                if i:
                    await trio.sleep(rng.uniform(0.05, 0.3))
                await _send_all(sock, piece)
                sent_at = trio.current_time()
            ending = await _receive_response(sock, parser)
        except OSError:
            ending = Ending.PARTIAL if parser.received_bytes else Ending.RESET
        self.results.append(
            KeptRequest(
                request_id,
                self._vm,
                number,
                predecessors,
                framing,
                started_at,
                sent_at,
                trio.current_time(),
                ending,
                parser.status,
                b"marigoldchute-code" in parser.headers,
                parser.body[:80].decode("latin-1"),
            )
        )
        return ending is Ending.COMPLETE and parser.keeps_alive


def _encode_request(
    request_id: str, run_ms: int, framing: BodyFraming
) -> tuple[bytes, ...]:
    """Return the pieces of a request that are sent one after another."""
    head = (
        f"POST /a/{request_id[:4]}?ms={run_ms} HTTP/1.1\r\nhost: {HOST}\r\n"
        f"attempt-id: {request_id}\r\ndeadline-ms: {DEADLINE_MS}\r\n"
    ).encode()
    body = b"z" * BODY_BYTES
    half = BODY_BYTES // 2
    length = b"content-length: %d\r\n\r\n" % BODY_BYTES
    chunks = b"transfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (BODY_BYTES, body)
    match framing:
        case BodyFraming.LENGTH:
            return (head + length + body,)
        case BodyFraming.CHUNKS:
            return (head + chunks + b"0\r\n\r\n",)
        case BodyFraming.LATE_LAST_CHUNK:
            return (head + chunks, b"0\r\n\r\n")
        case BodyFraming.TWO_PIECES:
            return (head + length + body[:half], body[half:])
        case BodyFraming.NONE:
            return (head + b"\r\n",)


async def _send_all(sock: trio.socket.SocketType, data: bytes) -> None:
    with memoryview(data) as view:
        sent = 0
        while sent < len(data):
            sent += await sock.send(view[sent:])


async def _receive_response(
    sock: trio.socket.SocketType, parser: _ResponseParser
) -> Ending:
    with trio.move_on_after(RESPONSE_TIMEOUT_S):
        while not parser.complete:
            data = await sock.recv(RECEIVE_BYTES)
            if data:
                parser.feed(data)
                continue
            parser.feed_end()
            if not parser.complete:
                return Ending.PARTIAL if parser.received_bytes else Ending.CLOSED
        return Ending.COMPLETE
    return Ending.SILENT


def with_runs(
    results: Iterable[KeptRequest], backends: Iterable[Backend]
) -> list[KeptRequest]:
    """Return the results together with the executions of their requests."""
    runs: dict[str, list[BackendRun]] = {}
    for backend in backends:
        for run in backend.runs:
            runs.setdefault(run.request_id, []).append(run)
    return [
        dataclasses.replace(result, runs=tuple(runs.get(result.request_id, ())))
        for result in results
    ]


def set_run_times(
    backends: Iterable[Backend], run_time: Callable[[bytes], float] = run_time_of
) -> None:
    """Let each request choose its run time, and end it with its connection."""
    for backend in backends:
        backend.run_time = run_time
        backend.drops_abandoned = True
