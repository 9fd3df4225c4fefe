"""Bundles: model, validation, sign-off and the one in force."""
