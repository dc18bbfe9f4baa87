"""The configuration language: read, checked, formatted, compared, compiled; see docs/plan.md."""
