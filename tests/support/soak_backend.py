"""Backend server of the soak: run times, framings and refusals drawn by request."""

from __future__ import annotations

import dataclasses
import enum
import math
import random
from typing import TYPE_CHECKING

import trio

from tests.support.hosted import BASE_SERVICE_TIME_S, CALLER_PORT, HOST, Backend
from tests.support.soak_callers import Request, exchange

if TYPE_CHECKING:
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder
    from tests.support.soak_callers import CallerResult

MEDIAN_RUN_S = 0.12
RUN_SIGMA = 0.9
LONG_RUN_SHARE = 0.08
LONG_RUN_S = (0.8, 1.95)  # The route's timeout is 2 s.
REFUSED_SHARE = 0.03
NESTED_SHARE = 0.3
NESTED_PATH = "/nested/1"
SEPARATOR = "-"  # In the identifiers of requests whose behaviour is drawn.


class ResponseFraming(enum.Enum):
    """Framing of a response's body."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@dataclasses.dataclass
class Run:
    """Run of a request on a backend server.

    Parameters
    ----------
    vm : str
        VM of the backend server.
    started_s : float
        Start of the run.
    ended_s : float
        End of the response, or of the run when its connection was closed.
    status : int
        Status of the response, 0 until the response is complete.
    """

    vm: str
    started_s: float
    ended_s: float = math.inf
    status: int = 0


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """Behaviour of a backend server for one request."""

    run_s: float
    framing: ResponseFraming
    is_refused: bool
    calls: bool


def draw_behaviour(request_id: str, server: str) -> Behaviour:
    """Return the behaviour for a request, always the same on the same server."""
    rng = random.Random(f"{request_id} {server}")
    run_s = min(rng.lognormvariate(math.log(MEDIAN_RUN_S), RUN_SIGMA), LONG_RUN_S[1])
    if rng.random() < LONG_RUN_SHARE:
        run_s = rng.uniform(*LONG_RUN_S)
    return Behaviour(
        run_s,
        rng.choice(list(ResponseFraming)),
        rng.random() < REFUSED_SHARE,
        rng.random() < NESTED_SHARE,
    )


class SoakBackend(Backend):
    """Backend server whose behaviour is drawn from the identifier of each request."""

    def __init__(self, name: str, service: str, address: str, release: str) -> None:
        super().__init__(name, service, address, release)
        self.vm = name.removeprefix("i-")
        self.drawn_runs: list[tuple[str, Run]] = []
        self.results: list[CallerResult] = []

    async def _handle(self, req: HttpRequest, responder: HttpResponder) -> None:
        headers = {k.decode(): v.decode() for k, v in req.headers}
        request_id = headers.get("attempt-id", "")
        if SEPARATOR not in request_id:
            await super()._handle(req, responder)
            return
        behaviour = draw_behaviour(request_id, self.name)
        body = b""
        if behaviour.is_refused:
            while await req.receive() is not None:
                pass
            fields = [(b"not-executed", b"1"), (b"content-length", b"0")]
            await responder.start(503, [*fields, *_echo(request_id)])
            await responder.finish()
            return
        started_s = trio.current_time()
        run = Run(self.vm, started_s)
        self.drawn_runs.append((request_id, run))
        self.requests.append(headers | {"path": req.target.decode()})
        with trio.CancelScope() as scope:
            req.cancel_scope = scope
            try:
                while (data := await req.receive()) is not None:
                    body += data
                deadline_s = started_s + int(headers["deadline-ms"]) / 1000
                status = await self._work(request_id, behaviour, deadline_s)
                await self._respond(responder, request_id, behaviour, status, len(body))
                run.status = status
            finally:
                run.ended_s = trio.current_time()
                req.cancel_scope = None

    async def _work(
        self, request_id: str, behaviour: Behaviour, deadline_s: float
    ) -> int:
        """Work on a request until its deadline; return the status of the response."""
        extra_s = self.service_time_s - BASE_SERVICE_TIME_S
        with trio.move_on_at(deadline_s):
            await trio.sleep(behaviour.run_s / 2 + extra_s)
            if behaviour.calls and self.service == "turnos":
                left_ms = int((deadline_s - trio.current_time()) * 1000)
                if await self._call(f"{request_id}.1", left_ms) != 200:
                    return 500
            await trio.sleep(behaviour.run_s / 2)
            return 200
        return 504

    async def _call(self, request_id: str, deadline_ms: int) -> int:
        """Send a call through the node of this VM and return its status."""
        try:
            stream = await trio.open_tcp_stream(self.address, CALLER_PORT)
        except OSError:
            return 0
        async with stream:
            request = Request(request_id, NESTED_PATH, HOST, max(deadline_ms, 1))
            result, _ = await exchange(stream, request, self.vm, deadline_ms / 1000)
        self.results.append(result)
        return result.status

    async def _respond(
        self,
        responder: HttpResponder,
        request_id: str,
        behaviour: Behaviour,
        status: int,
        size: int,
    ) -> None:
        text = f"{self.name} {size}".encode()
        fields = _echo(request_id)
        if behaviour.framing is ResponseFraming.LENGTH:
            fields.append((b"content-length", str(len(text)).encode()))
            await responder.start(status, fields, text)
        elif behaviour.framing is ResponseFraming.CHUNKED:
            await responder.start(status, fields, text[:2])
            await responder.send(text[2:])
        else:
            responder.keep_alive = False
            block = b"".join(b"%s: %s\r\n" % pair for pair in fields)
            await responder.start_encoded(status, block, True, text)
        await responder.finish()


def _echo(request_id: str) -> list[tuple[bytes, bytes]]:
    return [(b"attempt-id", request_id.encode())]
