"""Events for the duties that this node starts and stops holding."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldchute.overlay.duties import COLLECTOR, DRIVER

if TYPE_CHECKING:
    from marigoldchute.events import EventLog
    from marigoldchute.overlay.duties import Duties, MemberList

PART = "duties"


class DutyLog:
    """Logs when this node starts or stops collecting reports or deciding moves.

    The reader of the store logs its own events, as it starts a task with its duty.

    Parameters
    ----------
    members : MemberList
        Members of the mesh.
    duties : Duties
        Holders of duties.
    log : EventLog
        Event log of the process.
    """

    def __init__(self, members: MemberList, duties: Duties, log: EventLog) -> None:
        self._members = members
        self._duties = duties
        self._log = log
        self._held: set[str] = set()

    def check(self) -> None:
        """Log the changes since the last check."""
        data_centre = self._members.local.data_centre
        self._log_change(COLLECTOR, f"collects reports of {data_centre}", data_centre)
        self._log_change(DRIVER, "decides moves", "")

    def _log_change(self, duty: str, text: str, data_centre: str) -> None:
        is_held = self._duties.is_held_here(duty, data_centre)
        if is_held == (duty in self._held):
            return
        self._held ^= {duty}
        sentence = f"This node {text}." if is_held else f"This node no longer {text}."
        self._log.emit(PART, duty, sentence, held=is_held)
