"""The router process: FastCGI from clients, HTTP to caches, a discovery service for endpoints and purges."""
