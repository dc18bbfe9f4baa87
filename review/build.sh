#!/bin/sh
# Builds what the cases start: an environment with the libraries that the project declares for its command
# line (the build of the deploy file installs those of the platform's router only). Cases 1 and 2 need it; they
# exit with 2 without it, and case 3 runs all the same. The stand-ins are Python files that need the standard
# library only; they are compiled here to find mistakes early.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common review/1 review/2 review/3
if ! review/.venv/bin/python -c "import anyio, click, h11, hdrh, lark, msgspec, structlog, uvloop, xxhash" 2>/dev/null; then
    python3 -m venv --clear review/.venv
    review/.venv/bin/pip -q install -r requirements-tools.txt ||
        echo "review/build.sh: requirements-tools.txt could not be installed: cases 1 and 2 can't run" >&2
fi
