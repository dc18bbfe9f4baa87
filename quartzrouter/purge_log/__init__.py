"""The durable log of purges: its files, its server process, and the clients that connect to it."""
