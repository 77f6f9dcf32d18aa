"""The configuration in force at one router: no version of it ever falls."""

from __future__ import annotations

import dataclasses
import typing as ty

from peridotmast.coordination import objects
from peridotmast import failures
from peridotmast import findings as findings_
from peridotmast import ini
from peridotmast import invariants as invariants_
from peridotmast import logs
from peridotmast.schema import peridotmast_pb2 as pb

KIND = 'peridotmast-config'
"""Kind of the product's own document."""
NAME = 'current'

_HISTORY_LENGTH = 100
_SHOWN = 500
"""Characters of the findings on a document that are logged."""
_TRIES = 4
"""Reads after a commit whose reply was lost."""

Listener = ty.Callable[[pb.Config], None]


@dataclasses.dataclass
class ConfigPart:
    """One of the two documents that a configuration is made from."""

    version: int = 0
    """Version in force; 0 before the first."""
    document: objects.Json = dataclasses.field(default_factory=dict)
    """As it was stored."""
    config: pb.Config = dataclasses.field(default_factory=pb.Config)
    """What it says."""


class Reader(ty.Protocol):
    """Reads the configuration that the platform has."""

    def read_version(self, spec: ty.Any) -> int:
        """Return the version of a document; 0 where it tells none."""

    def read_config(self, spec: ty.Any) -> pb.Config:
        """Return what a document says.

        Raises
        ------
        ValueError
            If it is malformed, with all that is wrong with it.
        """


class ConfigFeed:
    """Joins the operators' routes and the product's own document.

    Routes, services, teams and limits come from the platform's object;
    models, events, policy and operators from a document of our own beside
    it. Either may come from the store or from a peer, and in any order:
    only a higher version of a part replaces it.

    Parameters
    ----------
    store : objects.ObjectStore
        The platform's store, which the own document is committed to.
    kind : str
        Kind of the platform's object.
    name : str
        Its name.
    reader : Reader
        Reads the platform's object.
    checks : invariants.Invariants
        Where a reversal would be reported.
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
        self.routes = ConfigPart()
        """What the operators wrote to the platform's object."""
        self.product = ConfigPart(config=_read_own('')[0])
        """The product's own document."""
        self.config = _join(self.routes, self.product)
        """The configuration in force."""

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each configuration that comes into force."""
        self._listeners.append(listener)

    def on_listing(self, listing: objects.Listing, after_outage: bool) -> None:
        """Take in what the store has."""
        self._take(listing.objects)

    def on_changes(self, changes: objects.Changes, after_outage: bool) -> None:
        """Take in what has changed in the store."""
        self._take(changes.objects)

    def offer_routes(self, document: objects.Json, source: str) -> bool:
        """Put the platform's object into force where it is newer.

        A stale read or a peer that is behind offers an older one.
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
                error=str(exc)[:_SHOWN],
            )
            return False
        self.routes = self._grown(self.routes, version, document, config)
        self._put_into_force('config', version, source)
        return True

    def offer_product(
        self, version: int, document: objects.Json, source: str
    ) -> bool:
        """Put the product's own document into force where it is newer."""
        if version <= self.product.version:
            return False
        config, found = _read_stored(document)
        if found:
            self._log.error(
                'document_malformed',
                version=version,
                source=source,
                error=str(found)[:_SHOWN],
            )
            return False
        self.product = self._grown(self.product, version, document, config)
        self._put_into_force('document', version, source)
        return True

    def commit(
        self, document: str, base_version: int, by: str, comment: str, at: int
    ) -> ty.Union[int, failures.Failure]:
        """Commit the own document where its version is `base_version`.

        Returns
        -------
        int or Failure
            The new version. A conflict where another change came first; an
            unknown outcome where the reply was lost and nothing can be read.
        """
        nonce = f'{by}:{at}:{base_version}'
        history = list(self.product.document.get('history') or ())
        history.append({'by': by, 'comment': comment, 'at-ms': at})
        spec = {
            'document': document,
            'nonce': nonce,
            'history': history[-_HISTORY_LENGTH:],
        }
        result = self._store.write(KIND, NAME, spec, base_version)
        if isinstance(result, failures.Failure):
            return self._settle(result, nonce)
        self.offer_product(result.revision, spec, 'commit')
        return result.revision

    def refresh(self, routes: bool) -> ty.Union[int, failures.Failure]:
        """Read one part once: the platform's object, or the own document.

        Returns
        -------
        int or Failure
            The version that the store has, whether or not it can be put into
            force here; 0 where it has none.
        """
        kind, name = (self._kind, self._name) if routes else (KIND, NAME)
        stored = self._store.read(kind, name)
        if isinstance(stored, failures.Failure):
            return stored
        self._take([stored])
        if stored.spec is None:
            return 0
        if routes:
            return self._reader.read_version(stored.spec)
        return stored.revision

    def _settle(
        self, failure: failures.Failure, nonce: str
    ) -> ty.Union[int, failures.Failure]:
        """Find out what came of a commit whose reply did not say."""
        unknown = failures.FailureKind.OUTCOME_UNKNOWN
        for _ in range(_TRIES):
            if not isinstance(self.refresh(False), failures.Failure):
                if self.product.document.get('nonce') == nonce:
                    return self.product.version
                break
        if failure.kind is unknown:
            return failure
        return failures.conflict('config_changed', failure.detail)

    def _take(self, stored: ty.Iterable[objects.StoredObject]) -> None:
        for item in stored:
            if item.spec is None:
                continue
            if item.name == self._name:
                self.offer_routes(item.spec, 'store')
            elif item.name == NAME:
                self.offer_product(item.revision, item.spec, 'store')

    def _grown(
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

    def _put_into_force(self, what: str, version: int, source: str) -> None:
        self.config = _join(self.routes, self.product)
        self._log.info(
            f'{what}_in_force',
            version=version,
            source=source,
            routes=len(self.config.routes),
            teams=len(self.config.teams),
        )
        for listener in self._listeners:
            listener(self.config)


def check(document: str) -> findings_.Findings:
    """Return what is wrong with a document of the product's own."""
    config, found = _read_own(document)
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
"""What ``[policy] scaling`` may name."""


def _read_stored(
    document: ty.Any,
) -> tuple[pb.Config, findings_.Findings]:
    """Read the own document as it is stored, with its history."""
    found = findings_.Findings()
    if not isinstance(document, dict):
        found.add('document', 'must be an object')
        return pb.Config(), found
    text, history = document.get('document', ''), document.get('history', [])
    if not isinstance(text, str):
        found.add('document', 'must be a text')
    if not isinstance(history, list):
        found.add('history', 'must be a list')
    return (pb.Config(), found) if found else _read_own(text)


def _read_own(document: str) -> tuple[pb.Config, findings_.Findings]:
    return ini.load_text(document, pb.Config)


def _join(routes: ConfigPart, own: ConfigPart) -> pb.Config:
    config = pb.Config()
    config.CopyFrom(own.config)
    for name in ('teams', 'routes', 'services'):
        config.ClearField(name)
        getattr(config, name).extend(getattr(routes.config, name))
    config.limits.CopyFrom(routes.config.limits)
    return config
