"""Tests of docs/PROOFS.md and of the results that the proofs tool reports."""

from __future__ import annotations

import importlib
import pathlib
import unittest

from tools.proofs import describe_run, has_passed, parse_proofs_page
from tools.run_shard import ShardResult
from tools.run_tests import ShardRun

PROOFS_PATH = pathlib.Path(__file__).parents[2] / "docs" / "PROOFS.md"
GUARANTEE_COUNT = 11


class ProofPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.guarantees, self.proofs = parse_proofs_page(
            PROOFS_PATH.read_text(encoding="utf-8")
        )

    def test_guarantees_are_listed_once_and_in_order(self) -> None:
        numbers = [guarantee.number for guarantee in self.guarantees]
        self.assertEqual(numbers, list(range(1, GUARANTEE_COUNT + 1)))

    def test_states_match_the_listed_proofs(self) -> None:
        numbers_with_proof = {proof.guarantee_number for proof in self.proofs}
        for guarantee in self.guarantees:
            with self.subTest(guarantee=guarantee.number):
                has_proof = guarantee.number in numbers_with_proof
                self.assertEqual(has_proof, guarantee.state != "not proved")
                if guarantee.state == "proved":
                    self.assertEqual(guarantee.missing, "")

    def test_each_proof_refers_to_an_existing_test(self) -> None:
        for proof in self.proofs:
            with self.subTest(test=proof.test):
                target = None
                parts = proof.test.split(".")
                for size in range(2, len(parts) + 1):
                    name = ".".join(parts[:size])
                    if target is not None and hasattr(target, parts[size - 1]):
                        target = getattr(target, parts[size - 1])
                    else:
                        target = importlib.import_module(name)
                self.assertIsNotNone(target)

    def test_unknown_state_raises_value_error(self) -> None:
        with self.assertRaises(ValueError):
            parse_proofs_page("| 1 | A guarantee. | nearly | |")


class RunResultTest(unittest.TestCase):
    def test_only_a_run_with_passes_and_no_failure_has_passed(self) -> None:
        names = ("tests.a",)
        passing_run = ShardRun(names, "", ShardResult(2, 0))
        self.assertTrue(has_passed(passing_run))
        self.assertEqual(describe_run(passing_run), "2 passed, 0 failed")
        failed_runs = [
            ShardRun(names, "", ShardResult(2, 1)),
            ShardRun(names, "", ShardResult(0, 0)),
            ShardRun(names, "", ShardResult(2, 0, known=("a",))),
            ShardRun(names, "", None, "exited without a result"),
            ShardRun(names, "", ShardResult(2, 0), "exited with status 3"),
        ]
        for run in failed_runs:
            with self.subTest(run=run):
                self.assertFalse(has_passed(run))
