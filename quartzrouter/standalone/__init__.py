"""A router under a plan, in an installation of our own: `quartzrouter run PLAN`."""
