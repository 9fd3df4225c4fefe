"""Division of JSON text into parts that are decoded one by one."""

from __future__ import annotations

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.util.json_parts import split_array, split_object

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner)
    ),
    max_leaves=12,
)


class SplitTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.lists(VALUES, max_size=5), st.booleans())
    def test_parts_of_an_array_decode_to_its_elements(
        self, values: list[object], ascii_only: bool
    ) -> None:
        text = json.dumps(values, ensure_ascii=ascii_only, indent=1).encode()
        self.assertEqual([json.loads(part) for part in split_array(text)], values)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.dictionaries(st.text(max_size=6), VALUES, max_size=5))
    def test_parts_of_an_object_decode_to_its_members(
        self, value: dict[str, object]
    ) -> None:
        parts = split_object(json.dumps(value).encode())
        self.assertEqual({k: json.loads(part) for k, part in parts.items()}, value)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=40))
    def test_any_bytes_are_split_or_rejected(self, text: bytes) -> None:
        for split in (split_array, split_object):
            for opening in (b"", b"[", b"{"):
                try:
                    split(opening + text)
                except ValueError:
                    continue

    def test_deeply_nested_element_does_not_hide_the_others(self) -> None:
        deep = b"[" * 200_000 + b"]" * 200_000
        parts = split_array(b"[1, " + deep + b', "],[", 2]')
        self.assertEqual([parts[0], parts[2], parts[3]], [b"1", b' "],["', b" 2"])

    def test_text_that_ends_early_is_rejected(self) -> None:
        for text in (b"", b"[", b"[1,", b"[[1]", b"5", b"{}"):
            with self.subTest(text), self.assertRaises(ValueError):
                split_array(text)
