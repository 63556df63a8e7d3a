"""Usage by client account: engine time, idle time, bytes between regions."""

from celerywharf.usage.ledgers import (
    Batch,
    EngineUse,
    IdleTime,
    Ledger,
    RegionTransfer,
    SharedCost,
    UsageLine,
    split_idle,
)

__all__ = (
    'Batch',
    'EngineUse',
    'IdleTime',
    'Ledger',
    'RegionTransfer',
    'SharedCost',
    'UsageLine',
    'split_idle',
)
