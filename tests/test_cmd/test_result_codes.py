"""The page of result codes, checked against the code."""

from __future__ import annotations

import pathlib
import unittest

from marigoldchute.errors import ResultCode

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "RESULT-CODES.md"
MIN_SENTENCE_LENGTH = 8


def read_rows() -> dict[int, tuple[str, str, str]]:
    """Return name, meaning and advice by code; each code stands once."""
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
    def test_each_code_has_a_row_and_each_row_a_code(self) -> None:
        rows = read_rows()
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

    def test_each_row_says_what_it_means_and_what_to_do(self) -> None:
        for code, (name, meaning, advice) in read_rows().items():
            with self.subTest(code=code, name=name):
                self.assertGreaterEqual(len(meaning), MIN_SENTENCE_LENGTH)
                self.assertGreaterEqual(len(advice), MIN_SENTENCE_LENGTH)

    def test_rows_stand_in_order(self) -> None:
        codes = list(read_rows())
        self.assertEqual(codes, sorted(codes))

    def test_class_of_each_code_is_its_exit_status(self) -> None:
        for code in ResultCode:
            with self.subTest(code=code.name):
                self.assertEqual(code.exit_status, code.value // 100)
                self.assertTrue(0 <= code.exit_status <= 7)
