"""Quarantine of requests and prompt parts that crash backend servers."""

from celerywharf.quarantine._gate import QuarantineGate
from celerywharf.quarantine._records import MAX_LOSSES, Loss, LossRecord
from celerywharf.quarantine._register import LossRegister
from celerywharf.quarantine._traits import describe, is_request, request_trait

__all__ = (
    'MAX_LOSSES',
    'Loss',
    'LossRecord',
    'LossRegister',
    'QuarantineGate',
    'describe',
    'is_request',
    'request_trait',
)
