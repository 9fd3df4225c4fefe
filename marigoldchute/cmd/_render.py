"""Human-readable output of the operator's program."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from marigoldchute.bundle.review import ERROR

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from marigoldchute.admin.messages import MemberStatus, MoveStatus, Status
    from marigoldchute.bundle.review import Change, Finding
    from marigoldchute.platform.review import Review

BAR_WIDTH = 20
DECIDED_VERDICTS = ("done", "taken back")


def render_status(status: Status, now_ms: int) -> str:
    """Return a summary of the mesh status.

    Parameters
    ----------
    status : Status
        Status as reported by a node.
    now_ms : int
        Wall-clock time in milliseconds since the epoch.
    """
    lines = [
        f"{status.node}: version {status.version} in force, "
        f"newest signed version {status.newest_version}",
        "",
        *_convergence_lines(status),
    ]
    for move in status.moves:
        lines += ["", *_move_lines(move, now_ms)]
    return "\n".join(lines)


def render_move(move: MoveStatus, now_ms: int) -> str:
    """Return a summary of one move."""
    return "\n".join(_move_lines(move, now_ms))


def render_members(members: Iterable[MemberStatus]) -> str:
    """Return a table of members and their backend servers."""
    rows = [("member", "data centre", "region", "state", "version", "backend servers")]
    rows += [
        (
            member.name,
            member.data_centre,
            member.region,
            member.state,
            str(member.version),
            ", ".join(member.servers) or "-",
        )
        for member in members
    ]
    return _table(rows)


def render_bar(part: int, whole: int) -> str:
    """Return a bar of ``BAR_WIDTH`` characters, full only if ``part`` is ``whole``."""
    filled = BAR_WIDTH * part // whole if whole else 0
    return "[" + "#" * filled + "." * (BAR_WIDTH - filled) + "]"


def render_review(review: Review) -> str:
    """Return the findings and changes of a configuration and a summary."""
    lines = [_finding_line(finding) for finding in review.findings]
    lines += [_change_line(change) for change in review.changes]
    error_count = sum(finding.severity == ERROR for finding in review.findings)
    version = (
        "version unreadable" if review.version is None else f"version {review.version}"
    )
    summary = (
        f"{version}: errors: {error_count}, "
        f"warnings: {len(review.findings) - error_count}"
    )
    if review.version_in_force is not None:
        summary += (
            f", changes to version {review.version_in_force}: {len(review.changes)}"
        )
    return "\n".join([*lines, summary])


def _finding_line(finding: Finding) -> str:
    label = f"{finding.code} {finding.kind}" if finding.code else finding.kind
    return f"{finding.severity} [{label}] {finding.place}: {finding.text}"


def _change_line(change: Change) -> str:
    name = f"{change.subject} {change.name}".rstrip()
    if not change.field:
        return f"{change.operation} {name}"
    return f"changed {name}: {change.field} {change.before} -> {change.after}"


def _convergence_lines(status: Status) -> list[str]:
    members_by_data_centre: dict[tuple[str, str], list[MemberStatus]] = {}
    for member in status.members:
        members_by_data_centre.setdefault(
            (member.region, member.data_centre), []
        ).append(member)
    rows = [("region", "data centre", "newest in force", "", "members")]
    for (region, data_centre), members in sorted(members_by_data_centre.items()):
        at_newest = sum(m.version == status.newest_version for m in members)
        states = collections.Counter(member.state for member in members)
        rows.append(
            (
                region,
                data_centre,
                render_bar(at_newest, len(members)),
                f"{at_newest}/{len(members)}",
                ", ".join(f"{count} {state}" for state, count in states.items()),
            )
        )
    return _table(rows).splitlines()


def _move_lines(move: MoveStatus, now_ms: int) -> list[str]:
    total = move.confirmed + move.unconfirmed
    low, high = move.lowest_share, move.highest_share
    share = f"{low:.0%}" if low == high else f"{low:.0%} to {high:.0%}"
    lines = [
        f"move {move.move_id} of {move.service}: {move.verdict}",
        f"  share of the new release  {share}",
        f"  confirmed  {render_bar(move.confirmed, total)} {move.confirmed}/{total}",
    ]
    if move.reason:
        lines.append(f"  reason     {move.reason}")
    if move.verdict not in DECIDED_VERDICTS:
        lines.append(f"  time left  {_format_time_left(move.deadline_ms - now_ms)}")
    return lines


def _format_time_left(remaining_ms: int) -> str:
    if remaining_ms < 0:
        return f"none, the deadline was {-remaining_ms / 1000:.1f} s ago"
    return f"{remaining_ms / 1000:.1f} s"


def _table(rows: Sequence[tuple[str, ...]]) -> str:
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)
