#!/bin/sh
# Builds what the cases start: an environment with the libraries that the project declares for its command
# line (the build of the deploy file installs those of the platform's router only). The stand-ins are Python
# files that need the standard library only; they are compiled here to find mistakes early.
set -eu
cd "$(dirname "$0")/.."
if ! review/.venv/bin/python -c "import click, lark, msgspec, structlog, xxhash" 2>/dev/null; then
    python3 -m venv --clear review/.venv
    review/.venv/bin/pip -q install -r requirements-tools.txt
fi
python3 -m compileall -q review/common review/1 review/2 review/3
