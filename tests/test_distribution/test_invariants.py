"""Invariant checker of event logs: it reports each kind of violation."""

from __future__ import annotations

import dataclasses
import unittest
from typing import Any

from marigoldchute.bundle.codec import chunk_digest, split_content
from marigoldchute.bundle.model import Bundle, BundleContent, Route, Service
from marigoldchute.bundle.signing import (
    derive_public_key,
    generate_private_key,
    sign_manifest,
)
from marigoldchute.distribution.audit import audit_fields
from tests.support.invariants import IN_FORCE, find_violations

CONTENT = BundleContent(
    (Service("turnos", "r1"), Service("reservas", "r1")),
    (Route("turnos", "/turnos", "turnos"), Route("reservas", "/reservas", "reservas")),
)


class InvariantTest(unittest.TestCase):
    def setUp(self) -> None:
        self.private_key = generate_private_key()
        self.keys = {"ops-1": derive_public_key(self.private_key)}

    def bundle(self, version: int, content: BundleContent = CONTENT) -> Bundle:
        chunks = [chunk_digest(chunk) for chunk in split_content(content)]
        manifest = sign_manifest(version, chunks, "ops-1", self.private_key, "ana", "t")
        return Bundle(manifest, content)

    def in_force(self, bundle: Bundle, process: str = "vm-1") -> dict[str, Any]:
        fields = audit_fields(bundle)
        return {"message_type": IN_FORCE, "process": process, **fields}

    def violations(self, *events: dict[str, Any]) -> list[str]:
        return find_violations(events, self.keys)

    def test_increasing_versions_and_a_restart_are_accepted(self) -> None:
        first, second = self.bundle(1), self.bundle(2)
        events = [self.in_force(b, p) for p in ("a", "b") for b in (first, second)]
        restarted = self.in_force(second, "a")
        self.assertEqual(self.violations(*events, restarted), [])

    def test_lower_version_after_a_higher_one_is_reported(self) -> None:
        events = [self.in_force(self.bundle(v)) for v in (2, 1)]
        self.assertEqual(
            self.violations(*events), ["vm-1: version 1 is in force after version 2"]
        )

    def test_different_bundles_with_one_version_are_reported(self) -> None:
        other = BundleContent(CONTENT.services, CONTENT.routes[:1])
        events = [
            self.in_force(self.bundle(1), "a"),
            self.in_force(self.bundle(1, other), "b"),
        ]
        self.assertEqual(
            self.violations(*events), ["b: version 1 differs from another node's"]
        )

    def test_content_that_differs_from_the_signed_digest_is_reported(self) -> None:
        complete = self.bundle(1)
        partial = BundleContent(CONTENT.services[:1], CONTENT.routes[:1])
        event = self.in_force(dataclasses.replace(complete, content=partial))
        self.assertEqual(
            self.violations(event),
            ["vm-1: version 1 holds other content than was signed off"],
        )

    def test_route_to_a_missing_service_is_reported(self) -> None:
        event = self.in_force(
            self.bundle(1, BundleContent(CONTENT.services[:1], CONTENT.routes))
        )
        self.assertEqual(
            self.violations(event),
            ["vm-1: version 1 routes to ['reservas'], which it lacks"],
        )

    def test_invalid_signature_and_unknown_key_are_reported(self) -> None:
        event = self.in_force(self.bundle(1)) | {"signature": "00" * 64}
        self.assertEqual(self.violations(event), ["vm-1: version 1 is not signed off"])
        event = self.in_force(self.bundle(1)) | {"key_id": "other"}
        self.assertIn("unknown key 'other'", self.violations(event)[0])
