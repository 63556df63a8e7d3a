"""Entry point of ``python -m celerywharf``."""

import sys

from celerywharf.cli import main

sys.exit(main())
