"""Replicated records and the overlay of links that carries them."""
