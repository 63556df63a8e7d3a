"""Generations that survive failures of engines and hosts.

A caller receives every token exactly once, from one consistent text.
"""

from celerywharf.generations._generations import Generations
from celerywharf.generations._handlers import GENERATION_ROUTES

__all__ = ('GENERATION_ROUTES', 'Generations')
