"""Stand-in for the platform's document store with configurable faults."""

from __future__ import annotations

import copy
import dataclasses
import urllib.parse
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from marigoldchute.routing.http_server import HttpServer

if TYPE_CHECKING:
    from marigoldchute.routing.http_request import HttpRequest, HttpResponder

PREFIX = "/api/objects/"
MAX_BODY_BYTES = 2_000_000
POLL_INTERVAL_S = 0.01


@dataclasses.dataclass
class DocumentFaults:
    """Faults of the stand-in; each is active until it is changed.

    Parameters
    ----------
    refused_status : int
        Status with which all calls are refused; 0 for none.
    lose_replies : int
        Number of further writes that are applied without a response.
    silent : bool
        Whether calls get no response at all.
    """

    refused_status: int = 0
    lose_replies: int = 0
    silent: bool = False


@dataclasses.dataclass
class _StoredDocument:
    name: str
    create_revision: int
    revision: int
    spec: Any
    status: Any = None

    def to_wire(self) -> dict[str, Any]:
        metadata = {
            "name": self.name,
            "revision": self.revision,
            "create_revision": self.create_revision,
            "finalizers": [],
            "deleting": False,
        }
        return {"metadata": metadata, "spec": self.spec, "status": self.status}


class DocumentStandIn:
    """Document store in memory that serves the platform's HTTP protocol.

    Attributes
    ----------
    calls : list of str
        Method and path of each call.
    era : int
        Era that responses state; 0 for a store without eras.
    """

    def __init__(self) -> None:
        self.faults = DocumentFaults()
        self.calls: list[str] = []
        self.era = 0
        self._kinds: dict[str, dict[str, _StoredDocument]] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._revision = 1
        self._compacted_revision = 0
        self._http_server = HttpServer(self._handle)

    async def serve(
        self,
        address: str,
        port: int,
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled."""
        await self._http_server.serve(address, port, task_status=task_status)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write a document as an operator does; return its revision."""
        stored = self._kinds.setdefault(kind, {}).get(name)
        self._revision += 1
        if stored is None:
            stored = _StoredDocument(name, self._revision, self._revision, spec)
            self._kinds[kind][name] = stored
        stored.spec, stored.revision = spec, self._revision
        self._append_event(kind, stored, False)
        return self._revision

    def remove(self, kind: str, name: str) -> None:
        """Remove a document as an operator does."""
        stored = self._kinds[kind].pop(name)
        self._revision += 1
        self._append_event(kind, stored, True)

    def status_of(self, kind: str, name: str) -> Any:
        """Return the status of a document, None without a document or status."""
        stored = self._kinds.get(kind, {}).get(name)
        return None if stored is None else stored.status

    def spec_of(self, kind: str, name: str) -> Any:
        """Return the content of a document, an empty object without a document."""
        stored = self._kinds.get(kind, {}).get(name)
        return {} if stored is None else stored.spec

    def names(self, kind: str) -> list[str]:
        """Return the names of the documents of a kind."""
        return sorted(self._kinds.get(kind, {}))

    def compact(self) -> None:
        """Discard the history; watches of earlier revisions get status 410."""
        self._compacted_revision = self._revision
        self._events.clear()

    def take_copy(self) -> Any:
        """Return a copy of the documents, for ``restore``."""
        return copy.deepcopy((self._kinds, self._revision))

    def restore(self, stored: Any) -> None:
        """Come back from a copy; writes after it are lost and a new era begins."""
        self._kinds, self._revision = copy.deepcopy(stored)
        self._compacted_revision = self._revision
        self._events.clear()
        self.era += 1

    async def _handle(self, req: HttpRequest, responder: HttpResponder) -> None:
        body = b""
        while (data := await req.receive()) is not None:
            body += data
        self.calls.append(f"{req.method.decode()} {req.target.decode()}")
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.refused_status:
            await _send_response(
                responder, self.faults.refused_status, {"error": "fault"}, self.era
            )
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
        await _send_response(responder, status, value, self.era)

    async def _read(self, parts: list[str], query: dict[str, str]) -> tuple[int, Any]:
        documents = self._kinds.get(parts[0], {})
        if len(parts) > 1:
            stored = documents.get(parts[1])
            return (404, {}) if stored is None else (200, stored.to_wire())
        if "watch" in query:
            return await self._watch(parts[0], query)
        after = query.get("after", "")
        items = [
            documents[name].to_wire() for name in sorted(documents) if name > after
        ]
        return 200, {"items": items, "more": False, "at": self._revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        after_revision = int(query["watch"])
        if not self._compacted_revision <= after_revision <= self._revision:
            return 410, {"error": "history is gone"}
        events: list[dict[str, Any]] = []
        with trio.move_on_after(int(query.get("wait_ms", "0")) / 1000):
            while not events:
                events = [
                    {"object": item, "deleted": deleted}
                    for revision, event_kind, deleted, item in self._events
                    if event_kind == kind and revision > after_revision
                ]
                if not events:
                    await trio.sleep(POLL_INTERVAL_S)
        return 200, {"events": events, "at": self._revision}

    def _write(self, method: bytes, parts: list[str], body: bytes) -> tuple[int, Any]:
        kind = parts[0]
        documents = self._kinds.setdefault(kind, {})
        if method == b"DELETE":
            stored = documents.pop(parts[1], None)
            if stored is None:
                return 404, {}
            self._revision += 1
            self._append_event(kind, stored, True)
            return 200, {}
        value = msgspec.json.decode(body)
        name = value["metadata"]["name"]
        stored = documents.get(name)
        if method == b"POST":
            if stored is not None:
                return 409, stored.to_wire()
            self.put(kind, name, value.get("spec"))
            return 200, documents[name].to_wire()
        if stored is None:
            return 404, {}
        expected = value["metadata"].get("revision")
        if expected is not None and expected != stored.revision:
            return 409, stored.to_wire()
        field = "status" if parts[-1] == "status" and len(parts) > 2 else "spec"
        if getattr(stored, field) != value.get(field):
            self._revision += 1
            setattr(stored, field, value.get(field))
            stored.revision = self._revision
            self._append_event(kind, stored, False)
        return 200, stored.to_wire()

    def _append_event(self, kind: str, stored: _StoredDocument, deleted: bool) -> None:
        self._events.append((self._revision, kind, deleted, stored.to_wire()))


async def _send_response(
    responder: HttpResponder, status: int, value: Any, era: int
) -> None:
    body = msgspec.json.encode(value)
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    if era:
        headers.append((b"store-era", str(era).encode()))
    await responder.start(status, headers, body)
    await responder.finish()
