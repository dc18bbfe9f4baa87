"""Runs the command line: `python -m quartzrouter.cli`."""

from quartzrouter.cli.main import main

main()
