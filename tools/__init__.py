"""Load tool, benchmarks and the local run; not part of the shipped package."""
