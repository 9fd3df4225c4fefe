"""Tests of the lookup of customers by the digests of their keys."""

from __future__ import annotations

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.bundle.customer_keys import digest_key
from marigoldchute.bundle.model import Customer
from marigoldchute.routing import customer_table
from marigoldchute.routing.customer_table import CustomerTable


def make_customer(name: str, *keys: bytes) -> Customer:
    return Customer(name, tuple(digest_key(key) for key in keys))


class LookupTest(unittest.TestCase):
    def test_each_key_finds_its_customer_and_no_other_does(self) -> None:
        table = CustomerTable(
            (make_customer("a", b"1", b"2"), make_customer("b", b"3"))
        )
        found = [table.find(digest_key(key)) for key in (b"1", b"2", b"3")]
        self.assertEqual([c.name if c else None for c in found], ["a", "a", "b"])
        self.assertIsNone(table.find(digest_key(b"4")))
        self.assertIsNone(table.find(bytes(16)))

    def test_key_of_two_customers_identifies_neither(self) -> None:
        """Its requests would otherwise run under the name of a wrong customer."""
        table = CustomerTable(
            (make_customer("a", b"1", b"2"), make_customer("b", b"1", b"3"))
        )
        self.assertIsNone(table.find(digest_key(b"1")))
        self.assertIsNotNone(table.find(digest_key(b"2")))
        self.assertIsNotNone(table.find(digest_key(b"3")))
        self.assertEqual(table.shared_by, {"a", "b"})

    def test_key_listed_twice_by_one_customer_is_valid(self) -> None:
        table = CustomerTable((make_customer("a", b"1", b"1"),))
        self.assertIsNotNone(table.find(digest_key(b"1")))
        self.assertFalse(table.shared_by)

    @settings(deadline=None)
    @given(st.sets(st.binary(min_size=1, max_size=40), max_size=30), st.binary())
    def test_exactly_the_listed_keys_are_found(
        self, keys: set[bytes], other: bytes
    ) -> None:
        table = CustomerTable((make_customer("a", *sorted(keys)),))
        for key in keys:
            self.assertIsNotNone(table.find(digest_key(key)))
        self.assertEqual(table.find(digest_key(other)) is not None, other in keys)


class LookupCostTest(unittest.TestCase):
    """The time of a lookup must not tell anything about the keys."""

    def test_every_lookup_does_one_comparison_whatever_the_number_of_keys(
        self,
    ) -> None:
        for count in (1, 82, 5_000):
            keys = [b"key-%d" % number for number in range(count)]
            table = CustomerTable((make_customer("a", *keys),))
            compare = mock.Mock(wraps=customer_table.hmac.compare_digest)
            with mock.patch.object(customer_table.hmac, "compare_digest", compare):
                for key in (keys[0], keys[-1], b"unknown", keys[0] + b"x"):
                    compare.reset_mock()
                    table.find(digest_key(key))
                    compare.assert_called_once()
                    lengths = {len(arg) for arg in compare.call_args.args}
                    self.assertEqual(lengths, {16})


class ReuseTest(unittest.TestCase):
    def test_table_is_rebuilt_only_for_changed_customers(self) -> None:
        """A table of 100,000 keys takes tens of milliseconds to build."""
        first, second = make_customer("a", b"1"), make_customer("b", b"2")
        table = CustomerTable((first, second))
        self.assertTrue(table.has_customers((first, second)))
        self.assertFalse(table.has_customers((first,)))
        self.assertFalse(table.has_customers((first, make_customer("b", b"3"))))
