"""One real router: python -m quartzrouter, told by NODE_NAME, NODE_LISTEN and NODE_CONFIG."""

import os
import sys

from quartzrouter.signals import Signals

signals = Signals().__enter__()  # to the end, and ahead of imports that take 0.1 s

from quartzrouter.server.process import main  # noqa: E402

status = main(os.environ, signals)
signals.ignore()
sys.exit(status)
