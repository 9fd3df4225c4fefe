"""The page of proofs."""

from __future__ import annotations

import importlib
import pathlib
import unittest

from tools.proofs import describe, has_passed, read_page
from tools.run_shard import ShardResult
from tools.run_tests import ShardRun

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "PROOFS.md"
PROMISES = 11


class ProofPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.promises, self.proofs = read_page(PAGE.read_text(encoding="utf-8"))

    def test_each_promise_stands_once_in_order(self) -> None:
        numbers = [promise.number for promise in self.promises]
        self.assertEqual(numbers, list(range(1, PROMISES + 1)))

    def test_state_fits_the_proofs(self) -> None:
        proved = {proof.number for proof in self.proofs}
        for promise in self.promises:
            with self.subTest(promise=promise.number):
                has_proof = promise.number in proved
                self.assertEqual(has_proof, promise.state != "not proved")
                if promise.state == "proved":
                    self.assertEqual(promise.missing, "")

    def test_each_proof_names_a_test_that_exists(self) -> None:
        for proof in self.proofs:
            with self.subTest(test=proof.test):
                place = None
                parts = proof.test.split(".")
                for size in range(2, len(parts) + 1):
                    name = ".".join(parts[:size])
                    if place is not None and hasattr(place, parts[size - 1]):
                        place = getattr(place, parts[size - 1])
                    else:
                        place = importlib.import_module(name)
                self.assertIsNotNone(place)

    def test_unknown_state_is_refused(self) -> None:
        with self.assertRaises(ValueError):
            read_page("| 1 | A promise. | nearly | |")


class VerdictTest(unittest.TestCase):
    def test_only_a_run_without_a_failure_holds(self) -> None:
        names = ("tests.a",)
        good = ShardRun(names, "", ShardResult(2, 0))
        self.assertTrue(has_passed(good))
        self.assertEqual(describe(good), "2 passed, 0 failed")
        bad = [
            ShardRun(names, "", ShardResult(2, 1)),
            ShardRun(names, "", ShardResult(0, 0)),
            ShardRun(names, "", ShardResult(2, 0, known=("a",))),
            ShardRun(names, "", None, "ended without a result"),
            ShardRun(names, "", ShardResult(2, 0), "ended with status 3"),
        ]
        for run in bad:
            with self.subTest(run=run):
                self.assertFalse(has_passed(run))
