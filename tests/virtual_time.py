"""Event loop in virtual time, for simulations of decision classes."""

import heapq
import itertools


class Events:
    """Queue of function calls that run in the order of their times.

    Calls at the same time run in the order in which they were added.

    Attributes:
        now: virtual time in seconds.
        numbers: sequence numbers, to order calls at the same time.
        heap: pending calls by time.
    """

    def __init__(self):
        self.now = 0
        self.numbers = itertools.count()
        self.heap = []

    def at(self, delay_s, call, *arguments):
        entry = (self.now + delay_s, next(self.numbers), call, arguments)
        heapq.heappush(self.heap, entry)

    def run(self, seconds):
        end_s = self.now + seconds
        while self.heap and self.heap[0][0] <= end_s:
            due_s, _, call, arguments = heapq.heappop(self.heap)
            self.now = due_s
            call(*arguments)
        self.now = end_s
