"""Stand-ins for the parties around a router, on loopback: for tests and rehearsals."""
