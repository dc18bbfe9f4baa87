"""One real router: python -m quartzrouter, told by NODE_NAME, NODE_LISTEN and NODE_CONFIG."""

import os
import sys

from quartzrouter.net.serve import main

sys.exit(main(os.environ))
