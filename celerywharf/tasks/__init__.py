"""Parts: tasks that own their state and communicate by messages."""

from celerywharf.tasks._part import Ask, Part

__all__ = ('Ask', 'Part')
