"""The standalone router, which is configured by a plan: `quartzrouter run PLAN`."""
