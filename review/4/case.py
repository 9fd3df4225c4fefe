"""CONFIG: kept connections go on to refuse what only an older version forbids."""

from __future__ import annotations

import asyncio
import contextlib
import secrets

from stand_ins import (
    BOUNDS,
    HOST,
    LIMITS,
    Deployment,
    NodeProcess,
    Record,
    configuration,
    read_body,
    read_head,
    route,
    run_case,
)

DEADLINE_MS = 3000
NUM_CONNECTIONS = 20
OLD_BODY_BYTES, NEW_BODY_BYTES = 262_144, 1_048_576
SMALL_BODY = b"s" * 60_000
LARGE_BODY = b"l" * 360_000
# Below four fifths of ``idle_timeout_ms``, for which requesters keep a connection.
IDLE_S = 3.5


class KeptConnection:
    """Connection of a requester that is kept for its next request."""

    def __init__(self, record: Record, node: NodeProcess) -> None:
        self._record = record
        self._node = node

    async def open(self) -> None:
        """Connect to the node."""
        self._reader, self._writer = await asyncio.open_connection(
            self._node.address, self._node.outbound_port
        )

    async def send(self, body: bytes) -> tuple[float, int]:
        """Send an upload; return when it was sent and the status, 0 for none."""
        request_id = secrets.token_hex(8)
        head = (
            f"POST /upload/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {request_id}\r\n"
            f"Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        sent_at = self._record.now()
        self._record.write(f"client: sends {request_id} with {len(body)} bytes")
        status = 0
        with contextlib.suppress(OSError, EOFError):
            self._writer.write(head.encode() + body)
            async with asyncio.timeout(DEADLINE_MS / 1000):
                answer = await read_head(self._reader)
                if answer is not None:
                    status = int(answer[0].split()[1])
                    await read_body(self._reader, answer[1])
        self._record.write(f"client: {request_id} ended with {status or 'no answer'}")
        return sent_at, status

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def case(record: Record, trouble: bool) -> bool:
    """Raise a limit and use connections that were opened before."""
    layout = [("zone-a", "desk"), ("zone-b", "archive"), ("zone-c", "archive")]
    deployment = Deployment(record, layout)
    routes = [route("upload", "/upload/", "archive", "upload")]
    services = ["desk", "archive"]
    first = configuration(12, services, routes)
    second = configuration(15, services, routes)
    second["limits"] = LIMITS | {"max_body_bytes": NEW_BODY_BYTES}
    first["limits"] = LIMITS | {
        "max_body_bytes": OLD_BODY_BYTES if trouble else NEW_BODY_BYTES
    }
    try:
        await deployment.start(first)
        await asyncio.sleep(1 + BOUNDS["stable_window_ms"] / 1000)
        return await change_and_judge(record, deployment, second)
    finally:
        await deployment.close()


async def change_and_judge(
    record: Record, deployment: Deployment, config: dict
) -> bool:
    """Return whether each upload was handled as the new version allows."""
    node = deployment.nodes[0]
    kept = [KeptConnection(record, node) for _ in range(NUM_CONNECTIONS)]
    for connection in kept:
        await connection.open()
        _, status = await connection.send(SMALL_BODY)
        if status != 200:
            record.say(f"a small upload ended with {status or 'no answer'}")
    deployment.store.put_spec("config", "main", config)
    confirmed_at = record.now()
    record.say(f"version {config['version']} is confirmed, {config['limits']}")
    await asyncio.sleep(IDLE_S)
    fresh = KeptConnection(record, node)
    await fresh.open()
    _, status = await fresh.send(LARGE_BODY)
    record.say(f"a large upload on a new connection ends with {status or 'no answer'}")
    late = 0
    for connection in kept:
        sent_at, status = await connection.send(LARGE_BODY)
        late += status == 413 and sent_at > confirmed_at + BOUNDS["config_ms"] / 1000
    for connection in (*kept, fresh):
        connection.close()
    record.say(
        f"{late} of {len(kept)} large uploads on kept connections were refused with 413"
    )
    return late == 0


if __name__ == "__main__":
    run_case(__file__, case)
