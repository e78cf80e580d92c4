"""Tests mirror the package."""
