"""Stand-ins for the systems around celerywharf, with failure switches.

Each implements one protocol of `docs/PROTOCOLS.md` and runs in its own process:
``python -m standins platform|engine|application|store|model-server|link``.
"""
