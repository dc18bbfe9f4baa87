"""The command line: `quartzrouter ...`.  Exit status 0: success; 1: failure; 2: wrong usage."""
