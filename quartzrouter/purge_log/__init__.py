"""The ledger of purges: its log on a disk, its service, and those who connect to it."""
