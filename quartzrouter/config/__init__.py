"""The plan language: parsing, checks, formatting, comparison and compilation; see docs/plan.md."""
