"""Runs one router: ``python -m quartzrouter``, configured by NODE_NAME, NODE_LISTEN and NODE_CONFIG."""

import os
import sys

from quartzrouter.signals import Signals

# Handled until the process's end, and ahead of imports that take 0.1 s: a reload that came meanwhile
# ended the process by the system's default.
signals = Signals().__enter__()

from quartzrouter.server.process import main  # noqa: E402

status = main(os.environ, signals)
signals.ignore()
sys.exit(status)
