"""Drain of a node whose backend server stays in use until the callers have left."""

from __future__ import annotations

import contextlib
import math
import unittest
from typing import TYPE_CHECKING

import trio
from trio.testing import MockClock

from marigoldchute.hosted.drain import (
    ANNOUNCE_RESERVE_S,
    CALLERS_IDLE_S,
    EXIT_RESERVE_S,
    MIN_ACCEPT_S,
    OWNER_RESERVE_S,
    DrainStage,
    NodeDrain,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from marigoldchute.routing.stop_window import StopWindow

GRACE_S = 6.0
RUN_S = 0.3  # Service time of a request at the backend server.


class FakeCallers:
    """Callers that send requests at given times."""

    def __init__(self, sent_at: Iterable[float]) -> None:
        self._sent_at = sorted(sent_at)
        self._read_until: float | None = None
        self.accepts = True
        self.draining = False
        self.closed_at: float | None = None
        self.answered_at = 0.0
        self.requests_end_at = math.inf

    @property
    def last_request_at(self) -> float:
        now = trio.current_time()
        if self._read_until is not None:
            now = self._read_until
        return max((at for at in self._sent_at if at <= now), default=0.0)

    @contextlib.contextmanager
    def unread_requests(self) -> Iterator[None]:
        """Leave the requests that are sent from now on unread."""
        self._read_until = trio.current_time()
        yield
        self._read_until = None

    @property
    def is_busy(self) -> bool:
        return self.accepts

    @property
    def running(self) -> int:
        return int(trio.current_time() < self.answered_at)

    def drain(self) -> None:
        self.draining = True

    def limit_requests(self, ends_at: float) -> None:
        self.requests_end_at = ends_at

    def stop_accepting(self) -> None:
        self.accepts = False
        self.closed_at = trio.current_time()


class FakeEntry:
    stop_window: StopWindow | None = None


class FakeOwner:
    """Owner side with running requests until it has drained."""

    def __init__(self, run_s: float = RUN_S) -> None:
        self._run_s = run_s
        self.stop_window: StopWindow | None = None
        self.drained_at: float | None = None

    @property
    def running(self) -> int:
        if self.drained_at is None:
            return 1
        return int(trio.current_time() < self.drained_at + self._run_s)

    def drain(self) -> None:
        if self.drained_at is None:
            self.drained_at = trio.current_time()


class FakeDirectory:
    def __init__(self) -> None:
        self.drained_at: float | None = None

    def drain(self) -> None:
        if self.drained_at is None:
            self.drained_at = trio.current_time()


class NodeDrainTest(unittest.TestCase):
    """Drain of one node while the nodes are restarted one after another, 1 s apart."""

    def setUp(self) -> None:
        self.entry = FakeEntry()
        self.owner = FakeOwner()
        self.directory = FakeDirectory()
        self.announced_at = 0.0

    def leave(self, callers: FakeCallers) -> float:
        """Drain a node and return the time it took in seconds."""

        async def announce_leave() -> None:
            self.announced_at = trio.current_time()

        async def main() -> float:
            drain = NodeDrain(callers, self.entry, self.owner, self.directory, GRACE_S)
            await drain.run(announce_leave)
            return trio.current_time()

        return trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_backend_server_is_withdrawn_only_while_its_last_requests_end(self) -> None:
        elapsed_s = self.leave(FakeCallers([0.4, 1.1, 1.9]))
        assert self.directory.drained_at is not None
        self.assertLess(elapsed_s - self.directory.drained_at, RUN_S + 0.1)
        self.assertLess(elapsed_s, 0.55 * GRACE_S)

    def test_backend_server_stays_in_use_while_callers_send_requests(self) -> None:
        callers = FakeCallers([index / 10 for index in range(29)])
        self.leave(callers)
        assert self.directory.drained_at is not None
        self.assertGreater(self.directory.drained_at, 2.8)

    # Guards against callers that are refused because a node which was paused takes
    # the pause for the time since its last request.
    def test_pause_of_the_process_does_not_count_as_absence_of_callers(self) -> None:
        callers = FakeCallers([index / 10 for index in range(100)])

        async def main() -> None:
            clock = trio.lowlevel.current_clock()
            assert isinstance(clock, MockClock)
            drain = NodeDrain(callers, self.entry, self.owner, self.directory, GRACE_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(drain.run, trio.lowlevel.checkpoint)
                await trio.sleep(MIN_ACCEPT_S - CALLERS_IDLE_S)
                with callers.unread_requests():
                    clock.jump(1.5 * CALLERS_IDLE_S)
                    for _ in range(3):
                        await trio.lowlevel.checkpoint()
                await trio.sleep(0.1)
                self.assertIsNone(self.directory.drained_at)
                self.assertTrue(callers.accepts)

        trio.run(main, clock=MockClock(autojump_threshold=0))

    def test_drain_ends_in_time_when_callers_never_leave(self) -> None:
        callers = FakeCallers([index / 10 for index in range(100)])
        elapsed_s = self.leave(callers)
        assert self.directory.drained_at is not None
        self.assertLessEqual(self.directory.drained_at, GRACE_S - OWNER_RESERVE_S + 0.1)
        self.assertFalse(callers.accepts)
        self.assertLess(elapsed_s, GRACE_S - ANNOUNCE_RESERVE_S)

    def test_requests_are_taken_only_if_they_end_before_the_announcement(self) -> None:
        self.leave(FakeCallers([]))
        window = self.entry.stop_window
        assert window is not None
        self.assertIs(self.owner.stop_window, window)
        self.assertAlmostEqual(window.ends_at, GRACE_S - ANNOUNCE_RESERVE_S)

    # Guards against failures of requests whose nested calls find the listener closed.
    def test_callers_are_accepted_while_requests_run_on_the_backend_server(
        self,
    ) -> None:
        self.owner = FakeOwner(run_s=1.2)
        callers = FakeCallers([])
        self.leave(callers)
        assert self.owner.drained_at is not None
        assert callers.closed_at is not None
        self.assertGreaterEqual(callers.closed_at, self.owner.drained_at + 1.2)

    def test_requests_in_progress_end_before_the_announcement(self) -> None:
        callers = FakeCallers([])
        self.leave(callers)
        self.assertAlmostEqual(callers.requests_end_at, GRACE_S - ANNOUNCE_RESERVE_S)

    # Guards against requests that end with the drain and are cut before their responses
    # are sent.
    def test_last_responses_are_sent_before_the_announcement(self) -> None:
        self.owner = FakeOwner(run_s=100.0)
        callers = FakeCallers([])
        callers.answered_at = GRACE_S - ANNOUNCE_RESERVE_S + 0.1
        self.leave(callers)
        self.assertGreaterEqual(self.announced_at, callers.answered_at)
        self.assertLess(self.announced_at, callers.answered_at + 0.1)

    def test_endless_request_leaves_time_for_the_announcement(self) -> None:
        self.owner = FakeOwner(run_s=100.0)
        self.leave(FakeCallers([]))
        self.assertAlmostEqual(self.announced_at, GRACE_S - ANNOUNCE_RESERVE_S)

    # Guards against a process that still runs at the end of its grace period, because
    # each late stage of a busy machine postpones the next one.
    def test_late_stages_do_not_use_up_the_time_for_the_exit(self) -> None:
        self.owner = FakeOwner(run_s=100.0)
        callers = FakeCallers([])
        callers.answered_at = math.inf

        async def main() -> float:
            clock = trio.lowlevel.current_clock()
            assert isinstance(clock, MockClock)

            async def announce() -> None:
                await trio.sleep_forever()

            async def pause() -> None:
                await trio.sleep_until(GRACE_S - ANNOUNCE_RESERVE_S + 0.01)
                clock.jump(0.3)

            drain = NodeDrain(callers, self.entry, self.owner, self.directory, GRACE_S)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pause)
                await drain.run(announce)
            return trio.current_time()

        elapsed_s = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertLessEqual(elapsed_s, GRACE_S - EXIT_RESERVE_S + 0.01)

    def test_announcement_that_hangs_does_not_delay_an_early_end(self) -> None:
        async def main() -> float:
            drain = NodeDrain(
                FakeCallers([]),  # type: ignore[arg-type]
                self.entry,  # type: ignore[arg-type]
                self.owner,  # type: ignore[arg-type]
                self.directory,  # type: ignore[arg-type]
                GRACE_S,
            )
            await drain.run(trio.sleep_forever)
            return trio.current_time()

        elapsed_s = trio.run(main, clock=MockClock(autojump_threshold=0))
        self.assertLess(elapsed_s, MIN_ACCEPT_S + CALLERS_IDLE_S + RUN_S + 0.5)


class DrainStageTest(unittest.TestCase):
    """Stages that a drain reports, with the seconds since its start."""

    def stages(self, run_s: float) -> dict[DrainStage, float]:
        """Drain a node and return when it reached each stage."""
        stages: dict[DrainStage, float] = {}

        async def announce_leave() -> None:
            await trio.sleep(0.1)

        async def main() -> None:
            drain = NodeDrain(
                FakeCallers([]),  # type: ignore[arg-type]
                FakeEntry(),  # type: ignore[arg-type]
                FakeOwner(run_s),  # type: ignore[arg-type]
                FakeDirectory(),  # type: ignore[arg-type]
                GRACE_S,
                stages.__setitem__,
            )
            await drain.run(announce_leave)

        trio.run(main, clock=MockClock(autojump_threshold=0))
        return stages

    def test_stages_are_reported_in_their_order(self) -> None:
        stages = self.stages(RUN_S)
        self.assertEqual(
            list(stages),
            [
                DrainStage.STARTED,
                DrainStage.SERVER_WITHDRAWN,
                DrainStage.LISTENER_CLOSED,
                DrainStage.DRAINED,
            ],
        )
        self.assertEqual(list(stages.values()), sorted(stages.values()))

    def test_drain_with_an_endless_request_is_reported_as_timed_out(self) -> None:
        stages = self.stages(100.0)
        self.assertEqual(list(stages)[-1], DrainStage.TIMED_OUT)
        self.assertAlmostEqual(
            stages[DrainStage.TIMED_OUT], GRACE_S - ANNOUNCE_RESERVE_S
        )


if __name__ == "__main__":
    unittest.main()
