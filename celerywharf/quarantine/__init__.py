"""Quarantine of prompt parts that crash backend servers."""

from celerywharf.quarantine._gate import PartGate
from celerywharf.quarantine._records import MAX_LOSSES, Loss, PartRecord
from celerywharf.quarantine._register import PartRegister

__all__ = ('MAX_LOSSES', 'Loss', 'PartGate', 'PartRecord', 'PartRegister')
