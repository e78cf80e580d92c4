"""See docs/design.md."""
