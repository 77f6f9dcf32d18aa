"""The configuration in force at one node: its version only grows."""

from __future__ import annotations

import typing as ty

from peridotmast import failures
from peridotmast import findings as findings_
from peridotmast import ids
from peridotmast import ini
from peridotmast import invariants as invariants_
from peridotmast.platform import object_store
from peridotmast.schema import peridotmast_pb2 as pb

CONFIG_KEY = 'config/current'
HISTORY_PREFIX = 'config/history/'
_PATIENCE_MS = 4000

Listener = ty.Callable[[pb.Config], None]


class ConfigFeed:
    """Takes configuration from the platform and from peers.

    Parameters
    ----------
    store : object_store.ObjectStore
        The platform's objects.
    checks : invariants.Invariants
        Where a reversal would be reported.
    """

    def __init__(
        self,
        store: object_store.ObjectStore,
        checks: invariants_.Invariants,
    ) -> None:
        self._store = store
        self._checks = checks
        self._listeners: list[Listener] = []
        self.version = ids.Version(0)
        """Version in force; 0 before the first."""
        self.document = b''
        """The `pb.ConfigObject` in force, as stored."""
        self.config = pb.Config()
        """The configuration in force."""
        self.history: list[ids.Version] = []
        """Versions that were in force here, in order."""

    def listen(self, listener: Listener) -> None:
        """Call `listener` with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(self, version: int, document: bytes) -> bool:
        """Put a version into force where it is newer than the one in force.

        A stale read or a stale peer offers an older one; it is ignored.
        """
        if version <= self.version:
            return False
        stored = pb.ConfigObject.FromString(document)
        config, found = ini.load_text(stored.document, pb.Config)
        if found:
            return False
        self._checks.check(
            invariants_.Promise.CONFIG_GROWS,
            version > max(self.history, default=0),
            f'{version} after {self.version}',
        )
        self.version = ids.Version(version)
        self.document = document
        self.config = config
        self.history = [*self.history[-99:], self.version]
        for listener in self._listeners:
            listener(config)
        return True

    def refresh(self) -> bool:
        """Read the platform's version; say whether it came into force."""
        found = self._store.get(CONFIG_KEY)
        if isinstance(found, failures.Failure) or found.value is None:
            return False
        return self.offer(found.version, found.value)

    def commit(
        self, document: str, base_version: int, by: str, comment: str, at: int
    ) -> ty.Union[object_store.Stored, failures.Failure]:
        """Commit `document` where the version is still `base_version`.

        Returns
        -------
        Stored or Failure
            A conflict where another change came first; an unknown outcome
            where the platform's reply was lost and could not be read back.
        """
        nonce = f'{by}:{at}:{base_version}:{id(document)}'
        value = pb.ConfigObject(
            document=document, by=by, comment=comment, at_ms=at, nonce=nonce
        ).SerializeToString()

        def change(
            current: object_store.Stored,
        ) -> ty.Union[bytes, failures.Failure, None]:
            if current.value == value:
                return None
            if current.version != base_version:
                return failures.conflict('config_changed', '')
            return value

        result = self._store.update(CONFIG_KEY, change, _PATIENCE_MS)
        if not isinstance(result, failures.Failure):
            self.offer(result.version, value)
            self._keep_history(result.version, by, comment, at)
        return result

    def _keep_history(
        self, version: int, by: str, comment: str, at: int
    ) -> None:
        entry = pb.ConfigHistoryReply.Change(
            version=version, by=by, comment=comment, at_ms=at
        )
        # One object as a ring of the last changes; losing one line of it
        # in an outage loses nothing that is in force.
        self._store.update(
            HISTORY_PREFIX + 'recent',
            lambda current: _append(current, entry),
            500,
        )


def check(document: str) -> tuple[pb.Config, findings_.Findings]:
    """Read a configuration document and check that its parts fit together."""
    config, found = ini.load_text(document, pb.Config)
    models = {model.name for model in config.models}
    for event in config.events:
        if event.model not in models:
            found.add(f'[event {event.name}]', f'unknown model {event.model}')
    for team in config.teams:
        if '/' in team.name:
            found.add(f'[team {team.name}]', 'a name may not hold a /')
    services = ('engine', 'service')
    for upstream in config.upstreams:
        if upstream.kind not in services:
            found.add(
                f'[upstream {upstream.name}]', 'kind is engine or service'
            )
    return config, found


_HISTORY_LENGTH = 200


def _append(
    current: object_store.Stored, entry: pb.ConfigHistoryReply.Change
) -> ty.Optional[bytes]:
    history = pb.ConfigHistoryReply.FromString(current.value or b'')
    if any(change.version == entry.version for change in history.changes):
        return None
    history.changes.append(entry)
    del history.changes[:-_HISTORY_LENGTH]
    return history.SerializeToString()
