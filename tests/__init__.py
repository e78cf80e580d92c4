"""Tests; the folders mirror those of the package."""
