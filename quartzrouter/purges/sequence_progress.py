"""Tracking of purges that are completed out of order."""


class SequenceProgress:
    """The completed sequence numbers: all up to ``up_to``, and some after it in ``out_of_order``."""

    def __init__(self) -> None:
        self.up_to = 0
        self.out_of_order: set[int] = set()

    def add(self, sequence_number: int, *, covers_all_before: bool = False) -> None:
        """Records that a sequence number is completed.

        :param covers_all_before: True if it replaces every purge before it, as a full purge does.
        """
        if covers_all_before:
            self.up_to = max(self.up_to, sequence_number)
            self.out_of_order = {number for number in self.out_of_order if number > self.up_to}
        elif sequence_number > self.up_to:
            self.out_of_order.add(sequence_number)
        while self.up_to + 1 in self.out_of_order:
            self.up_to += 1
            self.out_of_order.remove(self.up_to)

    def includes(self, sequence_number: int) -> bool:
        """Returns True if a sequence number is completed."""
        return sequence_number <= self.up_to or sequence_number in self.out_of_order

    def restart_from(self, sequence_number: int) -> None:
        """Records that exactly the numbers up to a sequence number are completed."""
        self.up_to = sequence_number
        self.out_of_order.clear()
