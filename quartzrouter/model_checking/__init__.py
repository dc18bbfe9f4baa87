"""A small model checker: all that can happen, in every order, to the real decisions, up to a bound."""
