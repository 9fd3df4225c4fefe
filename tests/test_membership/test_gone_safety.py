"""A member that serves is never declared gone, whatever is cut from what."""

from __future__ import annotations

import dataclasses
import itertools
import random
import unittest
from typing import TYPE_CHECKING, Any

import trio

from marigoldchute.errors import NotFoundError, PlatformError
from marigoldchute.link.handlers import Handlers
from marigoldchute.membership.contact import Contact, ContactTimes
from marigoldchute.membership.exchange import ContactExchange
from marigoldchute.membership.model import Member, MemberState
from marigoldchute.membership.silence import SilenceJudge
from marigoldchute.objectstore.api import StoredObject

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMES = ContactTimes(20.0)
SETTLED_S = 45
CUT_S = 66
SHORT_CUT_S = 15
HEAL_S = 12
STEP_S = 3


class _Time:
    """Virtual time of one walk."""

    def __init__(self) -> None:
        self.now = 0.0


class _Store:
    """Marks, reachable from one group of nodes."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.reachable: frozenset[str] = frozenset()

    def seen_by(self, name: str) -> _StoreSeen:
        return _StoreSeen(self, name)


class _StoreSeen:
    """The store as one node sees it."""

    def __init__(self, store: _Store, name: str) -> None:
        self._store = store
        self._name = name

    async def get(self, key: str) -> StoredObject:
        self._check()
        if key not in self._store.objects:
            raise NotFoundError(key)
        return self._store.objects[key]

    async def put(self, key: str, value: bytes, expected_revision: int) -> int:
        self._check()
        self._store.objects[key] = StoredObject(key, value, expected_revision + 1)
        return expected_revision + 1

    def _check(self) -> None:
        if self._name not in self._store.reachable:
            raise PlatformError("cut off")


class _Node:
    """What ``SilenceJudge`` and ``ContactExchange`` need of a membership."""

    def __init__(self, local: Member, store: _Store, time: _Time) -> None:
        self.local = local
        self.times = TIMES
        self.contact = Contact(local.name, local.data_centre, 0.0, TIMES)
        self.members = {local.name: local}
        self.claims: set[tuple[str, int]] = set()
        self._time = time
        seen: Any = store.seen_by(local.name)
        membership: Any = self
        nothing: Any = None
        self.judge = SilenceJudge(membership, seen, lambda: time.now)
        self.exchange = ContactExchange(
            membership, nothing, seen, Handlers(), nothing, random.Random(1)
        )

    def recorded(self) -> list[Member]:
        return [
            member
            for member in self.members.values()
            if (member.name, member.incarnation) not in self.claims
        ]

    def roster(self) -> set[str]:
        centre = self.local.data_centre
        return {m.name for m in self.recorded() if m.data_centre == centre}

    def claim(self, member: Member, state: MemberState, why: str, now_ms: int) -> None:
        self.claims.add((member.name, member.incarnation))

    def begin_incarnation(self, at_least: int) -> None:
        self.local = dataclasses.replace(self.local, incarnation=at_least)
        self.members[self.local.name] = self.local
        self.contact.forget(self._time.now)

    def learn(self, other: _Node) -> None:
        """Take what a node of the same group tells."""
        self.claims |= other.claims
        if (self.local.name, self.local.incarnation) in self.claims:
            self.begin_incarnation(self.local.incarnation + 1)
        self.members[other.local.name] = other.local
        view = other.contact.tell(other.roster(), self._time.now)
        if other.local.data_centre == self.local.data_centre:
            self.contact.hear(other.local.name, self._time.now)
        self.contact.take(view, self.roster(), self._time.now)

    def lose(self, name: str) -> None:
        member = self.members[name]
        if member.state is not MemberState.UNREACHABLE:
            self.members[name] = dataclasses.replace(
                member, state=MemberState.UNREACHABLE
            )


def _groupings(names: list[str]) -> Iterator[list[set[str]]]:
    """Yield every way to split names into groups."""
    if not names:
        yield []
        return
    first, rest = names[0], names[1:]
    for groups in _groupings(rest):
        for index in range(len(groups)):
            yield [*groups[:index], groups[index] | {first}, *groups[index + 1 :]]
        yield [*groups, {first}]


def _unions(groups: list[set[str]]) -> Iterator[frozenset[str]]:
    """Yield every union of groups, the empty one included."""
    for size in range(len(groups) + 1):
        for chosen in itertools.combinations(groups, size):
            yield frozenset().union(*chosen)


class _Walk:
    """One course of cuts over a few nodes in virtual time."""

    def __init__(self, centres: dict[str, str]) -> None:
        self.time = _Time()
        self.store = _Store()
        members = [
            Member(name, 1, 1, "127.0.0.1", 1, centre, "region")
            for name, centre in centres.items()
        ]
        self.nodes = {m.name: _Node(m, self.store, self.time) for m in members}
        for node in self.nodes.values():
            node.members = {member.name: member for member in members}

    async def run(
        self, groups: list[set[str]], store_reachable: frozenset[str], steps: int
    ) -> None:
        """Let time pass while only members of a group hear one another."""
        self.store.reachable = store_reachable
        for _ in range(0, steps, STEP_S):
            self.time.now += STEP_S
            for group in groups:
                self._talk(group)
            for node in self.nodes.values():
                node.contact.advance(node.roster(), self.time.now)
                await node.exchange.check_store(self.time.now)
                await node.judge.step(self.time.now)
            self._check()

    def _talk(self, group: set[str]) -> None:
        for a, b in itertools.permutations(sorted(group), 2):
            self.nodes[a].learn(self.nodes[b])
        for name in group:
            for other in self.nodes.keys() - group:
                self.nodes[name].lose(other)

    def _check(self) -> None:
        claims = set().union(*(node.claims for node in self.nodes.values()))
        for node in self.nodes.values():
            held = (node.local.name, node.local.incarnation) in claims
            if held and not node.contact.is_fenced(self.time.now):
                raise AssertionError(f"{node.local.name} serves but is declared gone")


class GoneSafetyTest(unittest.TestCase):
    def _walk_all(self, centres: dict[str, str], rejoin: bool) -> int:
        names = list(centres)
        whole = [set(names)]
        declared = 0

        async def body() -> None:
            nonlocal declared
            splits = list(_groupings(names))
            for first in splits:
                places = list(_unions(first))
                if not rejoin:
                    seconds = [(whole, frozenset(names))]
                else:
                    places = [frozenset(), frozenset(names)]
                    seconds = list(itertools.product(splits, places))
                for place, (second, later) in itertools.product(places, seconds):
                    walk = _Walk(centres)
                    await walk.run(whole, frozenset(names), SETTLED_S)
                    await walk.run(first, place, SHORT_CUT_S if rejoin else CUT_S)
                    if rejoin:
                        await walk.run(second, later, CUT_S)
                    declared += any(n.claims for n in walk.nodes.values())
                    await walk.run(whole, frozenset(names), HEAL_S)

        trio.run(body)
        return declared

    def test_every_cut_of_one_data_centre(self) -> None:
        centres = dict.fromkeys("abcd", "x")
        self.assertGreater(self._walk_all(centres, False), 0)

    def test_every_cut_of_two_data_centres(self) -> None:
        centres = {"a": "x", "b": "x", "c": "x", "d": "y", "e": "y"}
        self.assertGreater(self._walk_all(centres, False), 0)

    def test_every_two_cuts_in_a_row(self) -> None:
        centres = {"a": "x", "b": "x", "c": "x", "d": "y"}
        self.assertGreater(self._walk_all(centres, True), 0)
