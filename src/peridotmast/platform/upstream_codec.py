"""Codec for the entries of upstreams in the platform's store."""

from __future__ import annotations

import typing as ty

from peridotmast.platform import fields as fields_
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb

Json = dict[str, ty.Any]

_DEFAULT_VERSION = 'v1'

_STATE_NAMES = {state: name for name, state in names.UPSTREAM_STATES.items()}


def read_upstream(name: str, revision: int, spec: ty.Any) -> pb.UpstreamRecord:
    """Convert the entry of the upstream `name` to a record.

    Other programs write to this part of the store too. An entry in which a
    mandatory field is missing or has the wrong type was not written by an
    upstream, so none of its other fields can be trusted.

    Raises
    ------
    fields.MalformedDocumentError
        If the entry does not conform to the platform's specification. The
        exception lists all findings.
    """
    fields = fields_.Fields(spec, f'upstream {name}')
    record = pb.UpstreamRecord(
        upstream=pb.Upstream(
            name=name,
            address=fields.address('addr'),
            failure_domain=fields.string('zone'),
            service=fields.string('service'),
            slots=fields.integer('capacity-slots', minimum=1),
            born=fields.integer(names.BORN, 0),
            version=fields.string('version'),
        ),
        state=fields.choice('state', names.UPSTREAM_STATES),
        revision=revision,
        reclaimable=fields.boolean(names.RECLAIMABLE),
        renewals=fields.integer('seq'),
    )
    fields.number('cold-left-ms')
    fields.raise_if_malformed()
    return record


def write_upstream(record: pb.UpstreamRecord) -> Json:
    """Convert a record to the entry that an upstream writes.

    Only the stand-ins of the platform write such entries.
    """
    upstream = record.upstream
    entry: Json = {
        'service': upstream.service,
        'addr': upstream.address,
        'zone': upstream.failure_domain,
        'version': upstream.version or _DEFAULT_VERSION,
        'capacity-slots': upstream.slots,
        'state': _STATE_NAMES[record.state],
        'cold-left-ms': 0,
        'seq': 1,
    }
    if record.reclaimable:
        entry[names.RECLAIMABLE] = True
    if upstream.born:
        entry[names.BORN] = upstream.born
    return entry


def foreign_entries(service: str) -> list[ty.Any]:
    """Return invalid entries, as programs other than upstreams write them."""
    return [
        {},
        'nothing',
        [1, 2],
        {'service': service, 'addr': 'nowhere', 'capacity-slots': -5},
        {'service': service, 'addr': None, 'capacity-slots': 1e300},
        {'service': service, 'addr': '127.0.0.1:9', 'seq': 10**400},
    ]
