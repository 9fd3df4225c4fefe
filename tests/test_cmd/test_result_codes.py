"""Consistency of docs/RESULT-CODES.md with the result codes in errors.py."""

from __future__ import annotations

import pathlib
import unittest

from marigoldchute.errors import ResultCode

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "RESULT-CODES.md"
MIN_CELL_LENGTH = 8


def read_code_rows() -> dict[int, tuple[str, str, str]]:
    """Return name, meaning and advice by code; raise if a code occurs twice."""
    rows: dict[int, tuple[str, str, str]] = {}
    for line in PAGE.read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) != 4 or not cells[0].isdigit() or not cells[1].isupper():
            continue
        code = int(cells[0])
        if code in rows:
            raise AssertionError(f"{PAGE.name} has code {code} twice")
        rows[code] = (cells[1], cells[2], cells[3])
    return rows


class ResultCodePageTest(unittest.TestCase):
    def test_rows_and_result_codes_match(self) -> None:
        rows = read_code_rows()
        for code in ResultCode:
            with self.subTest(code=code.name):
                if code.value not in rows:
                    self.fail(
                        f"add a row to docs/{PAGE.name}: | {code.value} | {code.name} "
                        "| meaning, one sentence | what the operator or caller does |"
                    )
                self.assertEqual(rows[code.value][0], code.name)
        self.assertEqual(
            sorted(rows.keys() - set(ResultCode)),
            [],
            f"docs/{PAGE.name} has codes that errors.py lacks",
        )

    def test_each_row_has_a_meaning_and_an_advice(self) -> None:
        for code, (name, meaning, advice) in read_code_rows().items():
            with self.subTest(code=code, name=name):
                self.assertGreaterEqual(len(meaning), MIN_CELL_LENGTH)
                self.assertGreaterEqual(len(advice), MIN_CELL_LENGTH)

    def test_rows_are_in_ascending_order(self) -> None:
        codes = list(read_code_rows())
        self.assertEqual(codes, sorted(codes))

    def test_exit_status_is_class_of_code(self) -> None:
        for code in ResultCode:
            with self.subTest(code=code.name):
                self.assertEqual(code.exit_status, code.value // 100)
                self.assertTrue(0 <= code.exit_status <= 7)
