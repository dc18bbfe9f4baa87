"""quartzrouter: a request router for caches that fill from parent caches and an origin."""

__version__ = "0.2.0"
