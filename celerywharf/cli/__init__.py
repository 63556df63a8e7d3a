"""The command line."""

from celerywharf.cli._main import main

__all__ = ('main',)
