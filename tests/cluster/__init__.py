"""Tests of the local cluster and of nodes as processes."""
