"""Addresses of a few members in the store, through which nodes find each other."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldchute.errors import ConflictError, NotFoundError, PlatformError
from marigoldchute.membership.model import MemberState
from marigoldchute.objectstore.api import CREATE_ONLY
from marigoldchute.overlay.topology import rendezvous_order

if TYPE_CHECKING:
    import random

    from marigoldchute.membership.service import Membership
    from marigoldchute.objectstore.api import ObjectStore, StoredObject
    from marigoldchute.overlay.overlay import Overlay

SEED_KEY_PREFIX = "seeds/"
NUM_SLOTS = 3
JOIN_DELAY_S = 2.0
MAX_JOIN_RETRY_DELAY_S = 30.0
SLOT_CHECK_INTERVAL_S = 3.0
SLOT_REFRESH_INTERVAL_S = 300.0
SEED_DUTY = "seed"


class Seed(msgspec.Struct, frozen=True):
    """Content of a seed object.

    Parameters
    ----------
    name : str
        Member that holds the slot.
    incarnation : int
        Incarnation of that member.
    address : str
        IP address at which peers reach it.
    peer_port : int
        TCP port for peers.
    """

    name: str
    incarnation: int
    address: str
    peer_port: int


_SEED = msgspec.json.Decoder(Seed)


def seed_key(data_centre: str, slot: int) -> str:
    """Return the store key of a seed object."""
    return f"{SEED_KEY_PREFIX}{data_centre}/{slot}"


class SeedSlotManager:
    """Joins the mesh through the seeds in the store and maintains this node's slot.

    Each data centre has ``NUM_SLOTS`` seed objects. The first members in rendezvous
    order hold them and write only changes, so the number of store calls does not depend
    on the number of members.

    Parameters
    ----------
    membership : Membership
        Members of the mesh.
    overlay : Overlay
        Links of this node.
    store : ObjectStore
        The platform's object API.
    rng : random.Random
        Source of jitter.
    """

    def __init__(
        self,
        membership: Membership,
        overlay: Overlay,
        store: ObjectStore,
        rng: random.Random,
    ) -> None:
        self._membership = membership
        self._overlay = overlay
        self._store = store
        self._rng = rng
        self._stored_slot: tuple[int, Seed] | None = None
        self._checked_at = -SLOT_REFRESH_INTERVAL_S

    async def run(self) -> None:
        """Join the mesh, then maintain this node's slot until cancelled."""
        await self._join()
        while True:
            await trio.sleep(SLOT_CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            if not self._overlay.neighbours() and self._has_other_members():
                await self._join()
            await self.update_slot(trio.current_time())

    def _has_other_members(self) -> bool:
        return len(self._membership.recorded_members()) > 1

    async def _join(self) -> None:
        """Read the seeds until one read succeeds or a peer is linked."""
        delay_s = JOIN_DELAY_S
        await trio.sleep(JOIN_DELAY_S * self._rng.uniform(0.5, 1.0))
        while not self._overlay.neighbours():
            if await self.read_seeds():
                return
            await trio.sleep(delay_s * self._rng.uniform(0.0, 1.0))
            delay_s = min(MAX_JOIN_RETRY_DELAY_S, 2 * delay_s)

    async def read_seeds(self) -> bool:
        """Read the seeds of all data centres from the store; False if that fails."""
        try:
            objects = await self._store.list(SEED_KEY_PREFIX)
        except PlatformError:
            return False
        local = self._membership.local
        seeds = [seed for seed in map(_decode, objects) if seed is not None]
        self._membership.set_store_seeds(
            [
                (seed.address, seed.peer_port)
                for seed in seeds
                if (seed.address, seed.peer_port) != (local.address, local.peer_port)
            ]
        )
        return True

    async def update_slot(self, now: float) -> None:
        """Write this node's slot if it holds one and the stored seed is outdated."""
        slot = self._own_slot()
        if slot is None:
            self._stored_slot = None
            return
        local = self._membership.local
        seed = Seed(local.name, local.incarnation, local.address, local.peer_port)
        is_stored = self._stored_slot == (slot, seed)
        if is_stored and now - self._checked_at < SLOT_REFRESH_INTERVAL_S:
            return
        try:
            await self._write(slot, seed)
        except PlatformError:
            return
        self._stored_slot = (slot, seed)
        self._checked_at = now

    def _own_slot(self) -> int | None:
        local = self._membership.local
        alive = [
            member
            for member in self._membership.recorded_members()
            if member.data_centre == local.data_centre
            and member.state is MemberState.ALIVE
        ]
        holders = rendezvous_order(alive, SEED_DUTY)[:NUM_SLOTS]
        names = [member.name for member in holders]
        return names.index(local.name) if local.name in names else None

    async def _write(self, slot: int, seed: Seed) -> None:
        key = seed_key(self._membership.local.data_centre, slot)
        try:
            stored = await self._store.get(key)
        except NotFoundError:
            revision = CREATE_ONLY
        else:
            revision = stored.revision
            stored_seed = _decode(stored)
            if stored_seed == seed:
                return
            self._dial_unknown_holder(stored_seed)
        try:
            await self._store.put(key, msgspec.json.encode(seed), revision)
        except ConflictError:
            self._dial_unknown_holder(_decode(await self._store.get(key)))
            raise

    def _dial_unknown_holder(self, seed: Seed | None) -> None:
        """Dial the holder of a slot that has no member record, to join two meshes."""
        if seed is None or self._membership.get_recorded(seed.name) is not None:
            return
        self._membership.add_one_time_address(seed.address, seed.peer_port)


def _decode(stored: StoredObject) -> Seed | None:
    try:
        return _SEED.decode(stored.value)
    except msgspec.DecodeError:
        return None
