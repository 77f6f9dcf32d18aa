"""The platform's objects in memory, for tests with a manual clock."""

from __future__ import annotations

from peridotmast import failures
from peridotmast import ids
from peridotmast.platform import object_store


class Objects:
    """What all stores of one test share."""

    def __init__(self):
        self.values = {}
        self.version = 0
        self.out = False
        self.lose_replies = 0
        """Writes from now on that take effect without a reply."""
        self.drop_writes = 0
        """Writes from now on that are lost before they take effect."""


class MemoryStore(object_store.ObjectStore):
    """A store over `Objects`; its pauses move the manual clock."""

    def __init__(self, objects, clock):
        super().__init__('127.0.0.1:1', 1000, clock)
        self.objects = objects
        self.after_get = lambda key: None
        """Called between an update's read and its write."""

    def get(self, key):
        if self.objects.out:
            return failures.unavailable('no_answer')
        version, value = self.objects.values.get(key, (0, None))
        self.after_get(key)
        return object_store.Stored(key, ids.Version(version), value)

    def put(self, key, value, version):
        objects = self.objects
        if objects.out:
            return failures.unknown('no_answer')
        if objects.drop_writes:
            objects.drop_writes -= 1
            return failures.unknown('no_answer')
        if objects.values.get(key, (0, None))[0] != version:
            return failures.conflict('changed', key)
        objects.version += 1
        objects.values[key] = (objects.version, value)
        if objects.lose_replies:
            objects.lose_replies -= 1
            return failures.unknown('no_answer')
        return object_store.Stored(key, ids.Version(objects.version), value)

    def _pause(self, ms):
        self._clock.advance(max(1, int(ms)))
