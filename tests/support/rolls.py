"""Test case with a mesh, and helpers that sign and roll bundles."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.admin.messages import RollRequest
from marigoldchute.bundle.codec import chunk_digest, encode_manifest, split_content
from marigoldchute.bundle.signing import sign_manifest
from marigoldchute.errors import MarigoldchuteError, ResultCode
from tests.support.invariants import IN_FORCE, read_events
from tests.support.meshes import MeshTestCase

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.bundle.model import BundleContent


# These limits only stop a test that hangs; no test depends on how fast the mesh is.
START_TIMEOUT_S = 90.0
WAIT_TIMEOUT_S = 60.0
TEST_TIMEOUT_S = 240.0


class RollTestCase(MeshTestCase):
    """Rolls bundles over the administration API and waits for their versions."""

    def signed_request(
        self, version: int, content: BundleContent, author: str = "ana"
    ) -> RollRequest:
        chunks = split_content(content)
        digests = [chunk_digest(chunk) for chunk in chunks]
        manifest = sign_manifest(
            version, digests, "ops-1", self.mesh.private_key, author, f"{author}-t"
        )
        return RollRequest(encode_manifest(manifest), tuple(chunks))

    async def roll_content(
        self, vm_name: str, version: int, content: BundleContent
    ) -> None:
        await self.mesh.admin(vm_name).roll(self.signed_request(version, content))

    async def roll_result(
        self, vm_name: str, request: RollRequest
    ) -> tuple[ResultCode, str]:
        try:
            await self.mesh.admin(vm_name).roll(request)
        except MarigoldchuteError as exc:
            return exc.code, exc.message
        return ResultCode.OK, ""

    @property
    def node_names(self) -> list[str]:
        return [vm.name for vm in self.mesh.plan.vms]

    async def wait_for_version(
        self, version: int, names: Iterable[str] = (), timeout_s: float = WAIT_TIMEOUT_S
    ) -> None:
        async with trio.open_nursery() as nursery:
            for name in names or self.node_names:
                nursery.start_soon(self.wait_for_node_version, name, version, timeout_s)

    async def wait_for_node_version(
        self, vm_name: str, version: int, timeout_s: float = WAIT_TIMEOUT_S
    ) -> None:
        await self.mesh.wait_until(vm_name, lambda s: s.version == version, timeout_s)

    async def wait_for_members(self) -> None:
        count = len(self.node_names)
        for name in self.node_names:
            await self.mesh.wait_until(
                name, lambda s: len(s.members) == count, START_TIMEOUT_S
            )

    async def version_in_force(self, vm_name: str) -> int:
        return (await self.mesh.admin(vm_name).status()).version

    def events_of_type(
        self, message_type: str, process: str = ""
    ) -> list[dict[str, Any]]:
        return [
            event
            for event in read_events(self.mesh.directory)
            if event["message_type"] == f"marigoldchute:{message_type}"
            and process in ("", event["process"])
        ]

    def versions_in_force(self, process: str) -> list[int]:
        return [
            event["version"]
            for event in read_events(self.mesh.directory)
            if event["message_type"] == IN_FORCE and event["process"] == process
        ]
