"""Joining a mesh through the seeds of the store and of the settings."""

from __future__ import annotations

from marigoldchute.standins.store import StoreFaults
from tests.support.membership import MembershipTestCase

FIRST = "cartago-norte-1"
SECOND = "cartago-norte-2"
THIRD = "cartago-norte-3"


class SeedsTest(MembershipTestCase):
    data_centre_count = 1
    vms_per_data_centre = 3

    def test_nodes_join_through_the_store_or_through_settings_without_it(
        self,
    ) -> None:
        self.run_async(self._join, 60)

    async def _join(self) -> None:
        self.mesh.start_store()
        self.start_node(FIRST, seeds=[])
        self.start_node(SECOND, seeds=[])
        await self.wait_for_all([FIRST, SECOND])
        await self.mesh.set_store_faults(StoreFaults(down=True))
        peer = f"{self.mesh.vm(FIRST).address}:7000"
        self.start_node(THIRD, seeds=[peer])
        await self.wait_for_all([FIRST, SECOND, THIRD])
