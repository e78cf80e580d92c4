"""Tests of the operators' API and command line."""
