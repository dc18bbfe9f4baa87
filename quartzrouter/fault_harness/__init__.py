"""The fleet stand: many real processes, links and clocks between them that misbehave, and one history."""
