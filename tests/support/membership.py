"""Base of the membership tests with real processes."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

import httpcore

from tests.support.invariants import read_events
from tests.support.meshes import MeshTestCase

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable, Iterable

    from marigoldchute.admin.messages import Status

FENCE_AFTER_MS = 5000
HEARTBEAT_MS = 500
SETTLE_S = 6  # Nodes determine their voters after FENCE_AFTER_MS.
FENCED_CODE = b"513"
NO_BUNDLE_CODE = b"501"


class MembershipTestCase(MeshTestCase):
    """Test case with a mesh whose nodes fence themselves after a short time."""

    def start_nodes(self) -> None:
        self.mesh.start_store()
        if self.uses_proxy:
            self.mesh.start_proxy()
        for vm in self.mesh.plan.vms:
            self.start_node(vm.name)

    def start_node(self, name: str, **settings: object) -> None:
        """Start a node with the short time limits of these tests."""
        self.mesh.start_node(
            name,
            fence_after_ms=FENCE_AFTER_MS,
            heartbeat_ms=HEARTBEAT_MS,
            **settings,
        )

    async def wait_for_all(self, names: Iterable[str]) -> None:
        """Wait until each named node lists exactly these nodes, all alive."""
        expected = dict.fromkeys(names, "alive")
        for name in expected:
            await self.mesh.wait_until(name, lambda s: member_states(s) == expected, 25)

    async def wait_for_state(self, observer: str, name: str, state: str) -> None:
        """Wait until one node lists another in a state; gone members are not listed."""
        listed = None if state == "gone" else state
        await self.mesh.wait_until(
            observer, lambda s: member_states(s).get(name) == listed, 30
        )

    async def refusal_code(self, name: str) -> bytes:
        """Return the result code of a request that a node without a bundle refuses."""
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", self.caller_url(name, "/x"))
        return dict(response.headers)[b"marigoldchute-code"]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        os.kill(self.mesh.process(name).pid, number)

    def events(
        self, event: str, matches: Callable[[dict[str, Any]], bool] = lambda e: True
    ) -> list[dict[str, Any]]:
        """Return the matching membership events of one kind from all logs."""
        message_type = f"marigoldchute:membership:{event}"
        return [
            item
            for item in read_events(self.mesh.directory)
            if item["message_type"] == message_type and matches(item)
        ]


def member_states(status: Status) -> dict[str, str]:
    """Return the state of each listed member."""
    return {member.name: member.state for member in status.members}
