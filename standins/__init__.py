"""Small stand-ins for the systems around celerywharf, with failure switches.

Each speaks one outer protocol of `docs/PROTOCOLS.md` as a process of its own:
``python -m standins platform|engine|application|link``.
"""
