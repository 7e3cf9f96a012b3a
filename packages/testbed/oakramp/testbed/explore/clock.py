"""Simulated monotonic time that fires no timers by itself: the schedule decides when a timer fires."""

import itertools

from oakramp.common.constants import APPEND_BATCH_DELAY


class Timer:
    """A scheduled call of a process, with the interface of Twisted's delayed calls."""

    def __init__(self, order, due, is_short, function, arguments, named):
        self.order, self.due, self.is_short = order, due, is_short
        self._function, self._arguments, self._named = function, arguments, named
        self._is_active = True

    def active(self):
        return self._is_active

    def cancel(self):
        self._is_active = False

    def getTime(self):
        return self.due

    def fire(self):
        self._is_active = False
        self._function(*self._arguments, **self._named)


class ModelClock:
    """The reactor of one process, on the world's time.

    Invariant: once `stopped`, no timer fires any more."""

    def __init__(self, world):
        self._world = world
        self._order = itertools.count()
        self._timers = []
        self.stopped = False

    def seconds(self):
        return self._world.now

    def callLater(self, delay, function, *arguments, **named):
        due = self._world.now + max(0.0, delay)
        timer = Timer(next(self._order), due, delay <= APPEND_BATCH_DELAY, function, arguments, named)
        self._timers.append(timer)
        return timer

    def next_timer(self):
        """The active timer that is due first, or None."""
        self._timers = [timer for timer in self._timers if timer.active()]
        if self.stopped or not self._timers:
            return None
        return min(self._timers, key=lambda timer: (timer.due, timer.order))

    def fire_short(self):
        """Fires the due timers that were set with at most APPEND_BATCH_DELAY of delay; whether there was one."""
        due = [timer for timer in self._timers if timer.is_short and timer.active() and timer.due <= self._world.now]
        if self.stopped or not due:
            return False
        for timer in due:
            if timer.active():
                timer.fire()
        return True
