"""What the cases 6 to 10 share: stand-ins of clients, caches and links, and the start of the programs."""
