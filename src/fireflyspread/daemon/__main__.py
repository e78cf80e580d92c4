"""Runs the daemon: ``python -m fireflyspread.daemon SETTINGS.json``."""

from fireflyspread.daemon._main import main

if __name__ == "__main__":
    main()
