"""Takes safety checks out one by one and sees whether a test turns red.

Usage: python tools/mutate.py [NAME ...]

Each mutation is made in a copy of src/ that goes before the installed
package; the tests named with it are run, and one of them must fail.
"""

from __future__ import annotations

import dataclasses
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SERVING = 'peridotmast/serving/'
COORDINATION = 'peridotmast/coordination/'
WIRE = 'peridotmast/wire/'
PLATFORM = 'peridotmast/platform/'
DUTIES = 'peridotmast/duties/'
ROUTER = 'peridotmast/router/'


@dataclasses.dataclass(frozen=True)
class Mutation:
    """One safety check taken out."""

    name: str
    file: str
    old: str
    new: str
    feature: str


MUTATIONS = (
    Mutation(
        'pass on what comes as a stop ends',
        ROUTER + 'drain.py',
        'self._gateway.close()',
        'pass',
        'router_stop',
    ),
    Mutation(
        'forget what the holder before has ordered',
        DUTIES + 'scaler.py',
        'self._book.restore(left.orders)',
        'pass',
        'planner',
    ),
    Mutation(
        'take over what was found long ago',
        DUTIES + 'scaler.py',
        'if abs(self._fleet_now() - left.at_ms) <= _OLD_MS:',
        'if True:',
        'planner',
    ),
    Mutation(
        'leave an order to the next renewal',
        DUTIES + 'duty_holder.py',
        'if is_due or self._is_news_due():',
        'if is_due:',
        'duties',
    ),
    Mutation(
        'begin anew with duties that were lost to nobody',
        COORDINATION + 'lease.py',
        "self.received_handover = None if mine else spec['left']",
        "self.received_handover = spec['left']",
        'duties',
    ),
    Mutation(
        'watch the store until others have spoken',
        COORDINATION + 'watchers.py',
        'return heard | self._members.starting_names()',
        'return heard',
        'fleet',
    ),
    Mutation(
        'take what an entry says for found again',
        COORDINATION + 'registry.py',
        'if own is not None and _is_at_its_place(own, me):',
        'if own is not None:',
        'fleet',
    ),
    Mutation(
        'read the others only before the own entry is there',
        COORDINATION + 'registry.py',
        'return self._learn() is not None',
        'return True',
        'fleet',
    ),
    Mutation(
        'send a whole round at once',
        COORDINATION + 'beacons.py',
        'green.sleep_ms(_PAUSE_MS)',
        'pass',
        'groups',
    ),
    Mutation(
        'believe a new head that others are not there',
        ROUTER + 'beacon_rounds.py',
        'base.others_alive = led_ms < _LED_MS',
        'base.others_alive = False',
        'groups',
    ),
    Mutation(
        'ignore a new head until the old one is silent',
        ROUTER + 'peering.py',
        'known = head == followed or head in first',
        'known = head == followed',
        'groups',
    ),
    Mutation(
        'leave renewals to the beacons',
        DUTIES + 'duty_holder.py',
        'self._tell(heirs[:_HEIRS])',
        'pass',
        'duties',
    ),
    Mutation(
        'lend what was lent again',
        SERVING + 'quota.py',
        'bucket.lent += tokens',
        'bucket.lent += 0',
        'groups',
    ),
    Mutation(
        'let what was lent pass uncounted',
        SERVING + 'quota.py',
        'bucket.borrowed += tokens',
        'bucket.borrowed += 2 * tokens',
        'groups',
    ),
    Mutation(
        'end an answer for the silence of its upstream',
        SERVING + 'stream_relay.py',
        'if not stream.may_go_on():\n            return',
        'if False:\n            return',
        'streams',
    ),
    Mutation(
        'guess what is needed after a takeover',
        DUTIES + 'required_capacity.py',
        'if self._is_first:',
        'if True:',
        'planner',
    ),
    Mutation(
        'forget what the holder before has found',
        DUTIES + 'required_capacity.py',
        'if service in self._left:',
        'if False:',
        'planner',
    ),
    Mutation(
        'forget who had the lease before the last holder',
        COORDINATION + 'lease.py',
        "before[current['router']] = 0",
        "before = {current['router']: 0}",
        'lease',
    ),
    Mutation(
        'believe that who had a lease acts long after',
        COORDINATION + 'lease.py',
        'if ms + held_ms < self.length_ms',
        'if True',
        'lease',
    ),
    Mutation(
        'forget at once who had the lease before',
        COORDINATION + 'lease.py',
        'if ms + held_ms < self.length_ms',
        'if False',
        'lease',
    ),
    Mutation(
        'name the same other routers to all callers',
        COORDINATION + 'router_selector.py',
        'return self._draws.sample(members, most)',
        'return members[:most]',
        'fleet',
    ),
    Mutation(
        'lead until the one before has spoken',
        COORDINATION + 'groups.py',
        'there = (heard | self._members.starting_names()) - leaving',
        'there = heard - leaving',
        'groups',
    ),
    Mutation(
        'lead a group until the end',
        COORDINATION + 'groups.py',
        'there = (heard | self._members.starting_names()) - leaving',
        'there = heard | self._members.starting_names()',
        'groups',
    ),
    Mutation(
        'take news for all that there is',
        ROUTER + 'catch_up.py',
        'if known < beacon.upstreams_since:',
        'if False:',
        'groups',
    ),
    Mutation(
        'ask seeds though the store has told',
        ROUTER + 'catch_up.py',
        'if self._fleet_state.is_synced_with_store:',
        'if False:',
        'spread',
    ),
    Mutation(
        'send again what may have run',
        SERVING + 'dispatcher.py',
        'if not exchange.may_repeat or work.runs >= exchange.route.attempts:',
        'if work.runs >= 3:',
        'once',
    ),
    Mutation(
        'promise of what ran that it did not',
        SERVING + 'dispatcher.py',
        'if work.runs and failure.kind is failures.FailureKind.NOT_RUN:',
        'if False:',
        'once',
    ),
    Mutation(
        'try more upstreams than the route allows',
        SERVING + 'dispatcher.py',
        'if not exchange.may_repeat or work.runs >= exchange.route.attempts:',
        'if not exchange.may_repeat:',
        'once',
    ),
    Mutation(
        'repeat without a budget',
        SERVING + 'retry_budget.py',
        'if len(repeats) + 1 > allowed * _SAFETY:',
        'if False:',
        'limits',
    ),
    Mutation(
        'pass on a promise that the upstream did not make',
        SERVING + 'dispatcher.py',
        'if sent.head.status not in NOT_RUN_STATUSES:',
        'if True:',
        'odd_upstreams',
    ),
    Mutation(
        'accept the response of another request',
        PLATFORM + 'dialect.py',
        'if exchange.id and echoed and echoed != exchange.id:',
        'if False:',
        'odd_upstreams',
    ),
    Mutation(
        'accept a success response without a seal',
        PLATFORM + 'dialect.py',
        'return Verdict.ANSWER if is_complete else Verdict.GARBLED',
        'return Verdict.ANSWER',
        'odd_upstreams',
    ),
    Mutation(
        'reuse a connection with unread bytes',
        WIRE + 'connection.py',
        'if self._sock is None or self._reader.pending:',
        'if self._sock is None:',
        'odd_upstreams',
    ),
    Mutation(
        'reuse a connection whose body was not sent completely',
        WIRE + 'connection.py',
        '            and self._body_sent\n',
        '',
        'odd_upstreams',
    ),
    Mutation(
        'accept a truncated response',
        WIRE + 'connection.py',
        'if not data and resp.length:',
        'if False:',
        'odd_upstreams',
    ),
    Mutation(
        'accept a response with two lengths',
        WIRE + 'connection.py',
        'if len(lengths) > 1 or codings and lengths:',
        'if False:',
        'odd_upstreams',
    ),
    Mutation(
        'omit the name of the intended upstream',
        PLATFORM + 'dialect.py',
        '            (names.EXPECT_UPSTREAM, view.name),\n',
        '',
        'odd_upstreams',
    ),
    Mutation(
        'trust the team header of a caller',
        PLATFORM + 'caller_app.py',
        '        names.TEAM,\n',
        '',
        'callers',
    ),
    Mutation(
        'forward the API key of the caller',
        PLATFORM + 'caller_app.py',
        '        | {names.AUTHORIZATION.lower()}\n',
        '',
        'callers',
    ),
    Mutation(
        'accept a request head with two lengths',
        WIRE + 'strict_protocol.py',
        'if lengths and (codings or len(lengths) > 1):',
        'if False:',
        'strict',
    ),
    Mutation(
        'accept a truncated request body',
        WIRE + 'request_body.py',
        '    if len(body) < length:\n'
        "        raise InvalidBodyError(400, 'body_broken')\n",
        '',
        'strict',
    ),
    Mutation(
        'do not watch for callers that disconnect',
        PLATFORM + 'caller_app.py',
        '        conn.watch_for_close()\n',
        '',
        'streams',
    ),
    Mutation(
        'end a broken stream as if it were complete',
        PLATFORM + 'caller_app.py',
        '            self._conn.reset()\n',
        '            raise StopIteration from None\n',
        'streams',
    ),
    Mutation(
        'forward an incomplete event',
        WIRE + 'event_reader.py',
        '        self._buffer = self._buffer[start:]\n        return',
        '        complete.append(self._buffer[start:])\n'
        "        self._buffer = b''\n        return",
        'streams',
    ),
    Mutation(
        'no bound on the silence of a stream',
        SERVING + 'stream_relay.py',
        'min(exchange.deadline, self._clock.now() + silence)',
        'exchange.deadline',
        'streams',
    ),
    Mutation(
        'go on with a stream that may not be resumed',
        SERVING + 'stream_relay.py',
        'return route.resumable and len(self.tried) < route.attempts',
        'return True',
        'streams',
    ),
    Mutation(
        'move nothing off a leaving upstream',
        SERVING + 'stream_migrator.py',
        'if not leaves or view.run in self._leaving:',
        'if True:',
        'reclaim',
    ),
    Mutation(
        'send new work to a leaving upstream',
        SERVING + 'upstream_view.py',
        'return self.record.state in (LIVE, LAPSED)',
        'return self.record.state != GONE',
        'reclaim',
    ),
    Mutation(
        'believe that what ran out in an outage is gone',
        COORDINATION + 'upstream_feed.py',
        'state = upstreams_.LAPSED if after_outage else upstreams_.GONE',
        'state = upstreams_.GONE',
        'upstreams',
    ),
    Mutation(
        'let each router choose its own home for a prompt',
        SERVING + 'candidates.py',
        'for point in _probes(part):',
        'for point in _probes(part + str(id(self))):',
        'limits',
    ),
    Mutation(
        'count the work of routers that fell silent',
        SERVING + 'upstreams.py',
        'for router in [r for r in self._told if r not in routers]:',
        'for router in ():',
        'limits',
    ),
    Mutation(
        'take no heed of what one loss takes',
        DUTIES + 'capacity_plan.py',
        'missing = needed + height - mix.total',
        'missing = needed - mix.total',
        'planner',
    ),
    Mutation(
        'take an older statement on an upstream',
        SERVING + 'upstreams.py',
        'if record.revision <= view.record.revision:',
        'if False:',
        'upstreams',
    ),
    Mutation(
        'take an older configuration',
        COORDINATION + 'config_feed.py',
        'if version <= self.routes.version:',
        'if False:',
        'config',
    ),
    Mutation(
        'commit over another change',
        COORDINATION + 'config_feed.py',
        'result = self._store.write(KIND, NAME, spec, base_version)',
        'result = self._store.write(\n            KIND, NAME, spec,'
        ' self._store.read(KIND, NAME).revision\n        )',
        'config',
    ),
    Mutation(
        'go on after the history is gone',
        COORDINATION + 'kind_watch.py',
        '            self._listed = False\n            return',
        '            return',
        'config',
    ),
    Mutation(
        'act in the last part of a lease',
        COORDINATION + 'lease.py',
        'return self.remaining_ms > self._guard_ms',
        'return self.remaining_ms > 0',
        'lease',
    ),
    Mutation(
        'take a lease that is not over',
        COORDINATION + 'lease.py',
        'if now - self._seen_at >= length:',
        'if now - self._seen_at >= length // 2:',
        'lease',
    ),
    Mutation(
        'keep the number for a new holder',
        COORDINATION + 'lease.py',
        "'fencing': fencing if again and fencing else fencing + 1,",
        "'fencing': max(1, fencing),",
        'lease',
    ),
    Mutation(
        'go to and fro with the duties',
        COORDINATION + 'lease.py',
        "if current.get('released') and not back:",
        "if current.get('released'):",
        'lease',
    ),
    Mutation(
        'take a lease over from another place',
        COORDINATION + 'lease.py',
        "and current.get('place') == self._place",
        'and True',
        'lease',
    ),
    Mutation(
        'take a lease over where no place is known',
        COORDINATION + 'lease.py',
        'bool(self._place)\n            and',
        'True\n            and',
        'lease',
    ),
    Mutation(
        "take another router's lease over",
        COORDINATION + 'lease.py',
        "and current.get('router') == self._router",
        'and True',
        'lease',
    ),
    Mutation(
        "do not wait for a dead run's orders",
        COORDINATION + 'lease.py',
        'bound_ms >= self._guard_ms and',
        'bound_ms >= 0 and',
        'lease',
    ),
    Mutation(
        "count a suspension as a wait for a dead run's orders",
        COORDINATION + 'lease.py',
        'bound_ms = self._clock.now() - self._bound_at',
        'bound_ms = self._clock.boot() - self._bound_at',
        'lease',
    ),
    Mutation(
        'forget at a restart who was before',
        COORDINATION + 'lease.py',
        'before = _before(current)\n        same',
        'before = {}\n        same',
        'lease',
    ),
    Mutation(
        "look takes what was anybody's",
        COORDINATION + 'lease.py',
        'if not self._is_heir(self._current()):',
        'if False:',
        'lease',
    ),
    Mutation(
        'share the address of beacons',
        COORDINATION + 'beacons.py',
        'self._sock.setblocking(False)',
        'self._sock.setblocking(False)\n       '
        ' self._sock.setsockopt(socket.SOL_SOCKET, 15, 1)',
        'lease',
    ),
    Mutation(
        'stand nowhere',
        ROUTER + 'router.py',
        'self.lease.set_endpoint(\n            endpoint_identity.of_address('
        'self.beacons.address)\n        )',
        "self.lease.set_endpoint('')",
        'duties',
    ),
    Mutation(
        'follow a holder that others remember',
        DUTIES + 'duty_holder.py',
        'self._may_follow = False\n            self._vacant_since = 0',
        'self._vacant_since = 0',
        'duties',
    ),
    Mutation(
        'count a window anew after a change of holder',
        DUTIES + 'usage_reporter.py',
        'if not self._sure and not self._read():',
        'if False:',
        'duties',
    ),
    Mutation(
        'send a report before it is written down',
        DUTIES + 'usage_reporter.py',
        'if self._fleet_now() >= ready_at and self._write(window):',
        'if self._fleet_now() >= ready_at and (self._write(window) or True):',
        'duties',
    ),
    Mutation(
        "count only one's own requests",
        SERVING + 'usage.py',
        '        for counts in self._others.values():\n            total',
        '        for counts in ():\n            total',
        'duties',
    ),
    Mutation(
        "believe one VM's clock",
        COORDINATION + 'fleet_clock.py',
        'self._median = int(statistics.median(offsets))',
        'self._median = mine',
        'duties',
    ),
    Mutation(
        "take nothing off for others' spending",
        SERVING + 'quota.py',
        'bucket.level = min(bucket.burst, bucket.level - tokens)',
        'pass',
        'limits',
    ),
    Mutation(
        'spend the whole limit while nobody is heard',
        SERVING + 'quota.py',
        'self.level + gained * share)',
        'self.level + gained)',
        'limits',
    ),
    Mutation(
        'believe a beacon that nobody signed',
        COORDINATION + 'beacons.py',
        'if not hmac.compare_digest(tag, self._tag(body)):',
        'if False:',
        'fleet',
    ),
    Mutation(
        'stop without closing idle connections',
        'peridotmast/router/drain.py',
        '        self._close_idle()\n',
        '',
        'router_stop',
    ),
    Mutation(
        'stop before the work has ended',
        'peridotmast/router/drain.py',
        'return spent_ms >= _LISTEN_MS and not self._gateway.in_flight',
        'return spent_ms >= 100',
        'router_stop',
    ),
    Mutation(
        'plan without a loss',
        DUTIES + 'capacity_plan.py',
        'return self.total - max(self.reclaimable.values(), default=0)',
        'return self.total',
        'planner',
    ),
    Mutation(
        'take a late statement of an earlier run',
        SERVING + 'upstreams.py',
        'if born and view.born and born != view.born:',
        'if born and view.born and born > view.born:',
        'incarnation',
    ),
    Mutation(
        'keep what the earlier run had',
        SERVING + 'upstreams.py',
        'if born and view.born and born != view.born:',
        'if False:',
        'incarnation',
    ),
    Mutation(
        "count work at the earlier run as the later one's",
        SERVING + 'upstreams.py',
        'return not (load.born and view.born) or load.born == view.born',
        'return True',
        'incarnation',
    ),
    Mutation(
        'wait on for what the earlier run owes',
        SERVING + 'sender.py',
        "conn.cancel('upstream_restarted')",
        'pass',
        'incarnation',
    ),
    Mutation(
        'treat a cancelled response as complete',
        WIRE + 'connection.py',
        'if not self._cancelled:\n            return found',
        'if True:\n            return found',
        'incarnation',
    ),
    Mutation(
        'accept a malformed upstream entry',
        PLATFORM + 'upstream_codec.py',
        '    fields.raise_if_malformed()\n    return record',
        '    return record',
        'entries',
    ),
    Mutation(
        'send to an address that is none',
        SERVING + 'upstreams.py',
        'if record.state in _NAME_ONLY or _is_usable(record):',
        'if True:',
        'entries',
    ),
    Mutation(
        'take in a beacon with wrong numbers',
        COORDINATION + 'beacon_check.py',
        'if any(number < 0 for number in _counts(beacon)):',
        'if False:',
        'entries',
    ),
    Mutation(
        'drop the valid objects listed beside a malformed one',
        PLATFORM + 'object_codec.py',
        'response = _recover_list(text, key)',
        'raise ValueError(text[:9])',
        'entries',
    ),
    Mutation(
        'hold no more reclaimable ones than are needed',
        DUTIES + 'service_reconciler.py',
        'self._reserve = max(needed, reserve)',
        'self._reserve = needed',
        'planner',
    ),
    Mutation(
        'count what was lost as still to come',
        DUTIES + 'order_tracker.py',
        'pending.coming -= max(0, live - pending.live)',
        'pending.coming -= live - pending.live',
        'planner',
    ),
    Mutation(
        'begin with a full bucket whatever was spent',
        SERVING + 'quota.py',
        'if bucket.is_sure:\n            return self._pause_ms',
        'if True:\n            return self._pause_ms',
        'groups',
    ),
    Mutation(
        'take off again what peers have taken off',
        SERVING + 'quota.py',
        'bucket.level, bucket.at = min(bucket.burst, tokens), now',
        'bucket.level, bucket.at = tokens - self._spent.get(team, 0), now',
        'groups',
    ),
    Mutation(
        'tell nobody what is left',
        ROUTER + 'beacon_rounds.py',
        'if not untold:',
        'if True:',
        'groups',
    ),
    Mutation(
        'begin with a full bucket after nobody told',
        SERVING + 'quota.py',
        'bucket.level = min(bucket.level, left)',
        'pass',
        'groups',
    ),
    Mutation(
        'keep to no part where little is left',
        SERVING + 'quota.py',
        'self.has_stale_peer_data() and little and _is_small(bucket, tokens)',
        'False',
        'groups',
    ),
    Mutation(
        'reckon nothing while a head is silent',
        COORDINATION + 'report_gaps.py',
        'if source is None or now - source.at <= _FRESH_MS:',
        'if True:',
        'groups',
    ),
    Mutation(
        'reckon nothing for the gap between two heads',
        COORDINATION + 'report_gaps.py',
        'return self._worth(share, known.until)',
        'return {}',
        'groups',
    ),
    Mutation(
        'take nothing back when the same head is heard',
        COORDINATION + 'report_gaps.py',
        'return {team: -count for team, count in known.reckoned.items()}',
        'return {}',
        'groups',
    ),
    Mutation(
        'reckon for a time in which nothing came in',
        SERVING + 'quota.py',
        'ms = now - max(since, bucket.full_at)',
        'ms = now - since',
        'groups',
    ),
    Mutation(
        'tell no member what its head missed',
        COORDINATION + 'fleet_counts.py',
        """        _add(self._elsewhere, counts)
        self._apply(counts)""",
        '        self._apply(counts)',
        'groups',
    ),
    Mutation(
        'pace by what did not run',
        SERVING + 'quota.py',
        'bucket.owed = 0',
        'pass',
        'limits',
    ),
    Mutation(
        'let one peer that is refused speak for all',
        COORDINATION + 'outage_reports.py',
        'is_first = self._felt.get(peer, limit) <= limit',
        'is_first = self._at <= limit',
        'store_reads',
    ),
    Mutation(
        'send an order though the duties are gone by then',
        COORDINATION + 'lease.py',
        'return self.remaining_ms if is_same and self.may_act() else 0',
        'return self.length_ms',
        'duties',
    ),
    Mutation(
        'let an abandoned call arrive late',
        WIRE + 'http_client.py',
        'conn.reset_on_close = True',
        'conn.reset_on_close = False',
        'duties',
    ),
    Mutation(
        'close a connection on which a request has arrived',
        WIRE + 'server.py',
        'if not _has_unread_bytes(sock):',
        'if True:',
        'router_stop',
    ),
    Mutation(
        'serve a request that arrives after the shutdown',
        WIRE + 'strict_protocol.py',
        'if was_shut or not first:',
        'if not first:',
        'router_stop',
    ),
    Mutation(
        'wait for the outcome of a trial for good',
        SERVING + 'health.py',
        'return not self._probing or lapsed',
        'return not self._probing',
        'limits',
    ),
    Mutation(
        'count only the routers that were heard',
        COORDINATION + 'members.py',
        'and (peer.was_seen or self.is_newly_discovered(peer))',
        'and peer.was_seen',
        'groups',
    ),
    Mutation(
        'let watches wait on after an outage',
        COORDINATION + 'outage.py',
        "self._log.info('store_regained')\n        self.on_recovery()",
        "self._log.info('store_regained')",
        'store_reads',
    ),
    Mutation(
        'let watches wait on when a peer is not answered',
        COORDINATION + 'outage_reports.py',
        'self._doubt()',
        'pass',
        'store_reads',
    ),
    Mutation(
        'date an outage by the end of a call',
        COORDINATION + 'outage.py',
        'if self._clock.now() - age_ms < self._answered_at:',
        'if False:',
        'upstreams',
    ),
    Mutation(
        'tell a doubt without its age',
        SERVING + 'upstreams.py',
        'record.doubted_ms = now - view.not_live_since',
        'pass',
        'upstreams',
    ),
    Mutation(
        'ask a store that has failed no more',
        COORDINATION + 'store_prober.py',
        'if self._outage.is_out and is_quiet:',
        'if False:',
        'store_reads',
    ),
    Mutation(
        'ask a store that is asked anyway',
        COORDINATION + 'store_prober.py',
        'if self._outage.is_out and is_quiet:',
        'if self._outage.is_out:',
        'upstreams',
    ),
    Mutation(
        'count by two ways what one has counted',
        COORDINATION + 'fleet_counts.py',
        """        if counted:
            self._apply(grown)

    def receive_group(""",
        """        self._apply(grown)

    def receive_group(""",
        'groups',
    ),
    Mutation(
        'go on from what another head has told',
        COORDINATION + 'fleet_counts.py',
        'if self._heads.get(_OWN) != head:',
        'if False:',
        'groups',
    ),
    Mutation(
        'keep naming what its head does not name',
        COORDINATION + 'members.py',
        'self._peers[name].last_reported_at = 0',
        'pass',
        'groups',
    ),
    Mutation(
        'believe a late word of the run of a router before',
        'peridotmast/router/peering.py',
        'if news.incarnation == peer.member.incarnation:',
        'if False:',
        'limits',
    ),
    Mutation(
        'serve long prompts as soon as short ones',
        SERVING + 'urgency.py',
        '_RANK_STEP * rank + step',
        '_RANK_STEP * rank',
        'limits',
    ),
    Mutation(
        'outlast no loss with firm ones',
        DUTIES + 'service_reconciler.py',
        'return max(1, self._needed - max(0, height - 1))',
        'return 1',
        'planner',
    ),
    Mutation(
        'give copies to any number at once',
        ROUTER + 'config_copies.py',
        'return 0 if self._left > 0 else 1 + int(-self._left / _RATE)',
        'return 0',
        'spread',
    ),
    Mutation(
        'send whole texts',
        ROUTER + 'config_fetcher.py',
        'takes_packed=True',
        'takes_packed=False',
        'spread',
    ),
    Mutation(
        'name nobody who has a copy',
        ROUTER + 'config_copies.py',
        'self._holders.append(req.peer_address)',
        'pass',
        'spread',
    ),
    Mutation(
        'wait for a peer that may be gone',
        ROUTER + 'config_fetcher.py',
        'any(at > now - _SLOW_MS for at in began)',
        'began',
        'spread',
    ),
    Mutation(
        'believe what the store denies',
        ROUTER + 'config_fetcher.py',
        'self._deny(wrong, claimed, found)',
        'pass',
        'spread',
    ),
    Mutation(
        'leave the watching to those that are turned away',
        ROUTER + 'fleet_state.py',
        'self.watchers.is_outage_suspected = is_outage_felt',
        'pass',
        'config',
    ),
    Mutation(
        'take for denied what the store has and is not read here',
        ROUTER + 'config_fetcher.py',
        'found = claimed._replace(**{part: stored})',
        'found = self._in_force()',
        'spread',
    ),
    Mutation(
        'read again and again from the store what can not be read',
        ROUTER + 'config_fetcher.py',
        'self._give_up(_NONE._replace(**{part: stored}))',
        'pass',
        'spread',
    ),
    Mutation(
        'ask never again for what could not be read',
        ROUTER + 'config_fetcher.py',
        'return self.versions if now < self.until else _NONE',
        'return self.versions',
        'spread',
    ),
    Mutation(
        'read the store anew while it is being read',
        ROUTER + 'config_fetcher.py',
        ' and not self._asks_store:',
        ':',
        'spread',
    ),
    Mutation(
        'ask the same seed as all others first',
        ROUTER + 'catch_up.py',
        'random.Random(self._members.me.name).shuffle(order)',
        'pass',
        'spread',
    ),
    Mutation(
        'believe never again who was wrong once',
        ROUTER + 'config_fetcher.py',
        'self._denied[address] = now + _USELESS_MS',
        'self._denied[address] = now + 10**9',
        'spread',
    ),
    Mutation(
        'ask again for what can not be read',
        ROUTER + 'config_fetcher.py',
        'self._unreadable = _Unreadable(found, until)',
        'pass',
        'spread',
    ),
    Mutation(
        'pack a copy once for all versions',
        ROUTER + 'config_copies.py',
        'if version != part.version:',
        'if not version:',
        'spread',
    ),
    Mutation(
        'refuse large bodies permanently by outdated limits',
        PLATFORM + 'caller_app.py',
        'retry_ms = self._gateway.retry_ms() if is_too_large else 0',
        'retry_ms = 0',
        'spread',
    ),
    Mutation(
        'refuse large heads permanently by outdated limits',
        WIRE + 'strict_protocol.py',
        'self.http_server.retry_after_ms()',
        '0',
        'spread',
    ),
    Mutation(
        'refuse for good with no configuration',
        SERVING + 'gateway.py',
        "return 'no_config', _START_RETRY_MS",
        "return '', 0",
        'callers',
    ),
    Mutation(
        'refuse long answers for good by what is known to be old',
        ROUTER + 'chat_api.py',
        'return self._gateway.retryable_if_stale(beyond)',
        'return beyond',
        'spread',
    ),
    Mutation(
        'refuse for good by what is known to be old',
        SERVING + 'gateway.py',
        'if self.config_is_stale():',
        'if False:',
        'spread',
    ),
    Mutation(
        'end each watch by any news',
        ROUTER + 'fleet_state.py',
        'if watch.kind in _KINDS[what]:',
        'if True:',
        'store_reads',
    ),
    Mutation(
        'apply the call time-out to large response bodies',
        WIRE + 'http_client.py',
        'deadline = self._clock.now() + body_timeout_ms',
        'pass',
        'store_reads',
    ),
    Mutation(
        'feel an outage that nobody asks about',
        COORDINATION + 'outage.py',
        'self.is_out and now - self._failed_at < _SAID_MS',
        'self.is_out',
        'upstreams',
    ),
    Mutation(
        'send on what has crashed three upstreams',
        SERVING + 'dispatcher.py',
        'if retry_after_ms:',
        'if False:',
        'crashes',
    ),
    Mutation(
        'hear of no crashes from peers',
        ROUTER + 'peering.py',
        'self._serving.crashes.merge_updates(beacon.crash_suspects)',
        'pass',
        'crashes',
    ),
    Mutation(
        'pass no crashes on as a head',
        ROUTER + 'peering.py',
        'serving.crashes.relays_updates = self.has_delayed_totals',
        'pass',
        'groups',
    ),
    Mutation(
        'leave no refused request with the lease',
        DUTIES + 'crash_blocks.py',
        'left.crash_suspects.extend(self._crashes.blocked())',
        'pass',
        'crashes',
    ),
    Mutation(
        'let attempts of a refused request wait on',
        SERVING + 'sender.py',
        'conn.cancel(crash_tracker_.BLOCK_REASON)',
        'pass',
        'crashes',
    ),
    Mutation(
        'take each lost connection for a crash',
        SERVING + 'crash_tracker.py',
        'self._last_answered[view.run] = sent_at',
        'pass',
        'crashes',
    ),
    Mutation(
        'blame a request for upstreams lost together',
        SERVING + 'crash_tracker.py',
        'if not (is_near and crash.sent_at < first_at):',
        'if True:',
        'crashes',
    ),
    Mutation(
        'forget refused requests first',
        SERVING + 'crash_tracker.py',
        'key=lambda s: (s.is_blocked, s.seen_at)',
        'key=lambda s: s.seen_at',
        'crashes',
    ),
    Mutation(
        'send a refused request again from any router',
        SERVING + 'crash_tracker.py',
        'not self.may_retry()',
        'False',
        'crashes',
    ),
    Mutation(
        'send a refused request again and again',
        SERVING + 'crash_tracker.py',
        'suspect.retries += 1',
        'pass',
        'crashes',
    ),
    Mutation(
        'count a cancelled attempt as a failure',
        SERVING + 'sender.py',
        'if failure.reason == crash_tracker_.BLOCK_REASON:',
        'if False:',
        'crashes',
    ),
    Mutation(
        'report a cancelled connection as broken',
        WIRE + 'connection.py',
        'failures.unknown(self._cancelled or reason, detail)',
        'failures.unknown(reason, detail)',
        'crashes',
    ),
    Mutation(
        'count crashes that are attributed to another request',
        SERVING + 'crash_tracker.py',
        'if not (crash.was_answering and run in attributed_runs)',
        'if True',
        'crashes',
    ),
    Mutation(
        'attribute crashes to a request with fewer crashes',
        SERVING + 'crash_tracker.py',
        'min_crashes = len(crashes) - 1',
        'min_crashes = 0',
        'crashes',
    ),
    Mutation(
        'do not record that an attempt has sent an event',
        SERVING + 'stream_relay.py',
        'self.is_answering |= self.reader.last_id > last_id',
        'pass',
        'crashes',
    ),
    Mutation(
        'record a failed resumption for the previous upstream',
        SERVING + 'stream_relay.py',
        'if failure is data:',
        'if True:',
        'crashes',
    ),
    Mutation(
        'give the full retry time just after a crash',
        SERVING + 'crash_tracker.py',
        'if now - last < _CONFIRMATION_MS:',
        'if False:',
        'crashes',
    ),
    Mutation(
        'ignore upstream limits in the need calculation',
        DUTIES + 'required_capacity.py',
        'return round(sum(max(0, 1 - limit / capacity) for limit in limits))',
        'return 0',
        'planner',
    ),
    Mutation(
        'pass no upstream limits to the need calculation',
        DUTIES + 'scaler.py',
        'self._live_limits(service),',
        '(),',
        'planner',
    ),
    Mutation(
        'return the maximum retry time without a share',
        SERVING + 'upstream_limits.py',
        'wait = math.ceil(1000 / max(limit.rate, _MIN_RATE))',
        'wait = _MAX_WAIT_MS',
        'upstream_limits',
    ),
    Mutation(
        'count no request against a limit of its upstream',
        SERVING + 'placement.py',
        'self._limits.take(best)',
        'pass',
        'upstream_limits',
    ),
    Mutation(
        'give each router the whole limit of an upstream',
        SERVING + 'upstream_limits.py',
        'limit.share = rate / len(owners)',
        'limit.share = rate',
        'upstream_limits',
    ),
    Mutation(
        'begin with a full part of a limit',
        SERVING + 'upstream_limits.py',
        'limit.tokens = min(limit.tokens, limit.burst)',
        'limit.tokens = limit.burst',
        'upstream_limits',
    ),
    Mutation(
        'give many routers a part of a small limit',
        SERVING + 'upstream_limits.py',
        'if len(self._routers) <= max_owners:',
        'if True:',
        'upstream_limits',
    ),
    Mutation(
        'hear of no limits from peers',
        ROUTER + 'peering.py',
        'self._serving.limits.merge_updates(beacon.upstream_limits)',
        'pass',
        'upstream_limits',
    ),
    Mutation(
        'end a limit by an answer that was on its way',
        SERVING + 'upstream_limits.py',
        'elif earliest_at < limit.at:',
        'elif False:',
        'upstream_limits',
    ),
    Mutation(
        'believe each word of another router',
        SERVING + 'upstream_limits.py',
        'at - _TIMESTAMP_ERROR_MS,',
        'at,',
        'upstream_limits',
    ),
)


def run(mutation: Mutation) -> str:
    """Return how the tests took the mutation."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / 'src'
        shutil.copytree(ROOT / 'src', copy)
        path = copy / mutation.file
        text = path.read_text()
        if text.count(mutation.old) != 1:
            return f'stale: its text stands {text.count(mutation.old)} times'
        path.write_text(text.replace(mutation.old, mutation.new))
        feature = f'features/{mutation.feature}.feature'
        done = subprocess.run(
            [sys.executable, '-W', 'ignore', '-m', 'behave', '--format',
             'progress',
             '--stop', '--no-capture', feature],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(copy)},
            capture_output=True,
            text=True,
            timeout=600,
        )  # fmt: skip
    if not done.returncode:
        return 'SURVIVED'
    marks = ('features/', '  features/')
    red = [
        line.strip()
        for line in done.stdout.splitlines()
        if line.startswith(marks) and '  ' in line.strip() and ':' in line
    ]
    return f'caught by {red[0] if red else "an error"}'


def main() -> int:
    """Run the mutations named, or all; return 1 where one survived."""
    names = sys.argv[1:]
    chosen = [m for m in MUTATIONS if not names or m.name in names]
    bad = 0
    for mutation in chosen:
        verdict = run(mutation)
        bad += not verdict.startswith('caught')
        print(f'{mutation.name:<52} {verdict}', flush=True)
    return 1 if bad else 0


if __name__ == '__main__':
    sys.exit(main())
