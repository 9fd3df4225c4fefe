"""Prints the results of two benchmark runs side by side.

Usage: ``make bench-compare A=... B=...`` or ``python -m bench.compare A.json B.json
[--name TEXT]``.
"""

from __future__ import annotations

import argparse
import json
import pathlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterator


def flatten_numbers(value: Any, path: str = "") -> Iterator[tuple[str, float]]:
    """Yield the path and value of each number in a decoded JSON value.

    Parameters
    ----------
    value : Any
        Decoded JSON.
    path : str
        Path of the value itself; keys are joined by dots, list indexes in brackets.
    """
    if isinstance(value, bool):
        return
    if isinstance(value, int | float):
        yield path, float(value)
    elif isinstance(value, dict):
        for key, item in value.items():
            yield from flatten_numbers(item, f"{path}.{key}" if path else str(key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from flatten_numbers(item, f"{path}[{index}]")


def main() -> None:
    """Print one table row for each number in either run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first")
    parser.add_argument("second")
    parser.add_argument(
        "--name", default="", help="print only numbers whose path contains this"
    )
    args = parser.parse_args()
    runs = [json.loads(pathlib.Path(p).read_text()) for p in (args.first, args.second)]
    first, second = (dict(flatten_numbers(run["benches"])) for run in runs)
    commits = [run["commit"] for run in runs]
    print(f"{'figure':<70} {commits[0]:>14} {commits[1]:>14} {'ratio':>8}")
    for name in sorted(first.keys() | second.keys()):
        if args.name not in name:
            continue
        before, after = first.get(name), second.get(name)
        ratio = f"{after / before:.2f}" if before and after is not None else "-"
        print(f"{name[:70]:<70} {_format(before):>14} {_format(after):>14} {ratio:>8}")


def _format(value: float | None) -> str:
    return "-" if value is None else f"{value:g}"


if __name__ == "__main__":
    main()
