"""A small model checker: explores all interleavings of the real protocol code, up to a bound."""
