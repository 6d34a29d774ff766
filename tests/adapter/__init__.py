"""Tests of the adapter in platform/, which is imported from the checkout."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PLATFORM = ROOT / "platform"

if str(PLATFORM) not in sys.path:
    sys.path.append(str(PLATFORM))
