"""The command line interface."""

from celerywharf.cli._main import main

__all__ = ('main',)
