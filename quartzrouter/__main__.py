"""Runs one router: ``python -m quartzrouter``, configured by NODE_NAME, NODE_LISTEN and NODE_CONFIG."""

import os
import sys

from quartzrouter.signals import Signals

# Signals are handled until the end of the process, and from before the imports, which take 0.1 s: the default
# action of a SIGHUP that arrived during the imports ended the process.
signals = Signals().__enter__()

from quartzrouter.server.process import main  # noqa: E402

status = main(os.environ, signals)
signals.ignore()
sys.exit(status)
