"""Tests of the administration API and the command line."""
