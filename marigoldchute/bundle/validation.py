"""Validation of a whole bundle before it comes into force."""

from __future__ import annotations

import graphlib
from typing import TYPE_CHECKING

from marigoldchute.bundle import limits
from marigoldchute.errors import BundleError, MoveError, ResultCode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from marigoldchute.bundle.model import (
        BundleContent,
        Customer,
        Move,
        Route,
        Service,
        Thresholds,
    )


def validate_content(
    content: BundleContent,
    names_releases: bool = True,
    checked: BundleContent | None = None,
) -> None:
    """Validate the values, names and references of a whole bundle.

    Error messages contain the key path of the invalid value, such as
    ``$.routes[3].service``.

    Parameters
    ----------
    content : BundleContent
        Content to validate.
    names_releases : bool
        Whether each service must name the release that receives its traffic.
    checked : BundleContent, optional
        Content that was validated before. The values of routes and customers that are
        the same objects there are not checked again; names and references are.

    Raises
    ------
    BundleError
        A value is out of range, a name is used twice, a reference has no target, or
        the dependencies of services form a cycle.
    MoveError
        A move is not valid or overlaps another one.
    """
    limits.check_count("$.services", len(content.services), limits.MAX_SERVICES)
    limits.check_count("$.routes", len(content.routes), limits.MAX_ROUTES)
    limits.check_count("$.moves", len(content.moves), limits.MAX_MOVES)
    limits.check_count("$.customers", len(content.customers), limits.MAX_CUSTOMERS)
    for index, service in enumerate(content.services):
        _check_service(f"$.services[{index}]", service, names_releases)
    checked_ids = {id(r) for r in checked.routes} if checked is not None else set()
    for index, route in enumerate(content.routes):
        if id(route) not in checked_ids:
            _check_route(f"$.routes[{index}]", route)
    checked_ids = {id(c) for c in checked.customers} if checked is not None else set()
    for index, customer in enumerate(content.customers):
        if id(customer) not in checked_ids:
            _check_customer(f"$.customers[{index}]", customer)
    for index, move in enumerate(content.moves):
        _check_move(f"$.moves[{index}]", move)
    _check_duplicates(content)
    _check_references(content)
    _check_cycles(content)
    _check_releases(content)


def _check_service(path: str, service: Service, names_releases: bool) -> None:
    limits.check_name(f"{path}.name", service.name)
    if names_releases or service.release:
        limits.check_name(f"{path}.release", service.release)
    count = len(service.depends_on)
    limits.check_count(f"{path}.depends_on", count, limits.MAX_DEPENDENCIES)


def _check_route(path: str, route: Route) -> None:
    limits.check_name(f"{path}.name", route.name)
    limits.check_path_prefix(f"{path}.path_prefix", route.path_prefix)
    limits.check_range(f"{path}.timeout_ms", route.timeout_ms, 1, limits.MAX_TIMEOUT_MS)
    limits.check_range(f"{path}.priority", route.priority, 0, limits.MAX_PRIORITY)
    attempts = route.max_attempts
    limits.check_range(f"{path}.max_attempts", attempts, 1, limits.MAX_ATTEMPTS)
    methods_path = f"{path}.idempotent_methods"
    limits.check_count(methods_path, len(route.idempotent_methods), limits.MAX_METHODS)
    for index, method in enumerate(route.idempotent_methods):
        limits.check_token(f"{methods_path}[{index}]", method)
    limits.check_range(
        f"{path}.objective_ms", route.objective_ms, 0, limits.MAX_TIMEOUT_MS
    )
    for index, part in enumerate(route.parts):
        limits.check_range(f"{path}.parts[{index}].weight", part.weight, 0.0, 1e6)
    if route.parts and not any(part.weight > 0 for part in route.parts):
        raise BundleError(
            f"{path}.parts: at least one weight must be above 0",
            ResultCode.BUNDLE_VALUE_OUT_OF_RANGE,
        )
    if route.sticky_header:
        limits.check_token(f"{path}.sticky_header", route.sticky_header)


def _check_customer(path: str, customer: Customer) -> None:
    limits.check_customer_name(f"{path}.name", customer.name)
    if customer.priority is not None:
        limits.check_range(
            f"{path}.priority", customer.priority, 0, limits.MAX_PRIORITY
        )
    for name in ("rate_per_s", "burst"):
        value = getattr(customer, name)
        limits.check_range(f"{path}.{name}", value, 0.0, limits.MAX_QUOTA)


def _check_move(path: str, move: Move) -> None:
    limits.check_name(f"{path}.move_id", move.move_id)
    limits.check_name(f"{path}.old_release", move.old_release)
    limits.check_name(f"{path}.new_release", move.new_release)
    if move.old_release == move.new_release:
        raise MoveError(f"{path}.new_release: equals old_release {move.old_release!r}")
    for name in ("start_ms", "deadline_ms"):
        value = getattr(move, name)
        limits.check_range(f"{path}.{name}", value, 0, limits.MAX_WALL_CLOCK_MS)
    limits.check_range(f"{path}.watch_ms", move.watch_ms, 0, limits.MAX_HOLD_MS)
    _check_thresholds(f"{path}.thresholds", move.thresholds)
    _check_steps(path, move)


def _check_thresholds(path: str, thresholds: Thresholds) -> None:
    for name in ("max_error_increase", "max_slow_increase"):
        limits.check_range(f"{path}.{name}", getattr(thresholds, name), 0.0, 1.0)
    ratio = thresholds.slow_ratio
    limits.check_range(f"{path}.slow_ratio", ratio, 1.0, limits.MAX_SLOW_RATIO)
    false_alarm = thresholds.false_alarm
    limits.check_range(
        f"{path}.false_alarm", false_alarm, 1e-12, limits.MAX_FALSE_ALARM
    )


def _check_steps(path: str, move: Move) -> None:
    limits.check_count(f"{path}.steps", len(move.steps), limits.MAX_STEPS)
    for index, step in enumerate(move.steps):
        step_path = f"{path}.steps[{index}]"
        limits.check_range(f"{step_path}.share", step.share, 0.0, 1.0)
        limits.check_range(f"{step_path}.hold_ms", step.hold_ms, 0, limits.MAX_HOLD_MS)
    shares = [step.share for step in move.steps]
    if not shares or shares[-1] != 1.0 or shares != sorted(set(shares)):
        raise MoveError(
            f"{path}.steps: shares must increase and end at 1, not {shares} "
            f"(move {move.move_id!r})"
        )
    needed_ms = sum(step.hold_ms for step in move.steps[:-1]) + move.watch_ms
    allowed_ms = move.deadline_ms - move.start_ms
    if needed_ms >= allowed_ms:
        raise MoveError(
            f"{path}.deadline_ms: steps and watch time of {move.move_id!r} need "
            f"{needed_ms} ms, the deadline leaves {allowed_ms} ms",
            ResultCode.MOVE_DEADLINE_TOO_SHORT,
        )


def _check_duplicates(content: BundleContent) -> None:
    _check_unique("$.services", "name", (s.name for s in content.services))
    _check_unique("$.routes", "name", (r.name for r in content.routes))
    prefixes = (route.host + route.path_prefix for route in content.routes)
    _check_unique("$.routes", "path_prefix", prefixes)
    _check_unique("$.customers", "name", (c.name for c in content.customers))
    _check_unique("$.moves", "move_id", (m.move_id for m in content.moves))
    first_move_indexes: dict[str, int] = {}
    for index, move in enumerate(content.moves):
        first_index = first_move_indexes.setdefault(move.service, index)
        if first_index != index:
            raise MoveError(
                f"$.moves[{index}].service: {move.service!r} is moved by "
                f"$.moves[{first_index}] already",
                ResultCode.MOVE_OVERLAP,
            )


def _check_unique(path: str, key: str, values: Iterable[str]) -> None:
    first_indexes: dict[str, int] = {}
    for index, value in enumerate(values):
        first_index = first_indexes.setdefault(value, index)
        if first_index != index:
            raise BundleError(
                f"{path}[{index}].{key}: {value!r} is used in "
                f"{path}[{first_index}] already",
                ResultCode.BUNDLE_DUPLICATE_NAME,
            )


def _check_references(content: BundleContent) -> None:
    names = {service.name for service in content.services}
    for index, service in enumerate(content.services):
        for position, target in enumerate(service.depends_on):
            path = f"$.services[{index}].depends_on[{position}]"
            _check_reference(path, target, names)
    for index, route in enumerate(content.routes):
        _check_reference(f"$.routes[{index}].service", route.service, names)
        for position, part in enumerate(route.parts):
            path = f"$.routes[{index}].parts[{position}].service"
            _check_reference(path, part.service, names)
    for index, move in enumerate(content.moves):
        _check_reference(f"$.moves[{index}].service", move.service, names)


def _check_reference(path: str, service: str, names: set[str]) -> None:
    if service not in names:
        raise BundleError(
            f"{path}: the bundle has no service {service[:80]!r}",
            ResultCode.BUNDLE_REFERENCE_MISSING,
        )


def _check_cycles(content: BundleContent) -> None:
    graph = {service.name: service.depends_on for service in content.services}
    try:
        graphlib.TopologicalSorter(graph).prepare()
    except graphlib.CycleError as exc:
        cycle = " -> ".join(reversed(exc.args[1]))
        raise BundleError(
            f"$.services: dependencies form a cycle: {cycle}",
            ResultCode.BUNDLE_REFERENCE_CYCLE,
        ) from exc


def _check_releases(content: BundleContent) -> None:
    releases = {service.name: service.release for service in content.services}
    for index, move in enumerate(content.moves):
        release = releases[move.service]
        if release not in (move.old_release, move.new_release):
            raise MoveError(
                f"$.moves[{index}]: moves from {move.old_release!r} to "
                f"{move.new_release!r}, but {move.service!r} has release {release!r}"
            )
