"""Bundle and key files: parsing, checking and signing."""

from __future__ import annotations

import pathlib
import unittest
from typing import Any

import msgspec

from marigoldchute.bundle.codec import decode_manifest
from marigoldchute.bundle.signing import (
    SignatureVerifier,
    derive_public_key,
    generate_private_key,
)
from marigoldchute.bundle.signoff import (
    BuiltBundle,
    KeyFile,
    is_signed_bundle,
    parse_bundle_content,
    parse_key_file,
    parse_signed_bundle,
    sign_content,
)
from marigoldchute.config import TrustedKey
from marigoldchute.errors import BundleError, ResultCode, SettingsError
from marigoldchute.util.jsonc import load_file

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
NOW_MS = 1_000_000
SOURCE: dict[str, Any] = {
    "services": [{"name": "turnos", "release": "r1"}],
    "routes": [{"name": "turnos", "path_prefix": "/turnos", "service": "turnos"}],
}


def new_key() -> KeyFile:
    private_key = generate_private_key()
    return KeyFile("ops-1", private_key, derive_public_key(private_key))


def to_json(value: Any) -> Any:
    return msgspec.json.decode(msgspec.json.encode(value))


class ContentTest(unittest.TestCase):
    def test_example_bundles_are_valid(self) -> None:
        moves = {"foundation": "turnos-2026.12", "hanbit": "certification-v19"}
        for name, move_id in moves.items():
            with self.subTest(name=name):
                path = str(EXAMPLES / name / "bundle.json")
                content = parse_bundle_content(load_file(path), path, NOW_MS)
                self.assertEqual([m.move_id for m in content.moves], [move_id])
                self.assertGreater(content.moves[0].deadline_ms, NOW_MS)
                self.assertEqual(sum(s.internal for s in content.services), 2)

    def test_times_of_a_built_file_do_not_depend_on_the_clock(self) -> None:
        path = str(EXAMPLES / "hanbit" / "bundle.json")
        built = parse_bundle_content(load_file(path), path, NOW_MS)
        reloaded = parse_bundle_content(
            to_json(BuiltBundle(built)), "built.json", NOW_MS * 2
        )
        self.assertEqual(reloaded, built)

    def test_time_limit_argument_replaces_the_one_of_the_file(self) -> None:
        path = str(EXAMPLES / "foundation" / "bundle.json")
        content = parse_bundle_content(load_file(path), path, NOW_MS, 90_000)
        move = content.moves[0]
        self.assertEqual(move.deadline_ms - move.start_ms, 90_000)

    def test_unknown_key_is_refused_with_a_suggestion(self) -> None:
        route = SOURCE["routes"][0] | {"path_prefx": "/x"}
        with self.assertRaises(BundleError) as caught:
            parse_bundle_content(SOURCE | {"routes": [route]}, "b.json", NOW_MS)
        self.assertIn(
            "b.json: $.routes[0]: unknown key 'path_prefx'; "
            "did you mean 'path_prefix'?",
            caught.exception.message,
        )

    def test_route_to_a_missing_service_is_refused_with_its_code(self) -> None:
        with self.assertRaises(BundleError) as caught:
            parse_bundle_content(SOURCE | {"services": []}, "b.json", NOW_MS)
        self.assertIs(caught.exception.code, ResultCode.BUNDLE_REFERENCE_MISSING)
        self.assertIn("b.json: ", caught.exception.message)


class SignTest(unittest.TestCase):
    def test_signed_bundle_is_verified_with_its_key_and_equal_after_reloading(
        self,
    ) -> None:
        key = new_key()
        request = sign_content(
            parse_bundle_content(SOURCE, "b.json", NOW_MS), 7, key, "an operator"
        )
        value = to_json(request)
        self.assertTrue(is_signed_bundle(value))
        self.assertEqual(parse_signed_bundle(value, "signed.json"), request)
        manifest = decode_manifest(request.manifest)
        SignatureVerifier([TrustedKey(key.key_id, key.public_key)]).verify(manifest)
        self.assertEqual((manifest.version, manifest.author), (7, "an operator"))

    def test_malformed_signed_file_is_refused(self) -> None:
        for value in ({"manifest": 1}, {"manifest": "AA=="}, {"manifest": "?"}):
            with self.subTest(value=value), self.assertRaises(BundleError):
                parse_signed_bundle(value, "signed.json")


class KeyFileTest(unittest.TestCase):
    def test_key_file_is_equal_after_reloading(self) -> None:
        key = new_key()
        self.assertEqual(parse_key_file(to_json(key), "key.json"), key)

    def test_mismatched_key_pair_is_refused(self) -> None:
        mismatched = to_json(new_key()) | {"public_key": new_key().public_key}
        with self.assertRaises(SettingsError) as caught:
            parse_key_file(mismatched, "key.json")
        self.assertIn("does not belong", caught.exception.message)

    def test_key_that_is_not_32_bytes_is_refused(self) -> None:
        for text in ("AAAA", "not base64", ""):
            invalid_key = to_json(new_key()) | {"private_key": text}
            with self.subTest(text=text), self.assertRaises(SettingsError) as caught:
                parse_key_file(invalid_key, "key.json")
            self.assertIn("key.json: $.private_key", caught.exception.message)
