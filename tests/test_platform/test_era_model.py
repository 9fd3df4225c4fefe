"""Exhaustive search of a small model of a store that comes back from an older copy.

The model has one document, two nodes and one call in flight. Between any two steps the
operator may write, a copy may be made and the store may be restored. The
decisions are those of the client of the store and of the catalog.
"""

from __future__ import annotations

import functools
import random
import unittest
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from marigoldchute.errors import (
    CompactedError,
    ConflictError,
    PlatformError,
    UnknownOutcomeError,
)
from marigoldchute.hosted.catalog import is_newer
from marigoldchute.objectstore.eras import era_of, make_position
from marigoldchute.objectstore.settings import StoreSettings
from marigoldchute.platform.objects import decode_page
from marigoldchute.platform.store import PlatformDocumentStore

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

FIRST_REVISION, FIRST_VERSION = 2, 1


class Stored(NamedTuple):
    """The store: its era, the revision of the document and what it contains.

    ``status`` is the version for which a node wrote a status, 0 for none.
    """

    era: int = 1
    revision: int = FIRST_REVISION
    version: int = FIRST_VERSION
    status: int = 0
    compacted: int = 0


class World(NamedTuple):
    """The store, its copy, the last version of the operator, and two nodes."""

    store: Stored
    copy: Stored
    issued: int
    nodes: tuple[Any, Any]


def replace_node(world: World, index: int, node: Any) -> World:
    other = world.nodes[1 - index]
    return world._replace(nodes=(other, node) if index else (node, other))


class Client:
    """The decisions of ``PlatformDocumentStore`` without a network."""

    def __init__(self) -> None:
        settings = StoreSettings("127.0.0.1", 1, 1.0, 1.0, 100)
        self.store = PlatformDocumentStore(settings, random.Random(1), "")

    def send(self, known: int, position: int) -> int | None:
        """Return the bare revision to send, None if nothing is sent."""
        self.store._eras.known = known or None
        return self.store._eras.find_revision(position)

    def receive(
        self, known: int, era: int, decode: Callable[[], Any]
    ) -> tuple[int, Any]:
        """Return the newest era and what a response decodes to, or its error."""
        self.store._eras.known = known or None
        self.store._record_response([(b"store-era", b"%d" % era)])
        try:
            return self.store.era, decode()
        except PlatformError as exc:
            return self.store.era, exc


CLIENT = Client()


def operator_steps(world: World, max_version: int, max_era: int) -> Iterator[World]:
    """Yield what the operator and the store itself may do."""
    store = world.store
    if world.issued < max_version:
        written = store._replace(revision=store.revision + 1, version=world.issued + 1)
        yield world._replace(store=written, issued=world.issued + 1)
    if store.version < world.issued:
        written = store._replace(revision=store.revision + 1, version=world.issued)
        yield world._replace(store=written)
    if world.copy[1:4] != store[1:4]:
        yield world._replace(copy=store)
    if store.era < max_era:
        yield world._replace(
            store=world.copy._replace(era=store.era + 1, compacted=world.copy.revision)
        )


def search(
    start: World,
    next_worlds: Callable[[World], Iterator[World]],
    check: Callable[[World, World], None],
) -> set[World]:
    """Return all worlds that can be reached; check each step."""
    found, waiting = {start}, [start]
    while waiting:
        world = waiting.pop()
        for following in next_worlds(world):
            check(world, following)
            first, second = sorted(following.nodes)
            canonical = following._replace(nodes=(first, second))
            if canonical not in found:
                found.add(canonical)
                waiting.append(canonical)
    return found


class Reader(NamedTuple):
    """A node that reads the document.

    Parameters
    ----------
    known : int
        Newest era that it knows; 0 before the first response.
    position : int
        Position of its next watch; 0 for a list.
    revision, version : int
        Bundle in force; 0 before the first one.
    call : tuple
        Call in flight: the era known when it was sent and the bare revision, and once
        the store has served it also the era, the status and the document.
    """

    known: int = 0
    position: int = 0
    revision: int = 0
    version: int = 0
    call: tuple[int, ...] = ()


def apply_bundle(node: Reader, revision: int, version: int) -> Reader:
    """Return the node with a bundle in force if it is newer."""
    if node.version and not is_newer(revision, version, node.revision, node.version):
        return node
    return node._replace(revision=revision, version=version)


def send_read(node: Reader) -> Reader:
    revision = 0
    if node.position:
        sent = CLIENT.send(node.known, node.position)
        if sent is None:
            return node._replace(position=0)
        revision = sent
    return node._replace(call=(node.known, revision))


def serve_read(node: Reader, store: Stored) -> Reader:
    _, revision = node.call
    status = 200
    if revision and not store.compacted <= revision <= store.revision:
        status = 410
    served = (store.era, status, store.revision, store.version)
    return node._replace(call=node.call + served)


def receive_read(node: Reader) -> Reader:
    sent_era, sent_revision, era, status, revision, version = node.call
    node = node._replace(call=())

    def decode() -> Any:
        store = CLIENT.store
        if status == 410:
            raise CompactedError("gone")
        item = {"metadata": {"name": "a", "revision": revision}, "spec": version}
        if sent_revision:
            events = [{"object": item}] if revision > sent_revision else []
            body = msgspec.json.encode({"events": events, "at": revision})
            return store._decode_watch(body, "GET", era=sent_era)
        body = msgspec.json.encode({"items": [item], "at": revision})
        return store._decode_read(body, "GET", decode=decode_page)

    known, result = CLIENT.receive(node.known, era, decode)
    node = node._replace(known=known)
    if isinstance(result, PlatformError):
        return node._replace(position=0)
    page_era, page = result
    items = [event.object for event in page.events] if sent_revision else page.items
    for item in items:
        position = make_position(page_era, item.metadata.revision)
        node = apply_bundle(node, position, item.spec)
    at = make_position(page_era, page.at)
    return node._replace(position=max(node.position, at))


def learn_steps(world: World) -> Iterator[World]:
    """Yield what a response to another call of a node tells it."""
    for index in (0, 1):
        node = world.nodes[index]
        if node.known != world.store.era:
            known, _ = CLIENT.receive(node.known, world.store.era, lambda: None)
            yield replace_node(world, index, node._replace(known=known))


def reader_steps(world: World) -> Iterator[World]:
    for index in (0, 1):
        node: Reader = world.nodes[index]
        other: Reader = world.nodes[1 - index]
        results = []
        if not node.call:
            if not other.call:
                results.append(send_read(node))
        elif len(node.call) == 2:
            results.append(serve_read(node, world.store))
        else:
            results.append(receive_read(node))
        if other.version:
            results.append(apply_bundle(node, other.revision, other.version))
        for result in results:
            if result != node:
                yield replace_node(world, index, result)


@functools.cache
def settle(node: Reader, store: Stored) -> Reader:
    """Return the node after it has read a store that does not change."""
    for _ in range(12):
        if not node.call:
            node = send_read(node)
        elif len(node.call) == 2:
            node = serve_read(node, store)
        else:
            node = receive_read(node)
    return node


def write_again(world: World) -> Stored:
    """Return the store after the operator has written again what was lost."""
    store = world.store
    if store.version < world.issued:
        store = store._replace(revision=store.revision + 1, version=world.issued)
    return store


class BundleModelTest(unittest.TestCase):
    def check_step(self, before: World, after: World) -> None:
        for node, following in zip(before.nodes, after.nodes, strict=True):
            self.assertGreaterEqual(following.version, node.version, (before, after))
            self.assertGreaterEqual(following.known, node.known, (before, after))
            # A position, once reached, is left only to list again.
            if following.position:
                self.assertGreaterEqual(following.position, node.position)

    def test_no_bundle_goes_back_and_all_nodes_get_the_last_one(self) -> None:
        store = Stored()
        start = World(store, store, FIRST_VERSION, (Reader(), Reader()))

        def next_worlds(world: World) -> Iterator[World]:
            yield from operator_steps(world, FIRST_VERSION + 1, 3)
            yield from reader_steps(world)
            yield from learn_steps(world)

        found = search(start, next_worlds, self.check_step)
        self.assertGreater(len(found), 5_000)
        for world in found:
            store = write_again(world)
            for node in world.nodes:
                settled = settle(node, store)
                self.assertEqual(settled.version, world.issued, world)
                self.assertEqual(era_of(settled.revision), store.era, world)


class Writer(NamedTuple):
    """A node that reads the document and writes a status for the version it read.

    Parameters
    ----------
    known : int
        Newest era that it knows.
    revision, version : int
        Position and version of the document that it read; 0 before.
    confirmed : int
        Version for which a write was confirmed, 0 before.
    call : tuple
        Write in flight: the era known when it was sent, the bare revision and the
        version, and once the store has served it also the era, the status, the
        revision and the version of the written document.
    """

    known: int = 0
    revision: int = 0
    version: int = 0
    confirmed: int = 0
    call: tuple[int, ...] = ()


def read_document(node: Writer, store: Stored) -> Writer:
    known, _ = CLIENT.receive(node.known, store.era, lambda: None)
    position = make_position(store.era, store.revision)
    return node._replace(known=known, revision=position, version=store.version)


def receive_write(node: Writer) -> Writer:
    sent_era, _, _, era, status, revision, version = node.call
    node = node._replace(call=())

    def decode() -> Any:
        if status == 409:
            raise ConflictError("changed")
        ignore = functools.partial(lambda body, method: None)
        return CLIENT.store._decode_write(b"", "PUT", decode=ignore, era=sent_era)

    known, result = CLIENT.receive(node.known, era, decode)
    node = node._replace(known=known)
    if isinstance(result, ConflictError | UnknownOutcomeError):
        return node._replace(revision=0, version=0)
    position = make_position(era, revision)
    return node._replace(revision=position, version=version, confirmed=version)


def writer_steps(world: World) -> Iterator[World]:
    store = world.store
    for index in (0, 1):
        node: Writer = world.nodes[index]
        if not node.call:
            yield replace_node(world, index, read_document(node, store))
            is_due = node.version and node.confirmed != node.version
            if is_due and not world.nodes[1 - index].call:
                bare = CLIENT.send(node.known, node.revision)
                sent = node._replace(revision=0, version=0)
                if bare is not None:
                    sent = node._replace(call=(node.known, bare, node.version))
                yield replace_node(world, index, sent)
        elif len(node.call) == 3:
            _, bare, version = node.call
            status, after = 409, store
            if bare == store.revision:
                status = 200
                after = store._replace(revision=store.revision + 1, status=version)
            served = (after.era, status, after.revision, after.version)
            sent = node._replace(call=node.call + served)
            yield replace_node(world._replace(store=after), index, sent)
        else:
            yield replace_node(world, index, receive_write(node))


class WriteModelTest(unittest.TestCase):
    def check_step(self, before: World, after: World) -> None:
        for node, following in zip(before.nodes, after.nodes, strict=True):
            self.assertGreaterEqual(following.known, node.known)
            if following.confirmed != node.confirmed:
                # The condition may match a revision that was assigned again.
                self.assertEqual(following.confirmed, node.call[2], (before, after))

    def test_no_write_is_confirmed_for_another_document(self) -> None:
        store = Stored()
        start = World(store, store, FIRST_VERSION, (Writer(), Writer()))

        def next_worlds(world: World) -> Iterator[World]:
            yield from operator_steps(world, FIRST_VERSION + 1, 2)
            yield from writer_steps(world)
            yield from learn_steps(world)

        found = search(start, next_worlds, self.check_step)
        self.assertGreater(len(found), 10_000)
        accidents = [
            world for world in found if world.store.status > world.store.version
        ]
        self.assertTrue(accidents, "the model must contain a reassigned revision")


if __name__ == "__main__":
    unittest.main()
