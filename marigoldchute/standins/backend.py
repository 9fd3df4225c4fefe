"""Stand-in for a backend server: announces itself and answers requests."""

from __future__ import annotations

import dataclasses
import random
from typing import Any

import httpcore
import msgspec
import trio

from marigoldchute.membership.announcement import ANNOUNCE_TARGET, Announcement
from marigoldchute.routing.http_server import (
    HttpRequest,
    HttpResponder,
    serve_connection,
)

ANNOUNCE_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True)
class BackendSettings:
    """Behaviour of one stand-in.

    Parameters
    ----------
    address : str
        IP number of its VM.
    port : int
        Its own TCP port.
    node_port : int
        Internal port of the node on the VM.
    service, release : str
        What it serves.
    slots, connections : int
        Announced limits.
    service_ms : float
        Time that an answer takes.
    error_share : float
        Share of requests answered with status 500.
    seed : int
        Seed of the random choices.
    """

    address: str
    port: int
    node_port: int
    service: str
    release: str
    slots: int = 12
    connections: int = 110
    service_ms: float = 2.0
    error_share: float = 0.0
    seed: int = 1


class Backend:
    """One stand-in backend server."""

    def __init__(self, settings: BackendSettings) -> None:
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self.runs: dict[bytes, int] = {}

    async def run(self) -> None:
        """Serve and announce until cancelled."""
        async with trio.open_nursery() as nursery:
            await nursery.start(self._listen)
            nursery.start_soon(self._announce)

    async def _listen(
        self, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED
    ) -> None:
        settings = self._settings
        await trio.serve_tcp(
            self._serve,
            settings.port,
            host=settings.address,
            task_status=task_status,
        )

    async def _serve(self, stream: trio.SocketStream) -> None:
        await serve_connection(stream, self._handle)

    async def _handle(self, req: HttpRequest, responder: HttpResponder) -> None:
        size = 0
        while (data := await req.receive()) is not None:
            size += len(data)
        await trio.sleep(self._settings.service_ms / 1000)
        status = 500 if self._rng.random() < self._settings.error_share else 200
        body = b"%s %s %d\n" % (self._settings.release.encode(), req.target, size)
        headers = [(b"content-length", str(len(body)).encode())]
        await responder.start(status, headers, body)
        await responder.finish()

    async def _announce(self) -> None:
        settings = self._settings
        said = Announcement(
            settings.service,
            settings.release,
            settings.port,
            settings.slots,
            settings.connections,
        )
        url = (
            f"http://{settings.address}:{settings.node_port}{ANNOUNCE_TARGET.decode()}"
        )
        body = msgspec.json.encode(said)
        async with httpcore.AsyncConnectionPool() as pool:
            while True:
                try:
                    await pool.request("POST", url, content=body)
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    await trio.sleep(ANNOUNCE_INTERVAL_S / 4)
                await trio.sleep(ANNOUNCE_INTERVAL_S)
