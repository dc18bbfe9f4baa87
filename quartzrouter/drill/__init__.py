"""The bench's wire: lines in, calls to the decisions, lines out."""
