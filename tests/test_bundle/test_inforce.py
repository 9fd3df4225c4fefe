"""Replacement of the bundle in force by higher versions only."""

from __future__ import annotations

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldchute.bundle.inforce import InForce
from marigoldchute.bundle.model import Bundle, BundleContent, Manifest


def _bundle(version: int) -> Bundle:
    manifest = Manifest(version, (), "", "", b"")
    return Bundle(manifest, BundleContent((), ()))


class InForceTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=100)
    @given(st.lists(st.integers(1, 20), max_size=30))
    def test_version_in_force_never_decreases(self, versions: list[int]) -> None:
        in_force = InForce()
        versions_in_force = [0]
        in_force.add_swap_listener(
            lambda bundle: versions_in_force.append(bundle.version)
        )
        for version in versions:
            in_force.swap(_bundle(version))
        self.assertEqual(versions_in_force, sorted(set(versions_in_force)))
        self.assertEqual(in_force.version, max(versions, default=0))
