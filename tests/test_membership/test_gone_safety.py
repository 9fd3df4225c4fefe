"""No serving member is declared gone, whatever network partitions occur."""

from __future__ import annotations

import dataclasses
import itertools
import random
import unittest
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.errors import NotFoundError, PlatformError
from marigoldchute.link.handlers import Handlers
from marigoldchute.membership.contact import ContactTimeouts, ContactTracker
from marigoldchute.membership.exchange import ContactExchange
from marigoldchute.membership.model import Member, MemberState
from marigoldchute.membership.silence import SilenceDetector
from marigoldchute.objectstore.api import StoredObject

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUTS = ContactTimeouts(20.0)
SETTLE_S = 45
PARTITION_S = 66
SHORT_PARTITION_S = 15
RECOVERY_S = 12
STEP_S = 3


class _VirtualClock:
    """Virtual time of one scenario."""

    def __init__(self) -> None:
        self.now = 0.0


class _Store:
    """Store of gone markers that only some nodes can reach."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.reachable_from: frozenset[str] = frozenset()

    def client_of(self, name: str) -> _StoreClient:
        return _StoreClient(self, name)


class _StoreClient:
    """Access of one node to the store."""

    def __init__(self, store: _Store, name: str) -> None:
        self._store = store
        self._name = name

    async def get(self, key: str) -> StoredObject:
        self._check_reachable()
        if key not in self._store.objects:
            raise NotFoundError(key)
        return self._store.objects[key]

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        self._check_reachable()
        self._store.objects[key] = StoredObject(key, value, expected_revision + 1)
        return expected_revision + 1

    def _check_reachable(self) -> None:
        if self._name not in self._store.reachable_from:
            raise PlatformError("the store is unreachable")


class _Node:
    """The part of ``Membership`` that the silence detector and contact exchange use."""

    def __init__(self, local: Member, store: _Store, clock: _VirtualClock) -> None:
        self.local = local
        self.contact_timeouts = TIMEOUTS
        self.contact = ContactTracker(local.name, local.data_centre, 0.0, TIMEOUTS)
        self.members = {local.name: local}
        self.claims: set[tuple[str, int]] = set()
        self._clock = clock
        client: Any = store.client_of(local.name)
        membership: Any = self
        unused: Any = None
        self.silence_detector = SilenceDetector(membership, client, lambda: clock.now)
        self.exchange = ContactExchange(
            membership, unused, client, Handlers(), unused, random.Random(1)
        )

    def recorded_members(self) -> list[Member]:
        return [
            member
            for member in self.members.values()
            if (member.name, member.incarnation) not in self.claims
        ]

    def data_centre_member_names(self) -> set[str]:
        data_centre = self.local.data_centre
        return {m.name for m in self.recorded_members() if m.data_centre == data_centre}

    def publish_claim(
        self, member: Member, state: MemberState, reason: str, now_ms: int
    ) -> None:
        self.claims.add((member.name, member.incarnation))

    def begin_incarnation(self, at_least: int) -> None:
        self.local = dataclasses.replace(self.local, incarnation=at_least)
        self.members[self.local.name] = self.local
        self.contact.reset(self._clock.now)

    def apply_state_of(self, other: _Node) -> None:
        """Apply the claims, the record and the contact report of a reachable node."""
        self.claims |= other.claims
        if (self.local.name, self.local.incarnation) in self.claims:
            self.begin_incarnation(self.local.incarnation + 1)
        self.members[other.local.name] = other.local
        report = other.contact.build_report(
            other.data_centre_member_names(), self._clock.now
        )
        if other.local.data_centre == self.local.data_centre:
            self.contact.record_contact(other.local.name, self._clock.now)
        self.contact.apply_report(
            report, self.data_centre_member_names(), self._clock.now
        )

    def mark_unreachable(self, name: str) -> None:
        member = self.members[name]
        if member.state is not MemberState.UNREACHABLE:
            self.members[name] = dataclasses.replace(
                member, state=MemberState.UNREACHABLE
            )


def _partitions(names: list[str]) -> Iterator[list[set[str]]]:
    """Yield every partition of names into groups."""
    if not names:
        yield []
        return
    first, rest = names[0], names[1:]
    for groups in _partitions(rest):
        for index in range(len(groups)):
            yield [*groups[:index], groups[index] | {first}, *groups[index + 1 :]]
        yield [*groups, {first}]


def _unions(groups: list[set[str]]) -> Iterator[frozenset[str]]:
    """Yield every union of groups, the empty one included."""
    for size in range(len(groups) + 1):
        for chosen in itertools.combinations(groups, size):
            yield frozenset().union(*chosen)


class _Scenario:
    """A sequence of network partitions between a few nodes in virtual time."""

    def __init__(self, data_centres: dict[str, str]) -> None:
        self.clock = _VirtualClock()
        self.store = _Store()
        members = [
            Member(name, 1, 1, "127.0.0.1", 1, data_centre, "region")
            for name, data_centre in data_centres.items()
        ]
        self.nodes = {m.name: _Node(m, self.store, self.clock) for m in members}
        for node in self.nodes.values():
            node.members = {member.name: member for member in members}

    async def run(
        self,
        groups: list[set[str]],
        store_reachable_from: frozenset[str],
        duration_s: int,
    ) -> None:
        """Advance the time while only the members of a group reach one another."""
        self.store.reachable_from = store_reachable_from
        for _ in range(0, duration_s, STEP_S):
            self.clock.now += STEP_S
            for group in groups:
                self._exchange_state(group)
            for node in self.nodes.values():
                node.contact.update(node.data_centre_member_names(), self.clock.now)
                await node.exchange.check_store(self.clock.now)
                await node.silence_detector.check(self.clock.now)
            self._check_no_serving_member_is_gone()

    def _exchange_state(self, group: set[str]) -> None:
        for a, b in itertools.permutations(sorted(group), 2):
            self.nodes[a].apply_state_of(self.nodes[b])
        for name in group:
            for other in self.nodes.keys() - group:
                self.nodes[name].mark_unreachable(other)

    def _check_no_serving_member_is_gone(self) -> None:
        claims = set().union(*(node.claims for node in self.nodes.values()))
        for node in self.nodes.values():
            is_claimed = (node.local.name, node.local.incarnation) in claims
            if is_claimed and not node.contact.is_fenced(self.clock.now):
                raise AssertionError(f"{node.local.name} serves but is declared gone")


class GoneSafetyTest(unittest.TestCase):
    def _run_scenarios(self, data_centres: dict[str, str], two_partitions: bool) -> int:
        """Run every scenario and return how many of them declared a member gone."""
        names = list(data_centres)
        connected = [set(names)]
        declared_count = 0

        async def run_all() -> None:
            nonlocal declared_count
            partitions = list(_partitions(names))
            for first in partitions:
                store_groups = list(_unions(first))
                if not two_partitions:
                    seconds = [(connected, frozenset(names))]
                else:
                    store_groups = [frozenset(), frozenset(names)]
                    seconds = list(itertools.product(partitions, store_groups))
                for first_store_group, (
                    second,
                    second_store_group,
                ) in itertools.product(store_groups, seconds):
                    scenario = _Scenario(data_centres)
                    await scenario.run(connected, frozenset(names), SETTLE_S)
                    await scenario.run(
                        first,
                        first_store_group,
                        SHORT_PARTITION_S if two_partitions else PARTITION_S,
                    )
                    if two_partitions:
                        await scenario.run(second, second_store_group, PARTITION_S)
                    declared_count += any(n.claims for n in scenario.nodes.values())
                    await scenario.run(connected, frozenset(names), RECOVERY_S)

        trio.run(run_all)
        return declared_count

    def test_no_serving_member_is_gone_in_one_partitioned_data_centre(self) -> None:
        data_centres = dict.fromkeys("abcd", "x")
        self.assertGreater(self._run_scenarios(data_centres, False), 0)

    def test_no_serving_member_is_gone_in_two_partitioned_data_centres(self) -> None:
        data_centres = {"a": "x", "b": "x", "c": "x", "d": "y", "e": "y"}
        self.assertGreater(self._run_scenarios(data_centres, False), 0)

    def test_no_serving_member_is_gone_in_two_consecutive_partitions(self) -> None:
        data_centres = {"a": "x", "b": "x", "c": "x", "d": "y"}
        self.assertGreater(self._run_scenarios(data_centres, True), 0)
