"""Tests of the journal, membership and takeover."""
