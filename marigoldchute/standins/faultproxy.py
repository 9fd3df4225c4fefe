"""Fault-injecting TCP proxy between the processes of a mesh.

Each process is reached under an address of the proxy's, which forwards to the real one
and knows the sender by its source address. Rules hold back, silence, reset or delay the
bytes between two ends; bytes are counted for each pair of ends.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.util.asgi import answer, read_body, serve_app, serve_lifespan

if TYPE_CHECKING:
    from marigoldchute.util.asgi import Receive, Scope, Send

RECEIVE_BYTES = 65_536
MAX_RULES_BYTES = 1_000_000
ANYONE = "*"


class Action(enum.StrEnum):
    """What a rule does to the bytes that it matches.

    ``DROP`` holds bytes back until the rule is lifted, as a cut network does to TCP.
    ``SILENCE`` does so for good to the connections that are open when the rule comes,
    while new ones work. ``RESET`` closes the open connections once. ``DELAY`` adds
    ``delay_ms`` one way.
    """

    DROP = "drop"
    SILENCE = "silence"
    RESET = "reset"
    DELAY = "delay"


@dataclasses.dataclass(frozen=True)
class End:
    """One end that the proxy knows.

    Parameters
    ----------
    name : str
        Name of the VM, or ``store``.
    data_centre, region : str
        Its place.
    address : str
        Real IP number; also the source of its connections.
    """

    name: str
    data_centre: str
    region: str
    address: str

    def matches(self, label: str) -> bool:
        """Whether a label names this end, its data centre or its region."""
        return label in (ANYONE, self.name, self.data_centre, self.region)


@dataclasses.dataclass(frozen=True)
class Rule:
    """A fault between two ends, in force until the rules are replaced.

    Parameters
    ----------
    source, target : str
        Name, data centre, region or ``*``; bytes from source to target match.
    action : Action
        What happens to them.
    both_ways : bool
        Whether bytes from target to source match too.
    delay_ms : float
        One-way delay of ``DELAY``.
    """

    source: str
    target: str
    action: Action
    both_ways: bool = True
    delay_ms: float = 0.0

    def matches(self, source: End, target: End) -> bool:
        """Whether the rule holds for bytes from one end to another."""
        if source.matches(self.source) and target.matches(self.target):
            return True
        return (
            self.both_ways
            and source.matches(self.target)
            and target.matches(self.source)
        )


@dataclasses.dataclass(frozen=True)
class Forward:
    """A listening address of the proxy and the end behind it."""

    listen_address: str
    port: int
    end: End


@dataclasses.dataclass(frozen=True)
class ProxyPlan:
    """What the proxy forwards.

    Parameters
    ----------
    forwards : tuple of Forward
        Listening addresses.
    sources : tuple of End
        Known senders.
    control_address : str
        IP number of the control interface.
    control_port : int
        Its TCP port.
    """

    forwards: tuple[Forward, ...]
    sources: tuple[End, ...]
    control_address: str
    control_port: int


@dataclasses.dataclass(frozen=True)
class ByteCount:
    """Bytes forwarded from one end to another since the proxy started."""

    source: str
    target: str
    source_region: str
    target_region: str
    bytes: int


class _Pair:
    """One forwarded connection."""

    def __init__(self, source: End, target: End) -> None:
        self.source = source
        self.target = target
        self.silenced = False
        self.scope = trio.CancelScope()


class FaultProxy:
    """Forwards connections under the rules in force."""

    def __init__(self, plan: ProxyPlan) -> None:
        self._plan = plan
        self._rules: tuple[Rule, ...] = ()
        self._changed = trio.Event()
        self._pairs: set[_Pair] = set()
        self._bytes: dict[tuple[str, str], int] = {}
        self._ends = {end.address: end for end in plan.sources}

    def set_rules(self, rules: tuple[Rule, ...]) -> None:
        """Replace the rules; ``SILENCE`` and ``RESET`` act on open connections."""
        self._rules = rules
        for rule in rules:
            for pair in tuple(self._pairs):
                if not rule.matches(pair.source, pair.target):
                    continue
                if rule.action is Action.SILENCE:
                    pair.silenced = True
                elif rule.action is Action.RESET:
                    pair.scope.cancel()
        changed, self._changed = self._changed, trio.Event()
        changed.set()

    def byte_counts(self) -> list[ByteCount]:
        """Return the bytes forwarded for each ordered pair of ends."""
        region = {end.name: end.region for end in self._plan.sources}
        region |= {f.end.name: f.end.region for f in self._plan.forwards}
        return [
            ByteCount(a, b, region.get(a, ""), region.get(b, ""), count)
            for (a, b), count in sorted(self._bytes.items())
        ]

    async def run(self) -> None:
        """Forward until cancelled."""
        plan = self._plan
        async with trio.open_nursery() as nursery:
            for forward in plan.forwards:
                nursery.start_soon(self._listen, forward)
            nursery.start_soon(
                serve_app, self._control, plan.control_address, plan.control_port
            )

    async def _listen(self, forward: Forward) -> None:
        async def accept(stream: trio.SocketStream) -> None:
            await self._forward(forward, stream)

        await trio.serve_tcp(accept, forward.port, host=forward.listen_address)

    async def _forward(self, forward: Forward, client: trio.SocketStream) -> None:
        address = client.socket.getpeername()[0]
        source = self._ends.get(address, End(address, "", "", address))
        pair = _Pair(source, forward.end)
        self._pairs.add(pair)
        server: trio.SocketStream | None = None
        try:
            with pair.scope:
                await self._wait_open(pair, source, forward.end)
                with contextlib.suppress(OSError):
                    server = await trio.open_tcp_stream(
                        forward.end.address, forward.port
                    )
                if server is not None:
                    await self._copy_both(pair, client, server)
        finally:
            self._pairs.discard(pair)
            await trio.aclose_forcefully(client)
            if server is not None:
                await trio.aclose_forcefully(server)

    async def _copy_both(
        self, pair: _Pair, client: trio.SocketStream, server: trio.SocketStream
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._copy, pair, client, server, pair.source, pair.target
            )
            await self._copy(pair, server, client, pair.target, pair.source)
            nursery.cancel_scope.cancel()

    async def _copy(
        self,
        pair: _Pair,
        reader: trio.SocketStream,
        writer: trio.SocketStream,
        source: End,
        target: End,
    ) -> None:
        key = (source.name, target.name)
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await reader.receive_some(RECEIVE_BYTES):
                await self._wait_open(pair, source, target)
                delay_s = self._delay_s(source, target)
                if delay_s:
                    await trio.sleep(delay_s)
                await writer.send_all(data)
                self._bytes[key] = self._bytes.get(key, 0) + len(data)
        pair.scope.cancel()

    async def _wait_open(self, pair: _Pair, source: End, target: End) -> None:
        while pair.silenced or self._is_dropped(source, target):
            await self._changed.wait()

    def _is_dropped(self, source: End, target: End) -> bool:
        return any(
            rule.action is Action.DROP and rule.matches(source, target)
            for rule in self._rules
        )

    def _delay_s(self, source: End, target: End) -> float:
        delays = [
            rule.delay_ms
            for rule in self._rules
            if rule.action is Action.DELAY and rule.matches(source, target)
        ]
        return max(delays, default=0.0) / 1000

    async def _control(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["path"] == "/rules":
            body = await read_body(receive, MAX_RULES_BYTES) or b"[]"
            self.set_rules(msgspec.json.decode(body, type=tuple[Rule, ...]))
            await answer(send, 200, b"{}")
        else:
            await answer(send, 200, msgspec.json.encode(self.byte_counts()))
