"""The daemon ``fireflyspreadd``."""

__all__ = ["main"]


def main() -> None:
    """Run the daemon; see ``fireflyspread.daemon._main``."""
    # Imported here, because _main sets an environment variable before uvloop is loaded.
    from fireflyspread.daemon._main import main as run

    run()
