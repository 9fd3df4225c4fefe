"""Refusals that a backend server writes once more on a connection that is kept."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import unittest
from typing import TYPE_CHECKING

import trio

from marigoldchute.errors import MarigoldchuteError, NotRunError, RequestError
from marigoldchute.hosted.node import POLICY
from marigoldchute.platform.settings import DIALECT
from marigoldchute.routing.backend_response import BackendResponse
from marigoldchute.routing.dialect import DEFAULT_DIALECT, Dialect
from marigoldchute.routing.owner import Owner
from tests.support.servers import read_request, serve_script
from tests.test_routing.test_owner import CollectingExchange, FakeServers, make_head

if TYPE_CHECKING:
    from collections.abc import Iterator

REQUEST_COUNT = 120
DEADLINE_S = 0.1
STATUSES = (b"503 Full", b"429 Later", b"421 Misdirected", b"400 Bad")
PLACES = ("before", "together", "cut", "after", "behind", "idle")


def encode_refusal(
    dialect: Dialect,
    request_id: bytes | None,
    status: bytes = b"503 Full",
    framing: str = "length",
) -> bytes:
    """Return a refusal; without an id if ``request_id`` is None."""
    echo = b"" if request_id is None else _line(dialect.request_id, request_id)
    tail = {
        "none": b"Content-Length: 0\r\n\r\n",
        "length": b"Content-Length: 4\r\n\r\nbusy",
        "chunked": b"Transfer-Encoding: chunked\r\n\r\n4\r\nbusy\r\n0\r\n\r\n",
    }[framing]
    not_run = _line(dialect.not_run, b"1")
    return b"HTTP/1.1 %s\r\n%s%s%s" % (status, not_run, echo, tail)


def encode_answer(dialect: Dialect, request_id: bytes) -> bytes:
    """Return the answer to a request that ran; its body is the id."""
    echo = _line(dialect.request_id, request_id) if dialect.echoes_request_id else b""
    length = len(request_id)
    return b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s" % (
        echo,
        length,
        request_id,
    )


def _line(name: bytes, value: bytes) -> bytes:
    return b"%s: %s\r\n" % (name, value)


def all_refusals(request_id: bytes | None) -> Iterator[bytes]:
    for status in STATUSES:
        for framing in ("none", "length", "chunked"):
            yield encode_refusal(DIALECT, request_id, status, framing)


class RefusalParserTest(unittest.TestCase):
    """Responses that are fed in two pieces, cut at each byte."""

    def feed(
        self, data: bytes, is_first: bool, request_id: bytes = b"own"
    ) -> Iterator[BackendResponse]:
        """Feed the data with each cut; yield the response after all of it."""
        for cut in range(1, len(data)):
            response = BackendResponse(False, DIALECT, request_id, is_first)
            response.feed(data[:cut])
            if not response.complete:
                response.feed(data[cut:])
            yield response

    # Guards against "not run" for a request that runs, and a 400 that is not its
    # answer, when a refusal that another request got arrives in its place.
    def test_refusal_that_is_not_proven_is_skipped(self) -> None:
        own = encode_answer(DIALECT, b"own")
        refusals = [
            (refusal, is_first)
            for refusal in all_refusals(b"old")
            for is_first in (True, False)
        ]
        refusals += [(refusal, False) for refusal in all_refusals(None)]
        refusals += [(b"HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", False)]
        for refusal, is_first in refusals:
            for copies in (
                refusal,
                b"HTTP/1.1 103 Early\r\n\r\n" + refusal,
                refusal * 2,
            ):
                for response in self.feed(copies + own, is_first):
                    self.assertFalse(response.refused)
                    self.assertEqual(
                        (response.status, response.pop_body()), (200, b"own")
                    )
            for response in self.feed(refusal, is_first):
                self.assertFalse(response.has_head)
                self.assertFalse(response.on_connection_closed())

    # Guards against "not run" for a request that runs, when a refusal has its id beside
    # that of another request.
    def test_refusal_with_two_ids_is_skipped(self) -> None:
        own = encode_answer(DIALECT, b"own")
        for ids in ((b"old", b"own"), (b"own", b"old"), (b"own", b"", b"own")):
            echo = b"".join(_line(b"Attempt-Id", value) for value in ids)
            refusal = encode_refusal(DIALECT, None).replace(b"\r\n", b"\r\n" + echo, 1)
            for is_first in (True, False):
                for response in self.feed(refusal + own, is_first):
                    self.assertFalse(response.refused)
                    self.assertEqual(response.pop_body(), b"own")

    def test_proven_refusal_is_accepted(self) -> None:
        refusals = [
            (refusal, is_first)
            for refusal in all_refusals(b"own")
            for is_first in (True, False)
        ]
        refusals += [(refusal, True) for refusal in all_refusals(None)]
        for refusal, is_first in refusals:
            for response in self.feed(refusal, is_first):
                self.assertTrue(response.refused)
                self.assertTrue(response.complete)

    def test_header_of_interim_response_refuses_nothing(self) -> None:
        interim = b"HTTP/1.1 103 Early\r\nNot-Executed: 1\r\nAttempt-Id: own\r\n\r\n"
        failure = b"HTTP/1.1 503 No\r\nAttempt-Id: own\r\nContent-Length: 0\r\n\r\n"
        for response in self.feed(interim + failure, False):
            self.assertFalse(response.refused)
            self.assertEqual(response.status, 503)

    # Guards against "not run", and against another body, when the response that is
    # written once more was to a HEAD request, so that its body is taken from the next.
    def test_second_copy_without_its_body_refuses_nothing(self) -> None:
        own = encode_answer(DIALECT, b"own")
        head = encode_refusal(DIALECT, b"old", framing="none")
        for length in range(len(own) + 2):
            copy = head.replace(b"Length: 0", b"Length: %d" % length)
            response = BackendResponse(False, DIALECT, b"own", False)
            with contextlib.suppress(RequestError):
                response.feed(copy + own)
            self.assertFalse(response.refused)
            self.assertEqual(response.complete, length == 0)

    def test_trailer_refuses_nothing(self) -> None:
        trailer = b"Not-Executed: 1\r\nAttempt-Id: own\r\n\r\n"
        late = encode_refusal(DIALECT, b"old", framing="chunked")[:-2] + trailer
        failure = (
            b"HTTP/1.1 503 No\r\nAttempt-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"0\r\n"
        ) + trailer
        for response in self.feed(late + failure, False):
            self.assertFalse(response.refused)
            self.assertEqual(response.status, 503)


@dataclasses.dataclass
class Counts:
    """Outcomes of the requests of a run, and how often a refusal was repeated."""

    answered: int = 0
    refused: int = 0
    refused_by_server: int = 0
    repeated: int = 0
    repeated_in_use: int = 0


class RefusingServer:
    """Runs or refuses each request, and repeats refusals on their connections.

    Parameters
    ----------
    dialect : Dialect
        Header names.
    rng : random.Random
        Source of choices.
    has_id, repeats_id : bool
        Whether refusals, and their second copies, have the id of the request.
    place : str
        Where a copy is written: before, together with, after or right behind the next
        answer, in two pieces, or while no request runs.
    """

    def __init__(
        self,
        dialect: Dialect,
        rng: random.Random,
        has_id: bool,
        repeats_id: bool,
        place: str,
    ) -> None:
        self.runs: set[bytes] = set()
        self.counts = Counts()
        self._dialect = dialect
        self._rng = rng
        self._has_id = has_id
        self._repeats_id = repeats_id
        self._place = place

    async def serve(self, stream: trio.SocketStream) -> None:
        copies: list[bytes] = []
        while request := await read_request(stream):
            request_id = request.split()[1][1:]
            status = self._rng.choice(STATUSES[:3])
            framing = self._rng.choice(("none", "length", "chunked"))
            if self._rng.random() < 0.3:
                self.counts.refused_by_server += 1
                own_id, copy_id = (
                    request_id if has_id else None
                    for has_id in (self._has_id, self._repeats_id)
                )
                refusal = encode_refusal(self._dialect, own_id, status, framing)
                await stream.send_all(refusal)
                copies.append(encode_refusal(self._dialect, copy_id, status, framing))
                if self._place == "idle":
                    self.counts.repeated += 1
                    await trio.sleep(0.001)
                    await stream.send_all(copies[-1])
                continue
            self.runs.add(request_id)
            answer = encode_answer(self._dialect, request_id)
            copy = b""
            if copies and self._place != "idle" and self._rng.random() < 0.7:
                copy = copies[-1]
                self.counts.repeated += 1
                self.counts.repeated_in_use += 1
            for piece in self._pieces(copy, answer) if copy else (answer,):
                await stream.send_all(piece)
                await trio.sleep(0.001)

    def _pieces(self, copy: bytes, answer: bytes) -> tuple[bytes, ...]:
        cut = self._rng.randrange(1, len(copy))
        return {
            "before": (copy, answer),
            "together": (copy + answer,),
            "cut": (copy[:cut], copy[cut:] + answer),
            "after": (answer, copy),
            "behind": (answer + copy,),
        }[self._place]


class RepeatedRefusalTest(unittest.TestCase):
    """Sends requests one after another to a server that repeats refusals."""

    def run_requests(
        self, dialect: Dialect, has_id: bool, repeats_id: bool, place: str, seed: int
    ) -> Counts:
        """Send requests that may run at most once; fail if a refused one ran."""
        rng = random.Random(seed)
        server = RefusingServer(dialect, rng, has_id, repeats_id, place)
        counts = server.counts
        refused = set()

        async def send(owner: Owner, request_id: str) -> None:
            exchange = CollectingExchange()
            head = make_head(b"/" + request_id.encode(), request_id=request_id)
            try:
                with trio.move_on_after(DEADLINE_S):
                    await owner.execute(head, exchange)
            except NotRunError:
                refused.add(request_id.encode())
                return
            except MarigoldchuteError:
                return
            if exchange.head is None:
                return
            counts.answered += 1
            self.assertEqual(exchange.head.status, 200)
            self.assertEqual(exchange.body, request_id.encode())

        async def main() -> None:
            async with (
                serve_script(server.serve) as address,
                trio.open_nursery() as nursery,
            ):
                owner = Owner(FakeServers(address, 1), address, dialect, POLICY)
                await nursery.start(owner.run)
                for index in range(REQUEST_COUNT):
                    await send(owner, f"r{index}")
                    if rng.random() < 0.3:
                        await trio.sleep(0.002)
                nursery.cancel_scope.cancel()

        trio.run(main)
        counts.refused = len(refused)
        self.assertEqual(sorted(refused & server.runs), [])
        return counts

    def check_all_told_truly(self, counts: Counts) -> None:
        """Check that refusals were reported as such and the other requests answered."""
        self.assertGreater(counts.refused_by_server, 20)
        self.assertEqual(counts.refused, counts.refused_by_server)
        self.assertEqual(counts.answered, REQUEST_COUNT - counts.refused)

    # Guards against "not run" for a request that runs, when an earlier refusal is
    # written once more with its id.
    def test_repeated_refusal_with_id_does_not_refuse_a_later_request(self) -> None:
        for place in PLACES:
            with self.subTest(place):
                counts = self.run_requests(DIALECT, True, True, place, 1)
                self.check_all_told_truly(counts)
                self.assertGreater(counts.repeated, 10)

    # Guards against "not run" for a request that runs, when an earlier refusal is
    # written once more without an id.
    def test_repeated_refusal_without_id_does_not_refuse_a_later_request(self) -> None:
        for place in PLACES:
            with self.subTest(place):
                counts = self.run_requests(DIALECT, True, False, place, 2)
                self.check_all_told_truly(counts)
                self.assertGreater(counts.repeated, 10)

    # Guards against "not run" for a request that runs, when a refusal without an id is
    # written once more.
    def test_connection_with_a_refusal_without_id_is_not_kept(self) -> None:
        for place in PLACES:
            with self.subTest(place):
                counts = self.run_requests(DEFAULT_DIALECT, False, False, place, 3)
                self.check_all_told_truly(counts)
                self.assertEqual(counts.repeated_in_use, 0)
        counts = self.run_requests(DIALECT, False, False, "before", 4)
        self.assertEqual(counts.repeated_in_use, 0)


class SameConnectionTest(unittest.TestCase):
    """Requests whose answers the id does not tell from those of an earlier one."""

    def send_two(self, first_id: str, second_id: str, first: bytes) -> list[str]:
        """Send two requests; return the outcomes.

        The backend server answers the first as given and runs the second. On the
        connection of the first it writes that answer once more.
        """
        outcomes = []

        async def serve(stream: trio.SocketStream) -> None:
            copy = b""
            while request := await read_request(stream):
                if request.split()[1] == b"/first":
                    copy = first
                    await stream.send_all(first)
                    continue
                await stream.send_all(copy)
                await trio.sleep(0.01)
                echo = _line(DIALECT.request_id, second_id.encode())
                await stream.send_all(
                    b"HTTP/1.1 200 OK\r\n%sContent-Length: 6\r\n\r\nsecond"
                    % (echo if second_id else b"")
                )

        async def send(owner: Owner, target: bytes, request_id: str) -> None:
            exchange = CollectingExchange()
            try:
                await owner.execute(make_head(target, request_id=request_id), exchange)
            except NotRunError:
                outcomes.append("not run")
            else:
                outcomes.append(exchange.body.decode())

        async def main() -> None:
            async with serve_script(serve) as address, trio.open_nursery() as nursery:
                owner = Owner(FakeServers(address, 1), address, DIALECT, POLICY)
                await nursery.start(owner.run)
                await send(owner, b"/first", first_id)
                await send(owner, b"/second", second_id)
                nursery.cancel_scope.cancel()

        trio.run(main)
        return outcomes

    # Guards against "not run" for a request that runs, when its id was refused before
    # on the same connection and the refusal is written once more.
    def test_connection_that_refused_an_id_is_not_used_for_it_again(self) -> None:
        refusal = encode_refusal(DIALECT, b"own")
        self.assertEqual(self.send_two("own", "own", refusal), ["not run", "second"])

    # Guards against "not run" for a request without an id that runs, and against the
    # answer to another one, when an earlier answer is written once more.
    def test_request_without_id_gets_a_new_connection(self) -> None:
        refusal = encode_refusal(DIALECT, b"old")
        self.assertEqual(self.send_two("old", "", refusal), ["not run", "second"])
        answer = encode_answer(DIALECT, b"old")
        self.assertEqual(self.send_two("old", "", answer), ["old", "second"])


class FirstUseTest(unittest.TestCase):
    def send_one(self, dialect: Dialect, data: bytes) -> str:
        """Return the outcome of a request on a new connection that gets the data."""
        outcome = "not run"

        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(data)
            await stream.receive_some(1)

        async def main() -> None:
            nonlocal outcome
            async with serve_script(serve) as address, trio.open_nursery() as nursery:
                owner = Owner(FakeServers(address, 1), address, dialect, POLICY)
                await nursery.start(owner.run)
                try:
                    head = make_head(request_id="own")
                    await owner.execute(head, CollectingExchange())
                    outcome = "answered"
                except NotRunError:
                    outcome = "not run"
                except RequestError:
                    outcome = "unknown"
                nursery.cancel_scope.cancel()

        trio.run(main)
        return outcome

    # Guards against "not run" for a request that ran, when a refusal without an id
    # arrives together with its answer.
    def test_refusal_without_id_beside_an_answer_proves_nothing(self) -> None:
        for dialect in (DIALECT, DEFAULT_DIALECT):
            refusal = encode_refusal(dialect, None)
            answer = encode_answer(dialect, b"own")
            self.assertEqual(self.send_one(dialect, refusal + answer), "unknown")

    def test_refusal_without_id_is_reported_at_once(self) -> None:
        for dialect in (DIALECT, DEFAULT_DIALECT):
            refusal = encode_refusal(dialect, None)
            for data in (refusal, refusal * 2):
                self.assertEqual(self.send_one(dialect, data), "not run")


class Upload(CollectingExchange):
    """Exchange whose body arrives in pieces while the response may begin."""

    def __init__(self) -> None:
        super().__init__()
        self.refused = False
        self._pieces = [b"one", b"two"]

    def pop_complete_body(self) -> bytes | None:
        return None

    async def receive(self) -> bytes | None:
        await trio.sleep(0.01)
        return self._pieces.pop(0) if self._pieces else None


class UploadTest(unittest.TestCase):
    def send_upload(self, refusal: bytes) -> Upload:
        """Send an upload; the refusal arrives between its head and its body."""

        async def serve(stream: trio.SocketStream) -> None:
            await read_request(stream)
            await stream.send_all(encode_answer(DIALECT, b"first"))
            data = await stream.receive_some(65_536)
            await stream.send_all(refusal)
            while b"0\r\n\r\n" not in data:
                data += await stream.receive_some(65_536)
            await stream.send_all(encode_answer(DIALECT, b"own"))
            await stream.receive_some(1)

        upload = Upload()

        async def main() -> None:
            async with serve_script(serve) as address, trio.open_nursery() as nursery:
                owner = Owner(FakeServers(address, 1), address, DIALECT, POLICY)
                await nursery.start(owner.run)
                await owner.execute(make_head(request_id="first"), CollectingExchange())
                head = make_head(request_id="own")
                fields = {name: getattr(head, name) for name in head.__struct_fields__}
                fields |= {"has_body": True, "chunked": True, "header_block": b""}
                try:
                    await owner.execute(type(head)(**fields), upload)
                except NotRunError:
                    upload.refused = True
                nursery.cancel_scope.cancel()

        trio.run(main)
        return upload

    # Guards against "not run" for an upload that runs, when an earlier refusal arrives
    # between its head and its body.
    def test_refusal_within_an_upload_does_not_refuse_it(self) -> None:
        for request_id in (b"first", b"other", None):
            upload = self.send_upload(encode_refusal(DIALECT, request_id))
            self.assertEqual((upload.body, upload.finished), (b"own", True))

    def test_early_refusal_of_an_upload_is_reported_at_once(self) -> None:
        upload = self.send_upload(encode_refusal(DIALECT, b"own"))
        self.assertTrue(upload.refused)
