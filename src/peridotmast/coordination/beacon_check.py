"""Validation of beacons from peers."""

from __future__ import annotations

import itertools
import math
import typing as ty

from peridotmast import addresses
from peridotmast import findings as findings_
from peridotmast.schema import peridotmast_pb2 as pb

_ADDRESS_FIELDS = (
    'address',
    'peer_address',
    'beacon_address',
    'forward_address',
)

_MAX_NAME_LENGTH = 200
"""Maximum length of a name: names appear in logs and answers."""


_MAX_WINDOW_MS = 24 * 3600 * 1000
"""Longest time for which a stream may be taken up, in ms."""


def check(beacon: pb.Beacon) -> findings_.Findings:
    """Return the findings on a beacon; none if it is valid.

    A beacon with any finding is rejected as a whole: if its sender writes one
    invalid field, the other fields cannot be trusted either.
    """
    found = findings_.Findings()
    if beacon.HasField('load_news'):
        load = beacon.load_news.load
        if min(load.running, load.unread, load.memory) < 0:
            found.add('load_news', 'must not be negative')
        return found
    if beacon.HasField('limit_ask'):
        if beacon.limit_ask.tokens < 0:
            found.add('limit_ask', 'must not be negative')
        return found
    if beacon.HasField('limit_answer'):
        return found
    if beacon.HasField('spend_report'):
        report = beacon.spend_report
        _check_names(found, 'spend_report', report.router)
        if any(number < 0 for number in _numbers_in_stamp(report.stamp)):
            found.add('spend_report', 'must not be negative')
        return found
    if beacon.stream_versions or beacon.HasField('version_ask'):
        _check_versions(found, beacon)
        return found
    if beacon.HasField('version_answer'):
        answer = beacon.version_answer
        _check_names(found, 'version_answer', answer.router, *answer.served)
        _check_names(found, 'version_answer', *answer.versions)
        return found
    _check_member(found, 'member', beacon.member)
    if beacon.HasField('other'):
        _check_member(found, 'other', beacon.other)
    for member in beacon.changed:
        _check_member(found, 'changed', member)
    for limit in beacon.upstream_limits:
        _check_limit(found, limit)
    for brittle in beacon.brittle_services:
        _check_brittle(found, brittle)
    for refusals in beacon.refusals:
        _check_refusals(found, refusals)
    for suspect in beacon.crash_suspects:
        _check_suspect(found, suspect)
    if any(number < 0 for number in _non_negative_numbers(beacon)):
        found.add('counts', 'must not be negative')
    return found


def check_member(member: pb.Member) -> findings_.Findings:
    """Return the findings on a router's entry; none if it is valid."""
    found = findings_.Findings()
    _check_member(found, 'member', member)
    return found


def _check_member(
    found: findings_.Findings, place: str, member: pb.Member
) -> None:
    if not 0 < len(member.name) <= _MAX_NAME_LENGTH:
        found.add(f'{place} name', 'is missing or too long')
    for name in _ADDRESS_FIELDS:
        text = getattr(member, name)
        if text and not addresses.is_usable(text):
            found.add(f'{place} {name}', 'must be IP:port')


def _check_versions(found: findings_.Findings, beacon: pb.Beacon) -> None:
    ask = beacon.version_ask
    if beacon.HasField('version_ask'):
        _check_names(found, 'version_ask', ask.router)
        if not 0 <= ask.window_ms <= _MAX_WINDOW_MS:
            found.add('version_ask', 'the window is negative or too long')
    for copy in beacon.stream_versions:
        _check_names(found, 'stream_versions', *copy.versions)
        if not 0 <= copy.left_ms <= _MAX_WINDOW_MS or not copy.versions:
            found.add('stream_versions', 'no version, or invalid time')


def _check_names(found: findings_.Findings, place: str, *names: str) -> None:
    if not all(0 < len(name) <= _MAX_NAME_LENGTH for name in names):
        found.add(place, 'a name is missing or too long')


def _check_limit(found: findings_.Findings, limit: pb.UpstreamLimit) -> None:
    if not 0 < len(limit.upstream) <= _MAX_NAME_LENGTH:
        found.add('upstream_limits', 'a name is missing or too long')
    if not 0 <= limit.rate < math.inf or min(limit.born, limit.ago_ms) < 0:
        found.add('upstream_limits', 'must be finite and not negative')


def _check_brittle(
    found: findings_.Findings, brittle: pb.BrittleService
) -> None:
    _check_names(found, 'brittle_services', brittle.service)
    if not 0 <= brittle.limit < math.inf or brittle.ago_ms < 0:
        found.add('brittle_services', 'must be finite and not negative')


def _check_refusals(
    found: findings_.Findings, refusals: pb.UpstreamRefusals
) -> None:
    _check_names(found, 'refusals', refusals.upstream)
    if min((refusals.born, *refusals.ago_ms)) < 0:
        found.add('refusals', 'must not be negative')


def _check_suspect(
    found: findings_.Findings, suspect: pb.CrashSuspect
) -> None:
    names = [suspect.fingerprint, *(crash.run for crash in suspect.crashes)]
    if not all(0 < len(name) <= _MAX_NAME_LENGTH for name in names):
        found.add(
            'crash_suspects', 'a fingerprint or run is missing or too long'
        )
    numbers = [suspect.retries, suspect.idle_ms, suspect.answered_ago_ms]
    for crash in suspect.crashes:
        numbers += [crash.ago_ms, crash.ran_ms]
    if min(numbers) < 0:
        found.add('crash_suspects', 'must not be negative')


def _non_negative_numbers(beacon: pb.Beacon) -> ty.Iterator[int]:
    """Yield the numbers in a beacon that must not be negative."""
    yield from (beacon.config_version, beacon.document_version)
    yield from (beacon.upstreams_revision, beacon.upstreams_since)
    yield beacon.store_era
    yield beacon.wall_ms
    yield from _numbers_in_stamp(beacon.stamp)
    yield from (record.revision for record in beacon.upstreams)
    for totals in (beacon.own, beacon.group, beacon.others):
        yield from _numbers_in_totals(totals)


def _numbers_in_stamp(stamp: pb.ReportStamp) -> ty.Iterator[int]:
    yield stamp.sent_ms
    yield from (report.sent_ms for report in stamp.heard)


def _numbers_in_totals(totals: pb.Totals) -> ty.Iterator[int]:
    # `spends` is not checked: a team's spend decreases when a request did not
    # run.
    return itertools.chain(
        itertools.chain.from_iterable(
            (load.running, load.unread, load.memory) for load in totals.loads
        ),
        (demand.tokens for demand in totals.demand),
        itertools.chain.from_iterable(
            usage.requests.values() for usage in totals.usage
        ),
    )
