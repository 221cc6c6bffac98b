"""Values by disjoint ranges of keys."""


class Ranges:
    """The entries' ranges, both ends inclusive, never overlap."""

    def __init__(self):
        self.entries = {}

    def cut(self, first, last):
        """Takes the keys out of all entries."""
        kept = {}
        for (low, high), value in self.entries.items():
            if high < first or low > last:
                kept[(low, high)] = value
                continue
            if low < first:
                kept[(low, first - 1)] = value
            if high > last:
                kept[(last + 1, high)] = value
        self.entries = kept

    def assign(self, first, last, value):
        self.cut(first, last)
        self.entries[(first, last)] = value

    def within(self, first, last):
        """The parts of the entries that lie in this range: low, high, value."""
        return [(max(low, first), min(high, last), value)
                for (low, high), value in self.entries.items()
                if low <= last and first <= high]

    def at(self, key):
        """The value for the key; None without one."""
        return next((value for (low, high), value in self.entries.items()
                     if low <= key <= high), None)
