"""What client accounts cost: engine time, idle time, bytes between regions."""

from celerywharf.usage.ledgers import (
    Batch,
    EngineUse,
    IdleTime,
    Ledger,
    Line,
    RegionTransfer,
    SharedCost,
    split_idle,
)

__all__ = (
    'Batch',
    'EngineUse',
    'IdleTime',
    'Ledger',
    'Line',
    'RegionTransfer',
    'SharedCost',
    'split_idle',
)
