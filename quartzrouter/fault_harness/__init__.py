"""A fault-injection harness: fleets of real processes, faulty links and clocks, and a recorded history."""
