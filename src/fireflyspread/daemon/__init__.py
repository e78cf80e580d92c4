"""The daemon ``fireflyspreadd``."""

__all__ = ["main"]


def main() -> None:
    """Run the daemon; see ``fireflyspread.daemon._main``."""
    # Imported late: the entry point must set the environment before uvloop is loaded.
    from fireflyspread.daemon._main import main as run

    run()
