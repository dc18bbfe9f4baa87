#!/bin/sh
# Builds what the cases 6 to 10 start: the programs that run under a plan. The build of deploy/balancer.toml
# installs requirements.txt only, and these programs need requirements-tools.txt. The stand-ins are plain
# Python with the standard library, in review/common2/, and need no build.
set -e
cd "$(dirname "$0")/.."
test -f review/.venv-2/stamp && exit 0
python3 -m venv --clear review/.venv-2
echo '*' > review/.venv-2/.gitignore
review/.venv-2/bin/pip -q install -r requirements-tools.txt
touch review/.venv-2/stamp
