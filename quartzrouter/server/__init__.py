"""The real router: FastCGI from clients, HTTP to the caches, the journal service for list and purges."""
