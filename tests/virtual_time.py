"""Events in virtual time, for model runs of decision classes."""

import heapq
import itertools


class Events:
    """Calls functions in the order of their times, in seconds."""

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
