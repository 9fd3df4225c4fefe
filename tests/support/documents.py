"""Stand-in for a platform's store of documents, with switchable faults."""

from __future__ import annotations

import dataclasses
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from marigoldchute.routing.http_server import HttpEdge

if TYPE_CHECKING:
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder

PREFIX = "/api/objects/"
MAX_BODY_BYTES = 2_000_000
POLL_S = 0.01


@dataclasses.dataclass
class DocumentFaults:
    """Faults of the stand-in; each is in force until it is changed.

    Parameters
    ----------
    refused_status : int
        Status with which every call is refused; 0 for none.
    lose_replies : int
        Number of further writes that are done and not answered.
    silent : bool
        Whether calls get no answer at all.
    """

    refused_status: int = 0
    lose_replies: int = 0
    silent: bool = False


@dataclasses.dataclass
class _Stored:
    name: str
    created: int
    revision: int
    spec: Any
    status: Any = None

    def to_wire(self) -> dict[str, Any]:
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "create_revision": self.created,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, "spec": self.spec, "status": self.status}


class DocumentStandIn:
    """Documents in memory behind the platform's protocol.

    Attributes
    ----------
    calls : list of str
        Method and path of each call.
    """

    def __init__(self) -> None:
        self.faults = DocumentFaults()
        self.calls: list[str] = []
        self._kinds: dict[str, dict[str, _Stored]] = {}
        self._log: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._revision = 1
        self._forgotten = 0
        self._edge = HttpEdge(self._handle)

    async def serve(
        self,
        address: str,
        port: int,
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        await self._edge.serve(address, port, task_status=task_status)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write a document as an operator does; return its revision."""
        held = self._kinds.setdefault(kind, {}).get(name)
        self._revision += 1
        if held is None:
            held = _Stored(name, self._revision, self._revision, spec)
            self._kinds[kind][name] = held
        held.spec, held.revision = spec, self._revision
        self._note(kind, held, False)
        return self._revision

    def status_of(self, kind: str, name: str) -> Any:
        """Return the status of a document, None when there is none."""
        held = self._kinds.get(kind, {}).get(name)
        return None if held is None else held.status

    def names(self, kind: str) -> list[str]:
        """Return the names of the documents of a kind."""
        return sorted(self._kinds.get(kind, {}))

    def compact(self) -> None:
        """Forget the history: watches from before get 410."""
        self._forgotten = self._revision
        self._log.clear()

    async def _handle(self, req: HttpRequest, responder: HttpResponder) -> None:
        body = b""
        while (data := await req.receive()) is not None:
            body += data
        self.calls.append(f"{req.method.decode()} {req.target.decode()}")
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.refused_status:
            await _answer(responder, self.faults.refused_status, {"error": "fault"})
            return
        path, _, text = req.target.decode().partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        parts = [urllib.parse.unquote(p) for p in path[len(PREFIX) :].split("/")]
        if req.method == b"GET":
            status, value = await self._read(parts, query)
        else:
            status, value = self._write(req.method, parts, body)
            if self.faults.lose_replies > 0:
                self.faults.lose_replies -= 1
                responder.abort()
                return
        await _answer(responder, status, value)

    async def _read(self, parts: list[str], query: dict[str, str]) -> tuple[int, Any]:
        found = self._kinds.get(parts[0], {})
        if len(parts) > 1:
            held = found.get(parts[1])
            return (404, {}) if held is None else (200, held.to_wire())
        if "watch" in query:
            return await self._watch(parts[0], query)
        after = query.get("after", "")
        items = [found[name].to_wire() for name in sorted(found) if name > after]
        return 200, {"items": items, "more": False, "at": self._revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        position = int(query["watch"])
        if position < self._forgotten:
            return 410, {"error": "history is gone"}
        events: list[dict[str, Any]] = []
        with trio.move_on_after(int(query.get("wait_ms", "0")) / 1000):
            while not events:
                events = [
                    {"object": item, "deleted": deleted}
                    for revision, of, deleted, item in self._log
                    if of == kind and revision > position
                ]
                if not events:
                    await trio.sleep(POLL_S)
        return 200, {"events": events, "at": self._revision}

    def _write(self, method: bytes, parts: list[str], body: bytes) -> tuple[int, Any]:
        kind = parts[0]
        found = self._kinds.setdefault(kind, {})
        if method == b"DELETE":
            held = found.pop(parts[1], None)
            if held is None:
                return 404, {}
            self._revision += 1
            self._note(kind, held, True)
            return 200, {}
        value = msgspec.json.decode(body)
        name = value["metadata"]["name"]
        held = found.get(name)
        if method == b"POST":
            if held is not None:
                return 409, held.to_wire()
            self.put(kind, name, value.get("spec"))
            return 200, found[name].to_wire()
        if held is None:
            return 404, {}
        expected = value["metadata"].get("revision")
        if expected is not None and expected != held.revision:
            return 409, held.to_wire()
        field = "status" if parts[-1] == "status" and len(parts) > 2 else "spec"
        if getattr(held, field) != value.get(field):
            self._revision += 1
            setattr(held, field, value.get(field))
            held.revision = self._revision
            self._note(kind, held, False)
        return 200, held.to_wire()

    def _note(self, kind: str, held: _Stored, deleted: bool) -> None:
        self._log.append((self._revision, kind, deleted, held.to_wire()))


async def _answer(responder: HttpResponder, status: int, value: Any) -> None:
    body = msgspec.json.encode(value)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    await responder.start(status, headers, body)
    await responder.finish()
