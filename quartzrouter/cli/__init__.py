"""The command line: `quartzrouter ...`.  Exit status 0: well; 1: something is wrong; 2: asked wrongly."""
