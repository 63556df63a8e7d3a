"""Generations: complete, once and unmixed through failures."""

from celerywharf.generations._handlers import GENERATION_ROUTES
from celerywharf.generations._part import Generations

__all__ = ('GENERATION_ROUTES', 'Generations')
