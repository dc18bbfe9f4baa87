"""Which purges are done, where they are done out of order."""


class SequenceProgress:
    """Sequence numbers that are done: all up to one, and some beyond it."""

    def __init__(self) -> None:
        self.up_to = 0
        self.out_of_order: set[int] = set()

    def add(self, sequence_number: int, *, covers_all_before: bool = False) -> None:
        """Records that one is done.

        :param covers_all_before: it stands for every purge before it, as one of everything does.
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
        """Whether one is done."""
        return sequence_number <= self.up_to or sequence_number in self.out_of_order

    def restart_from(self, sequence_number: int) -> None:
        """Records that exactly those up to a sequence number are done."""
        self.up_to = sequence_number
        self.out_of_order.clear()
