"""The durable log of purges: its files, its server process, and the processes that connect to it."""
