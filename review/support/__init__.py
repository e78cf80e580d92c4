"""Helpers shared by the scripts of the review."""
