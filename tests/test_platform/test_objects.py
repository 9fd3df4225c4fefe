"""Objects of another writer in the answers of the platform's store."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.errors import PlatformError
from marigoldchute.platform.objects import (
    MalformedObject,
    decode_events,
    decode_object,
    decode_page,
)
from tests.support.odd_entries import (
    DEEP,
    ODD_CONTENTS,
    make_events,
    make_object,
    make_page,
)

GOOD = make_object("good", b'{"x": 1}')


class OddEntryTest(unittest.TestCase):
    """One odd entry costs itself only; the others are followed on."""

    def test_entries_beside_an_odd_one_are_listed(self) -> None:
        for content in ODD_CONTENTS:
            with self.subTest(content[:60]):
                body = make_page(GOOD, make_object("odd", content), GOOD)
                page = decode_page(body, "GET")
                self.assertEqual(page.at, 9)
                names = [item.metadata.name for item in page.items]
                self.assertEqual(names, ["good", "odd", "good"])
                self.assertEqual(page.items[0].spec, {"x": 1})
                self.assertEqual(page.items[1].metadata.revision, 5)

    def test_changes_beside_an_odd_one_are_reported(self) -> None:
        for content in ODD_CONTENTS:
            with self.subTest(content[:60]):
                body = make_events(make_object("odd", content), GOOD)
                events = decode_events(body, "GET").events
                self.assertEqual(events[1].object.spec, {"x": 1})
                self.assertEqual(events[0].object.metadata.name, "odd")

    def test_odd_entry_can_be_deleted(self) -> None:
        body = make_events(make_object("odd", DEEP), deleted=b"true")
        (event,) = decode_events(body, "GET").events
        self.assertTrue(event.deleted)
        self.assertEqual(event.object.metadata.name, "odd")

    def test_odd_part_names_its_cause_and_leaves_the_other_parts(self) -> None:
        body = make_object("main", b'{"x": 1}', status=DEEP)
        item = decode_object(body, "GET")
        assert isinstance(item, MalformedObject)
        self.assertEqual((item.spec, item.status), ({"x": 1}, None))
        self.assertIn("status", item.error)
        self.assertNotIn("spec", item.error)

    def test_odd_metadata_costs_the_entry_only(self) -> None:
        odd = (
            make_object("odd", b"{}", revision=b"1e999"),
            make_object("odd", b"{}", revision=b'"five"'),
            make_object("odd", b"{}", revision=b"9" * 40),
            b"7",
            b"[]",
            b"{}",
            b'{"metadata": 7}',
            b'{"metadata": {"name": ["odd"]}}',
            b'{"metadata": {"name": "odd", "finalizers": 5}}',
        )
        for text in odd:
            with self.subTest(text[:60]):
                page = decode_page(make_page(text, GOOD), "GET")
                self.assertEqual(page.items[-1].spec, {"x": 1})

    def test_page_of_odd_entries_is_read(self) -> None:
        objects = [make_object(f"odd-{i}", b"1e999") for i in range(500)]
        page = decode_page(make_page(*objects, GOOD), "GET")
        self.assertEqual(len(page.items), 501)

    def test_error_of_the_wire_is_not_taken_for_one_of_this_node(self) -> None:
        page = decode_page(
            make_page(b'{"metadata": {"name": "a"}, "error": "x"}'), "GET"
        )
        self.assertNotIsInstance(page.items[0], MalformedObject)

    def test_malformed_answer_raises_a_numbered_error(self) -> None:
        bodies = [
            b"",
            b"[]",
            b"{",
            DEEP,
            make_page(GOOD, at=b"0"),
            make_page(GOOD, at=b"1e999"),
            make_page(GOOD)[:-20],
            b'{"items": 5, "at": 3}',
            b'{"events": {}, "at": 3}',
        ]
        for body in bodies:
            for decode in (decode_page, decode_events, decode_object):
                with self.subTest(body[:40], decode=decode.__name__):
                    if decode is decode_events and b"items" in body:
                        continue
                    if decode is decode_page and b"events" in body:
                        continue
                    with self.assertRaises(PlatformError):
                        decode(body, "GET")

    @settings(derandomize=True, max_examples=400, deadline=None)
    @given(st.data())
    def test_any_damage_to_an_answer_raises_no_other_error(
        self, data: st.DataObject
    ) -> None:
        text = data.draw(
            st.sampled_from([make_page(GOOD, GOOD), make_events(GOOD), GOOD])
        )
        start = data.draw(st.integers(0, len(text)))
        end = data.draw(st.integers(start, min(len(text), start + 12)))
        patch = data.draw(
            st.binary(max_size=6) | st.sampled_from([b"1e999", b'"', b"[[", b"}}"])
        )
        body = text[:start] + patch + text[end:]
        for decode in (decode_page, decode_events, decode_object):
            try:
                decode(body, "GET")
            except PlatformError:
                continue
