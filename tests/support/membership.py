"""What tests of membership with real processes have in common."""

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
SETTLE_S = 6
FENCED = b"513"
NO_BUNDLE = b"501"


class MembershipTestCase(MeshTestCase):
    """A mesh whose nodes fence themselves early."""

    def start_nodes(self) -> None:
        self.mesh.start_store()
        if self.proxied:
            self.mesh.start_proxy()
        for vm in self.mesh.plan.vms:
            self.start_node(vm.name)

    def start_node(self, name: str, **settings: object) -> None:
        """Start a node with the short times of these tests."""
        self.mesh.start_node(
            name,
            fence_after_ms=FENCE_AFTER_MS,
            heartbeat_ms=HEARTBEAT_MS,
            **settings,
        )

    async def wait_for_all(self, names: Iterable[str]) -> None:
        """Wait until the named nodes see one another alive and nobody else."""
        wanted = dict.fromkeys(names, "alive")
        for name in wanted:
            await self.mesh.wait_until(name, lambda s: states(s) == wanted, 25)

    async def wait_for_state(self, observer: str, name: str, state: str) -> None:
        """Wait until one node sees another in a state; ``gone`` is not listed."""
        shown = None if state == "gone" else state
        await self.mesh.wait_until(observer, lambda s: states(s).get(name) == shown, 30)

    async def code_of(self, name: str) -> bytes:
        """Return the code with which a node without a bundle refuses a request."""
        async with httpcore.AsyncConnectionPool() as pool:
            response = await pool.request("GET", self.caller_url(name, "/x"))
        return dict(response.headers)[b"marigoldchute-code"]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of a node."""
        os.kill(self.mesh.process(name).pid, number)

    def events(
        self, event: str, matches: Callable[[dict[str, Any]], bool] = lambda e: True
    ) -> list[dict[str, Any]]:
        """Return the membership events of one kind."""
        wanted = f"marigoldchute:membership:{event}"
        return [
            item
            for item in read_events(self.mesh.directory)
            if item["message_type"] == wanted and matches(item)
        ]


def states(status: Status) -> dict[str, str]:
    """Return the state of each listed member."""
    return {member.name: member.state for member in status.members}
