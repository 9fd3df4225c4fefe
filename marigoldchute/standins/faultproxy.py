"""Fault-injecting TCP proxy between the processes of a mesh.

Each process is reached at an address of the proxy, which forwards to the real address
and identifies the sender by its source address. Rules block, silence, reset or delay
the traffic between two endpoints. Bytes are counted for each ordered pair of endpoints.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.util.asgi import read_body, send_response, serve_app, serve_lifespan

if TYPE_CHECKING:
    from marigoldchute.util.asgi import Receive, Scope, Send

RECEIVE_BYTES = 65_536
MAX_RULES_BYTES = 1_000_000
ANY_ENDPOINT = "*"


class Action(enum.StrEnum):
    """Effect of a rule on the traffic that it matches.

    ``DROP`` withholds bytes until the rule is removed, as TCP behaves on a partitioned
    network. ``SILENCE`` withholds them permanently on the connections that are open
    when the rule is set; new connections work. ``RESET`` closes the open connections
    once. ``DELAY`` adds a one-way delay of ``delay_ms``.
    """

    DROP = "drop"
    SILENCE = "silence"
    RESET = "reset"
    DELAY = "delay"


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """Process that the proxy forwards to or from.

    Parameters
    ----------
    name : str
        Name of the VM, or ``store``.
    data_centre, region : str
        Location of the VM.
    address : str
        Real IP address; also the source address of its connections.
    """

    name: str
    data_centre: str
    region: str
    address: str

    def matches(self, label: str) -> bool:
        """Return whether a label is this name, data centre or region, or ``*``."""
        return label in (ANY_ENDPOINT, self.name, self.data_centre, self.region)


@dataclasses.dataclass(frozen=True)
class Rule:
    """Fault between two endpoints, applied until the rules are replaced.

    Parameters
    ----------
    source, target : str
        Name, data centre, region or ``*``; traffic from source to target matches.
    action : Action
        Effect on the matching traffic.
    both_ways : bool
        Whether traffic from target to source matches too.
    delay_ms : float
        One-way delay of ``DELAY``.
    """

    source: str
    target: str
    action: Action
    both_ways: bool = True
    delay_ms: float = 0.0

    def matches(self, source: Endpoint, target: Endpoint) -> bool:
        """Return whether the rule applies to traffic from one endpoint to another."""
        if source.matches(self.source) and target.matches(self.target):
            return True
        return (
            self.both_ways
            and source.matches(self.target)
            and target.matches(self.source)
        )


@dataclasses.dataclass(frozen=True)
class Forward:
    """Listening address of the proxy and the endpoint to which it forwards."""

    listen_address: str
    port: int
    end: Endpoint


@dataclasses.dataclass(frozen=True)
class ProxyPlan:
    """Addresses and endpoints of a proxy.

    Parameters
    ----------
    forwards : tuple of Forward
        Listening addresses.
    sources : tuple of Endpoint
        Endpoints that are recognised as senders by their address.
    control_address : str
        IP address of the control interface.
    control_port : int
        TCP port of the control interface.
    """

    forwards: tuple[Forward, ...]
    sources: tuple[Endpoint, ...]
    control_address: str
    control_port: int


@dataclasses.dataclass(frozen=True)
class ByteCount:
    """Bytes forwarded from one endpoint to another since the proxy started."""

    source: str
    target: str
    source_region: str
    target_region: str
    bytes: int


class _ForwardedConnection:
    """State of a forwarded connection."""

    def __init__(self, source: Endpoint, target: Endpoint) -> None:
        self.source = source
        self.target = target
        self.silenced = False
        self.scope = trio.CancelScope()


class FaultProxy:
    """Forwards connections and applies the current rules to them."""

    def __init__(self, plan: ProxyPlan) -> None:
        self._plan = plan
        self._rules: tuple[Rule, ...] = ()
        self._rules_changed = trio.Event()
        self._connections: set[_ForwardedConnection] = set()
        self._byte_totals: dict[tuple[str, str], int] = {}
        self._endpoints_by_address = {
            endpoint.address: endpoint for endpoint in plan.sources
        }

    def set_rules(self, rules: tuple[Rule, ...]) -> None:
        """Replace the rules; ``SILENCE`` and ``RESET`` apply to open connections."""
        self._rules = rules
        for rule in rules:
            for connection in tuple(self._connections):
                if not rule.matches(connection.source, connection.target):
                    continue
                if rule.action is Action.SILENCE:
                    connection.silenced = True
                elif rule.action is Action.RESET:
                    connection.scope.cancel()
        rules_changed, self._rules_changed = self._rules_changed, trio.Event()
        rules_changed.set()

    def byte_counts(self) -> list[ByteCount]:
        """Return the bytes forwarded for each ordered pair of endpoints."""
        regions = {endpoint.name: endpoint.region for endpoint in self._plan.sources}
        regions |= {f.end.name: f.end.region for f in self._plan.forwards}
        return [
            ByteCount(
                source, target, regions.get(source, ""), regions.get(target, ""), count
            )
            for (source, target), count in sorted(self._byte_totals.items())
        ]

    async def run(self) -> None:
        """Forward connections until cancelled."""
        plan = self._plan
        async with trio.open_nursery() as nursery:
            for forward in plan.forwards:
                nursery.start_soon(self._accept_connections, forward)
            nursery.start_soon(
                serve_app, self._serve_control, plan.control_address, plan.control_port
            )

    async def _accept_connections(self, forward: Forward) -> None:
        async def handle_connection(stream: trio.SocketStream) -> None:
            await self._forward(forward, stream)

        await trio.serve_tcp(
            handle_connection, forward.port, host=forward.listen_address
        )

    async def _forward(self, forward: Forward, client: trio.SocketStream) -> None:
        address = client.socket.getpeername()[0]
        source = self._endpoints_by_address.get(
            address, Endpoint(address, "", "", address)
        )
        connection = _ForwardedConnection(source, forward.end)
        self._connections.add(connection)
        server: trio.SocketStream | None = None
        try:
            with connection.scope:
                await self._wait_until_unblocked(connection, source, forward.end)
                with contextlib.suppress(OSError):
                    server = await trio.open_tcp_stream(
                        forward.end.address, forward.port
                    )
                if server is not None:
                    await self._copy_both_ways(connection, client, server)
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(client)
            if server is not None:
                await trio.aclose_forcefully(server)

    async def _copy_both_ways(
        self,
        connection: _ForwardedConnection,
        client: trio.SocketStream,
        server: trio.SocketStream,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._copy,
                connection,
                client,
                server,
                connection.source,
                connection.target,
            )
            await self._copy(
                connection, server, client, connection.target, connection.source
            )
            nursery.cancel_scope.cancel()

    async def _copy(
        self,
        connection: _ForwardedConnection,
        reader: trio.SocketStream,
        writer: trio.SocketStream,
        source: Endpoint,
        target: Endpoint,
    ) -> None:
        key = (source.name, target.name)
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data := await reader.receive_some(RECEIVE_BYTES):
                await self._wait_until_unblocked(connection, source, target)
                delay_s = self._one_way_delay_s(source, target)
                if delay_s:
                    await trio.sleep(delay_s)
                await writer.send_all(data)
                self._byte_totals[key] = self._byte_totals.get(key, 0) + len(data)
        connection.scope.cancel()

    async def _wait_until_unblocked(
        self, connection: _ForwardedConnection, source: Endpoint, target: Endpoint
    ) -> None:
        while connection.silenced or self._is_blocked(source, target):
            await self._rules_changed.wait()

    def _is_blocked(self, source: Endpoint, target: Endpoint) -> bool:
        return any(
            rule.action is Action.DROP and rule.matches(source, target)
            for rule in self._rules
        )

    def _one_way_delay_s(self, source: Endpoint, target: Endpoint) -> float:
        delays = [
            rule.delay_ms
            for rule in self._rules
            if rule.action is Action.DELAY and rule.matches(source, target)
        ]
        return max(delays, default=0.0) / 1000

    async def _serve_control(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
        elif scope["path"] == "/rules":
            body = await read_body(receive, MAX_RULES_BYTES) or b"[]"
            self.set_rules(msgspec.json.decode(body, type=tuple[Rule, ...]))
            await send_response(send, 200, b"{}")
        else:
            await send_response(send, 200, msgspec.json.encode(self.byte_counts()))
