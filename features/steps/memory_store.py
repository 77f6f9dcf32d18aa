"""An in-memory store with fault injection, for focused tests."""

from __future__ import annotations

from peridotmast import clock as clock_
from peridotmast.coordination import objects
from peridotmast.coordination import store_era
from peridotmast import failures


class MemoryStore:
    """Versioned objects with one global revision and injected faults.

    `is_down` fails every call. The other fault counters apply to the next
    writes: `lose_replies` applies a write without a reply, `delay_writes`
    holds it back until `apply_delayed_writes`, `drop_writes` discards it.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 0
        self.is_down = False
        self.lose_replies = 0
        self.delay_writes = 0
        self.drop_writes = 0
        self._delayed = []
        self.calls = 0
        self.era = store_era.StoreEra(clock_.ManualClock())

    def read(self, kind, name):
        self.calls += 1
        if self.is_down:
            return failures.unavailable('no_answer')
        return self.objects.get((kind, name)) or objects.StoredObject(name, 0)

    def list(self, kind):
        self.calls += 1
        if self.is_down:
            return failures.unavailable('no_answer')
        found = [v for (k, _), v in self.objects.items() if k == kind]
        return objects.Listing(found, self.revision)

    def watch(self, kind, since, wait_ms, on_bytes=None):
        self.calls += 1
        if self.is_down:
            return failures.unavailable('no_answer')
        found = [
            v
            for (k, _), v in self.objects.items()
            if k == kind and v.revision > since
        ]
        return objects.Changes(found, self.revision)

    def write(self, kind, name, spec, revision):
        self.calls += 1
        if self.is_down:
            return failures.unknown('no_answer')
        if self.drop_writes:
            self.drop_writes -= 1
            return failures.unknown('no_answer')
        if self.delay_writes:
            self.delay_writes -= 1
            self._delayed.append((kind, name, spec, revision))
            return failures.unknown('no_answer')
        result = self._write(kind, name, spec, revision)
        if self.lose_replies:
            self.lose_replies -= 1
            return failures.unknown('no_answer')
        return result

    def remove(self, kind, name, revision):
        self.calls += 1
        if self.is_down:
            return failures.unknown('no_answer')
        current = self.objects.get((kind, name))
        if current is None or current.revision != revision:
            return failures.conflict('changed')
        self.revision += 1
        del self.objects[kind, name]
        return None

    def apply_delayed_writes(self):
        """Apply the delayed writes whose expected revision still matches."""
        delayed, self._delayed = self._delayed, []
        return [self._write(*write) for write in delayed]

    def _write(self, kind, name, spec, revision):
        current = self.objects.get((kind, name))
        if (current.revision if current else 0) != revision:
            return failures.conflict('changed', name)
        self.revision += 1
        stored = objects.StoredObject(name, self.revision, spec)
        self.objects[kind, name] = stored
        return stored
