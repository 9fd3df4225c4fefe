"""Addresses of a few members in the store, through which nodes find each other.

Each data centre has ``SLOTS`` seed objects. The members that come first in rendezvous
order hold them and write only what has changed, so the number of calls does not depend
on the size of the fleet.
"""

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

SEED_PREFIX = "seeds/"
SLOTS = 3
JOIN_WAIT_S = 2.0
JOIN_RETRY_MAX_S = 30.0
HOLD_CHECK_S = 3.0
HOLD_REFRESH_S = 300.0
DUTY = "seed"


class Seed(msgspec.Struct, frozen=True):
    """Content of a seed object.

    Parameters
    ----------
    name : str
        Member that holds the slot.
    incarnation : int
        Its incarnation.
    address : str
        IP number under which peers reach it.
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
    return f"{SEED_PREFIX}{data_centre}/{slot}"


class SeedKeeper:
    """Joins through the seeds of the store and keeps this node's own slot.

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
        self._held: tuple[int, Seed] | None = None
        self._checked_at = -HOLD_REFRESH_S

    async def run(self) -> None:
        """Join, then hold a slot when this node is among the first."""
        await self._join()
        while True:
            await trio.sleep(HOLD_CHECK_S * self._rng.uniform(0.5, 1.5))
            if not self._overlay.neighbours() and self._has_others():
                await self._join()
            await self.hold(trio.current_time())

    def _has_others(self) -> bool:
        return len(self._membership.recorded()) > 1

    async def _join(self) -> None:
        """Look for seeds while no peer is linked, until the store was read once."""
        delay_s = JOIN_WAIT_S
        await trio.sleep(JOIN_WAIT_S * self._rng.uniform(0.5, 1.0))
        while not self._overlay.neighbours():
            if await self.read_seeds():
                return
            await trio.sleep(delay_s * self._rng.uniform(0.0, 1.0))
            delay_s = min(JOIN_RETRY_MAX_S, 2 * delay_s)

    async def read_seeds(self) -> bool:
        """Take the seeds of all data centres from the store; False when it fails."""
        try:
            objects = await self._store.list(SEED_PREFIX)
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

    async def hold(self, now: float) -> None:
        """Write this node's slot if it holds one and the store does not say so."""
        slot = self._slot()
        if slot is None:
            self._held = None
            return
        local = self._membership.local
        seed = Seed(local.name, local.incarnation, local.address, local.peer_port)
        written = self._held == (slot, seed)
        if written and now - self._checked_at < HOLD_REFRESH_S:
            return
        try:
            await self._write(slot, seed)
        except PlatformError:
            return
        self._held = (slot, seed)
        self._checked_at = now

    def _slot(self) -> int | None:
        local = self._membership.local
        alive = [
            member
            for member in self._membership.recorded()
            if member.data_centre == local.data_centre
            and member.state is MemberState.ALIVE
        ]
        first = rendezvous_order(alive, DUTY)[:SLOTS]
        names = [member.name for member in first]
        return names.index(local.name) if local.name in names else None

    async def _write(self, slot: int, seed: Seed) -> None:
        key = seed_key(self._membership.local.data_centre, slot)
        try:
            standing = await self._store.get(key)
        except NotFoundError:
            revision = CREATE_ONLY
        else:
            revision = standing.revision
            held = _decode(standing)
            if held == seed:
                return
            self._meet(held)
        try:
            await self._store.put(key, msgspec.json.encode(seed), revision)
        except ConflictError:
            self._meet(_decode(await self._store.get(key)))
            raise

    def _meet(self, seed: Seed | None) -> None:
        """Dial the holder of a slot if it is in no record, so that two meshes join."""
        if seed is None or self._membership.record_of(seed.name) is not None:
            return
        self._membership.add_stranger(seed.address, seed.peer_port)


def _decode(stored: StoredObject) -> Seed | None:
    try:
        return _SEED.decode(stored.value)
    except msgspec.DecodeError:
        return None
