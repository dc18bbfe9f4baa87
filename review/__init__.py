"""Cases of an independent review; `REPORT.md` lists them."""
