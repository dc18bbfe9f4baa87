"""State that routers share, decided without I/O: budgets of a fleet, in shares that run out."""
