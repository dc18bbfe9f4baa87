"""Entry point of ``python -m quartzrouter.drill``."""

import sys

from quartzrouter.drill.host import main

sys.exit(main(sys.stdin.buffer, sys.stdout.buffer))
