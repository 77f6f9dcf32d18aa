"""The configuration in force at one router; its versions never decrease."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.coordination import object_errors
from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import findings as findings_
from peridotmast import ini
from peridotmast import invariants as invariants_
from peridotmast import logs
from peridotmast import revisions
from peridotmast.schema import peridotmast_pb2 as pb

KIND = 'peridotmast-config'
"""Kind of the stored object that holds the product document."""
NAME = 'current'

_HISTORY_LENGTH = 100
_MAX_LOGGED = 500
"""Maximum number of logged characters of the findings on a document."""
_RESOLVE_READS = 4
"""Maximum number of reads that look for a commit whose reply was lost."""

Listener = ty.Callable[[pb.Config], None]


@dataclasses.dataclass
class ConfigPart:
    """One of the two documents that make up the configuration."""

    version: int = 0
    """Version in force; 0 before the first version is received."""
    document: objects.Json = dataclasses.field(default_factory=dict)
    """The document as stored."""
    config: pb.Config = dataclasses.field(default_factory=pb.Config)
    """The configuration parsed from the document."""


class Reader(ty.Protocol):
    """Reads the platform's configuration object."""

    def read_version(self, spec: ty.Any) -> int:
        """Return the version of a document; 0 if it has none."""

    def read_config(self, spec: ty.Any) -> pb.Config:
        """Return the configuration in a document.

        Raises
        ------
        ValueError
            If the document is malformed; the message has all findings.
        """


class ConfigFeed:
    """Merges the platform's configuration object and the product document.

    Routes, services, teams and limits come from the platform's object;
    models, events, policy and operators come from the product document. Each
    document may come from the store or from a peer, and versions arrive in any
    order: only a higher version replaces the one in force.

    Parameters
    ----------
    store : objects.ObjectStore
        The platform's store, which the product document is committed to.
    kind : str
        Kind of the platform's object.
    name : str
        Name of the platform's object.
    reader : Reader
        Reads the platform's object.
    checks : invariants.Invariants
        Reports a version that is not higher than the one it replaces.
    """

    def __init__(
        self,
        store: objects.ObjectStore,
        kind: str,
        name: str,
        reader: Reader,
        checks: invariants_.Invariants,
    ) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._reader = reader
        self._checks = checks
        self._listeners: list[Listener] = []
        self._log = logs.get('config')
        self.errors = object_errors.ObjectErrors('config')
        """Confines errors to single objects."""
        self.routes = ConfigPart()
        """The platform's object, which the operators write."""
        self.product = ConfigPart(config=_parse_product('')[0])
        """The product document."""
        self.config = _merge(self.routes, self.product)
        """The configuration in force."""

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each configuration put into force."""
        self._listeners.append(listener)

    def on_listing(self, listing: objects.Listing, after_outage: bool) -> None:
        """Process all configuration objects in the store."""
        self._offer(listing.objects)

    def on_changes(self, changes: objects.Changes, after_outage: bool) -> None:
        """Process the configuration objects that have changed in the store."""
        self._offer(changes.objects)

    def offer_routes(self, document: objects.Json, source: str) -> bool:
        """Put the platform's object into force if it is newer.

        A stale read, or a peer with an older configuration, may offer an older
        version.

        Returns
        -------
        bool
            Whether the object was put into force.
        """
        version = self._reader.read_version(document)
        if version <= self.routes.version:
            return False
        try:
            config = self._reader.read_config(document)
        except ValueError as exc:
            self._log.error(
                'config_malformed',
                version=version,
                source=source,
                error=str(exc)[:_MAX_LOGGED],
            )
            return False
        self.routes = self._newer_part(self.routes, version, document, config)
        self._put_into_force('config', version, source)
        return True

    def offer_product(
        self, version: int, document: objects.Json, source: str
    ) -> bool:
        """Put the product document into force if it is newer."""
        if version <= self.product.version:
            return False
        config, found = _read_product(document)
        if found:
            self._log.error(
                'document_malformed',
                version=version,
                source=source,
                error=str(found)[:_MAX_LOGGED],
            )
            return False
        self.product = self._newer_part(
            self.product, version, document, config
        )
        self._put_into_force('document', version, source)
        return True

    def commit(
        self, document: str, base_version: int, by: str, comment: str, at: int
    ) -> ty.Union[int, failures.Failure]:
        """Commit the product document if its version is `base_version`.

        Returns
        -------
        int or Failure
            The new version. A failure of kind CONFLICT if another change was
            committed first; one of kind OUTCOME_UNKNOWN if the reply was lost
            and the store can't be read.
        """
        stored = self._store.read(KIND, NAME)
        if isinstance(stored, failures.Failure):
            return stored
        self._offer([stored])
        if base_version != max(self.product.version, _version_of(stored)):
            return failures.conflict('config_changed')
        nonce = f'{by}:{at}:{base_version}'
        history = list(self.product.document.get('history') or ())
        history.append({'by': by, 'comment': comment, 'at-ms': at})
        spec = {
            'document': document,
            'nonce': nonce,
            'history': history[-_HISTORY_LENGTH:],
            'era': self._store.era.number,
        }
        result = self._store.write(KIND, NAME, spec, stored.revision)
        if isinstance(result, failures.Failure):
            return self._resolve_commit(result, nonce)
        self.offer_product(result.revision, spec, 'commit')
        return result.revision

    def restore_product(self) -> bool:
        """Store the document in force again if the store has an older one.

        Returns
        -------
        bool
            Whether the store has it, or a newer one.
        """
        stored = self._store.read(KIND, NAME)
        if isinstance(stored, failures.Failure):
            return False
        self._offer([stored])
        if _version_of(stored) >= self.product.version:
            return True
        spec = {**self.product.document, 'era': self._store.era.number}
        result = self._store.write(KIND, NAME, spec, stored.revision)
        if isinstance(result, failures.Failure):
            return False
        self._log.info('document_restored', version=result.revision)
        return self.offer_product(result.revision, spec, 'restore')

    def read_from_store(self, routes: bool) -> ty.Union[int, failures.Failure]:
        """Read the platform's object or the product document once.

        Returns
        -------
        int or Failure
            The version in the store, even if this router can't put it into
            force; 0 if the store has none.
        """
        kind, name = (self._kind, self._name) if routes else (KIND, NAME)
        stored = self._store.read(kind, name)
        if isinstance(stored, failures.Failure):
            return stored
        self._offer([stored])
        if stored.spec is None:
            return 0
        if routes:
            return self._reader.read_version(stored.spec)
        return _version_of(stored)

    def _resolve_commit(
        self, failure: failures.Failure, nonce: str
    ) -> ty.Union[int, failures.Failure]:
        """Find out whether a commit whose call failed has taken effect."""
        unknown = failures.FailureKind.OUTCOME_UNKNOWN
        for _ in range(_RESOLVE_READS):
            if not isinstance(self.read_from_store(False), failures.Failure):
                if self.product.document.get('nonce') == nonce:
                    return self.product.version
                break
        if failure.kind is unknown:
            return failure
        return failures.conflict('config_changed', failure.detail)

    def _offer(self, stored: ty.Iterable[objects.StoredObject]) -> None:
        for item in stored:
            if item.spec is not None:
                with self.errors.confine(item):
                    self._offer_object(item)

    def _offer_object(self, stored: objects.StoredObject) -> None:
        document = ty.cast(objects.Json, stored.spec)
        if stored.name == self._name:
            self.offer_routes(document, 'store')
        elif stored.name == NAME:
            self.offer_product(_version_of(stored), document, 'store')

    def _newer_part(
        self,
        part: ConfigPart,
        version: int,
        document: objects.Json,
        config: pb.Config,
    ) -> ConfigPart:
        self._checks.check(
            invariants_.Invariant.CONFIG_GROWS,
            version > part.version,
            f'{version} after {part.version}',
        )
        return ConfigPart(version, document, config)

    def _put_into_force(self, part: str, version: int, source: str) -> None:
        self.config = _merge(self.routes, self.product)
        self._log.info(
            f'{part}_in_force',
            version=version,
            source=source,
            routes=len(self.config.routes),
            teams=len(self.config.teams),
        )
        # The others get a configuration that one listener can't apply.
        stored = objects.StoredObject(part, version)
        for listener in self._listeners:
            with self.errors.confine(stored):
                listener(self.config)


def _version_of(stored: objects.StoredObject) -> int:
    """Return the version of a stored product document; 0 if there is none.

    It has the era in which the document was written. A copy from which the
    store has returned shows it under the same number in a later era.
    """
    if stored.spec is None:
        return 0
    era, newest = 0, revisions.era_of(stored.revision)
    if isinstance(stored.spec, dict):
        era = stored.spec.get('era', 0)
    is_valid = isinstance(era, int) and 0 <= era <= newest
    return revisions.make(
        era if is_valid else newest, revisions.number_of(stored.revision)
    )


def check(document: str) -> findings_.Findings:
    """Return the findings on a product document; none if it is valid."""
    config, found = _parse_product(document)
    models = {model.name for model in config.models}
    for event in config.events:
        if event.model not in models:
            found.add(f'[event {event.name}]', f'unknown model {event.model}')
    for kind, items in (
        ('route', config.routes),
        ('service', config.services),
        ('team', config.teams),
    ):
        for item in items:
            found.add(
                f'[{kind} {item.name}]',
                "belongs into the platform's configuration",
            )
    if config.policy.scaling not in SCALING_MODES:
        known = ', '.join(SCALING_MODES)
        found.add('[policy] scaling', f'must be one of {known}')
    return found


SCALING_MODES = ('planner', 'reactive', 'fixed')
"""Allowed values of ``[policy] scaling``."""


def _read_product(
    document: ty.Any,
) -> tuple[pb.Config, findings_.Findings]:
    """Parse a product document in its stored form, with its history."""
    found = findings_.Findings()
    if not isinstance(document, dict):
        found.add('document', 'must be an object')
        return pb.Config(), found
    text, history = document.get('document', ''), document.get('history', [])
    if not isinstance(text, str):
        found.add('document', 'must be a string')
    if not isinstance(history, list):
        found.add('history', 'must be a list')
    return (pb.Config(), found) if found else _parse_product(text)


def _parse_product(document: str) -> tuple[pb.Config, findings_.Findings]:
    return ini.load_text(document, pb.Config)


def _merge(routes: ConfigPart, product: ConfigPart) -> pb.Config:
    config = pb.Config()
    config.CopyFrom(product.config)
    for name in ('teams', 'routes', 'services'):
        config.ClearField(name)
        getattr(config, name).extend(getattr(routes.config, name))
    config.limits.CopyFrom(routes.config.limits)
    return config
