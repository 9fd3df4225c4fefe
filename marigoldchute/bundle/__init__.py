"""Bundles: model, encoding, validation, signing and the bundle in force."""
