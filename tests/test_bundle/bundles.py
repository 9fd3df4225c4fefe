"""Bundle contents for tests, and the Hypothesis strategy that generates them."""

from __future__ import annotations

from hypothesis import strategies as st

from marigoldchute.bundle.model import BundleContent, Move, Route, Service, Step

STEPS = (Step(0.1, 100), Step(1.0, 0))


def make_move(move_id: str = "turnos-r2", **changes: object) -> Move:
    values = {
        "service": "turnos",
        "old_release": "r1",
        "new_release": "r2",
        "start_ms": 1_000,
        "deadline_ms": 60_000,
        "steps": STEPS,
    }
    return Move(move_id, **(values | changes))  # type: ignore[arg-type]


def make_content(release: str = "r1", *moves: Move) -> BundleContent:
    return BundleContent(
        (Service("turnos", release), Service("reservas", "r1")),
        (
            Route("turnos", "/turnos", "turnos"),
            Route("reservas", "/reservas", "reservas"),
        ),
        moves,
    )


@st.composite
def bundle_contents(draw: st.DrawFn) -> BundleContent:
    """Generate valid contents with up to 5 services and 40 routes."""
    count = draw(st.integers(1, 5))
    services = tuple(
        Service(
            f"s{i}",
            "r1",
            depends_on=tuple(f"s{j}" for j in range(i) if draw(st.booleans())),
        )
        for i in range(count)
    )
    routes = tuple(
        Route(f"route-{i}", f"/p{i}", f"s{draw(st.integers(0, count - 1))}")
        for i in range(draw(st.integers(0, 40)))
    )
    moves = tuple(
        make_move(f"m{i}", service=f"s{i}") for i in range(count) if draw(st.booleans())
    )
    return BundleContent(
        tuple(draw(st.permutations(services))),
        tuple(draw(st.permutations(routes))),
        moves,
    )
