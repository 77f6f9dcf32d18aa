"""Mutation tests: removes safety checks and verifies that a test fails.

Usage: python tools/mutate.py [NAME ...]

Each mutation is applied to a copy of src/ that takes precedence over the
installed package. The feature named in the mutation is run, and one of its
scenarios must fail.
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
ROLLOUT = 'peridotmast/rollout/'


@dataclasses.dataclass(frozen=True)
class Mutation:
    """The removal of one safety check from a source file."""

    name: str
    file: str
    old: str
    new: str
    feature: str


MUTATIONS = (
    Mutation(
        'accept requests after the drain has finished',
        ROUTER + 'drain.py',
        'self._gateway.close()',
        'pass',
        'router_stop',
    ),
    Mutation(
        'discard the pending orders of the previous holder',
        DUTIES + 'scaler.py',
        'self._tracker.restore(state.orders)',
        'pass',
        'planner',
    ),
    Mutation(
        'restore a state that is too old',
        DUTIES + 'scaler.py',
        'if abs(self._fleet_now() - state.at_ms) <= _MAX_STATE_AGE_MS:',
        'if True:',
        'planner',
    ),
    Mutation(
        'save an accepted order only at the next due renewal',
        DUTIES + 'duty_holder.py',
        'if is_due or self._must_save_state():',
        'if is_due:',
        'duties',
    ),
    Mutation(
        'apply a handover that this run has written',
        COORDINATION + 'lease.py',
        "self.received_handover = None if was_own else spec['left']",
        "self.received_handover = spec['left']",
        'duties',
    ),
    Mutation(
        'ignore starting peers when selecting watchers',
        COORDINATION + 'watchers.py',
        'return live | self._members.starting_names()',
        'return live',
        'fleet',
    ),
    Mutation(
        'keep an own entry with an outdated location',
        COORDINATION + 'registry.py',
        'if own is not None and _is_location_current(own, me):',
        'if own is not None:',
        'fleet',
    ),
    Mutation(
        'do not read the entries after writing the own one',
        COORDINATION + 'registry.py',
        'return self._discover() is not None',
        'return True',
        'fleet',
    ),
    Mutation(
        'send a whole round of beacons at once',
        COORDINATION + 'beacons.py',
        'green.sleep_ms(_PAUSE_MS)',
        'pass',
        'groups',
    ),
    Mutation(
        'treat the member list of a new head as complete',
        ROUTER + 'beacon_rounds.py',
        'base.others_alive = head_ms < _HEAD_WARMUP_MS',
        'base.others_alive = False',
        'groups',
    ),
    Mutation(
        'ignore a new head until the old one times out',
        ROUTER + 'peering.py',
        'is_expected = head == accepted or head in expected',
        'is_expected = head == accepted',
        'groups',
    ),
    Mutation(
        'notify contenders of renewals only by beacons',
        DUTIES + 'duty_holder.py',
        'self._notify(successors[:_MAX_NOTIFIED])',
        'pass',
        'duties',
    ),
    Mutation(
        'lend the same tokens again',
        SERVING + 'quota.py',
        'bucket.lent += tokens',
        'bucket.lent += 0',
        'groups',
    ),
    Mutation(
        'do not count borrowed tokens',
        SERVING + 'quota.py',
        'bucket.borrowed += tokens',
        'bucket.borrowed += 2 * tokens',
        'groups',
    ),
    Mutation(
        'end a stream that can not be resumed when it stalls',
        SERVING + 'stream_relay.py',
        'if not stream.may_resume():\n            return',
        'if False:\n            return',
        'streams',
    ),
    Mutation(
        'halve the required upstreams after a takeover',
        DUTIES + 'required_capacity.py',
        'if self._is_first_holder:',
        'if True:',
        'planner',
    ),
    Mutation(
        'discard the requirements of the previous holder',
        DUTIES + 'required_capacity.py',
        'if service in self._restored:',
        'if False:',
        'planner',
    ),
    Mutation(
        'keep only the last of the former holders',
        COORDINATION + 'lease.py',
        "former[current['router']] = 0",
        "former = {current['router']: 0}",
        'lease',
    ),
    Mutation(
        'keep former holders longer than a lease',
        COORDINATION + 'lease.py',
        'if ms + held_ms < self.length_ms',
        'if True',
        'lease',
    ),
    Mutation(
        'drop former holders at once',
        COORDINATION + 'lease.py',
        'if ms + held_ms < self.length_ms',
        'if False',
        'lease',
    ),
    Mutation(
        'select the same routers of other failure domains for all callers',
        COORDINATION + 'router_selector.py',
        'return self._draws.sample(members, max_count)',
        'return members[:max_count]',
        'fleet',
    ),
    Mutation(
        'act as head until a higher-ranked starting peer is heard',
        COORDINATION + 'groups.py',
        'eligible = (live | self._members.starting_names()) - leaving',
        'eligible = live - leaving',
        'groups',
    ),
    Mutation(
        'stay head of a group while leaving',
        COORDINATION + 'groups.py',
        'eligible = (live | self._members.starting_names()) - leaving',
        'eligible = live | self._members.starting_names()',
        'groups',
    ),
    Mutation(
        'treat an update beacon as the full state',
        ROUTER + 'catch_up.py',
        'if known < beacon.upstreams_since:',
        'if False:',
        'groups',
    ),
    Mutation(
        'call the seeds although the store has answered',
        ROUTER + 'catch_up.py',
        'if self._fleet_state.is_synced_with_store:',
        'if False:',
        'spread',
    ),
    Mutation(
        'retry a non-idempotent request that may have run',
        SERVING + 'dispatcher.py',
        'if not exchange.may_repeat or state.runs >= exchange.route.attempts:',
        'if state.runs >= 3:',
        'once',
    ),
    Mutation(
        'report not_run for a request that may have run',
        SERVING + 'dispatcher.py',
        'if state.runs and failure.kind is failures.FailureKind.NOT_RUN:',
        'if False:',
        'once',
    ),
    Mutation(
        'try more upstreams than the route allows',
        SERVING + 'dispatcher.py',
        'if not exchange.may_repeat or state.runs >= exchange.route.attempts:',
        'if not exchange.may_repeat:',
        'once',
    ),
    Mutation(
        'retry without a budget',
        SERVING + 'retry_budget.py',
        'granted = is_usable and len(retries) + 1 <= allowed * _USED_SHARE',
        'granted = is_usable',
        'limits',
    ),
    Mutation(
        'grant retries that an earlier run may have sent',
        SERVING + 'retry_budget.py',
        'granted = is_usable and ',
        'granted = ',
        'retry_budget',
    ),
    Mutation(
        'use a grown share of the slack at once',
        SERVING + 'retry_budget.py',
        'return min(known for _, known in self._shares)',
        'return share',
        'retry_budget',
    ),
    Mutation(
        'let a leaving router keep its share of the slack',
        COORDINATION + 'members.py',
        '        if self.me.state != ALIVE:\n            return 0.0\n',
        '',
        'retry_budget',
    ),
    Mutation(
        'spend the burst of a team again after a restart of all routers',
        SERVING + 'quota.py',
        'unspent = bucket.burst if self.is_first_run() else 0',
        'unspent = bucket.burst',
        'groups',
    ),
    Mutation(
        'take the entry of an earlier run for one of this run',
        COORDINATION + 'registry.py',
        'self._has_earlier_run = own is not None',
        'self._has_earlier_run = False',
        'fleet',
    ),
    Mutation(
        'forward a not-run status without confirmation',
        SERVING + 'dispatcher.py',
        'if sent.head.status not in NOT_RUN_STATUSES:',
        'if True:',
        'odd_upstreams',
    ),
    Mutation(
        'accept the response to another request',
        PLATFORM + 'dialect.py',
        'if exchange.id and echoed and echoed != exchange.id:',
        'if False:',
        'odd_upstreams',
    ),
    Mutation(
        'accept a successful response without a seal',
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
        'reuse a connection whose body was not fully sent',
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
        'send a request without the expected upstream',
        PLATFORM + 'dialect.py',
        '            (names.EXPECT_UPSTREAM, view.name),\n',
        '',
        'odd_upstreams',
    ),
    Mutation(
        "forward a caller's own team header",
        PLATFORM + 'caller_app.py',
        '        names.TEAM,\n',
        '',
        'callers',
    ),
    Mutation(
        "forward the caller's key",
        PLATFORM + 'caller_app.py',
        '        | {names.AUTHORIZATION.lower()}\n',
        '',
        'callers',
    ),
    Mutation(
        'accept a request with two lengths',
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
        'do not detect callers that disconnect',
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
        "        self._buffer = b''\n"
        '        return',
        'streams',
    ),
    Mutation(
        'no time-out for a stalled stream',
        SERVING + 'stream_relay.py',
        'min(exchange.deadline, self._clock.now() + stall_ms)',
        'exchange.deadline',
        'streams',
    ),
    Mutation(
        'resume a stream that is not resumable',
        SERVING + 'stream.py',
        'return route.resumable and len(self.tried) < route.attempts',
        'return True',
        'streams',
    ),
    Mutation(
        'migrate no streams from a leaving upstream',
        SERVING + 'stream_migrator.py',
        'if not is_leaving or view.run in self._leaving:',
        'if True:',
        'reclaim',
    ),
    Mutation(
        'send new requests to a leaving upstream',
        SERVING + 'upstream_view.py',
        'return self.record.state in (LIVE, LAPSED)',
        'return self.record.state != GONE',
        'reclaim',
    ),
    Mutation(
        'treat entries that expire in an outage as gone',
        COORDINATION + 'upstream_feed.py',
        'state = upstreams_.LAPSED if after_outage else upstreams_.GONE',
        'state = upstreams_.GONE',
        'upstreams',
    ),
    Mutation(
        'select the home of a prompt independently on each router',
        SERVING + 'candidates.py',
        'for point in _probe_points(prefix):',
        'for point in _probe_points(prefix + str(id(self))):',
        'limits',
    ),
    Mutation(
        'keep the loads of routers that have fallen silent',
        SERVING + 'upstreams.py',
        'for router in [r for r in self._upstreams_of if r not in routers]:',
        'for router in ():',
        'limits',
    ),
    Mutation(
        'plan no upstreams beyond the number needed',
        DUTIES + 'capacity_plan.py',
        'missing = needed + max_reclaimable - mix.total',
        'missing = needed - mix.total',
        'planner',
    ),
    Mutation(
        'accept an older record of an upstream',
        SERVING + 'upstreams.py',
        'if record.revision <= view.record.revision:',
        'if False:',
        'upstreams',
    ),
    Mutation(
        'apply an older configuration',
        COORDINATION + 'config_feed.py',
        'if version <= self.routes.version:',
        'if False:',
        'config',
    ),
    Mutation(
        'overwrite a concurrent configuration change',
        COORDINATION + 'config_feed.py',
        'result = self._store.write(KIND, NAME, spec, base_version)',
        'result = self._store.write(\n            KIND, NAME, spec,'
        ' self._store.read(KIND, NAME).revision\n        )',
        'config',
    ),
    Mutation(
        'keep watching without the history in the store',
        COORDINATION + 'kind_watch.py',
        '            self._listed = False\n            return',
        '            return',
        'config',
    ),
    Mutation(
        'start orders shortly before a lease expires',
        COORDINATION + 'lease.py',
        'return self.remaining_ms > self._guard_ms',
        'return self.remaining_ms > 0',
        'lease',
    ),
    Mutation(
        'acquire a lease before it expires',
        COORDINATION + 'lease.py',
        'if now - self._first_seen_at >= length:',
        'if now - self._first_seen_at >= length // 2:',
        'lease',
    ),
    Mutation(
        'keep the fencing number for a new holder',
        COORDINATION + 'lease.py',
        "'fencing': fencing if keeps_number and fencing else fencing + 1,",
        "'fencing': max(1, fencing),",
        'lease',
    ),
    Mutation(
        'return released duties to a recent holder',
        COORDINATION + 'lease.py',
        "if current.get('released') and not held_recently:",
        "if current.get('released'):",
        'lease',
    ),
    Mutation(
        'take over the lease of another endpoint',
        COORDINATION + 'lease.py',
        "and current.get('place') == self._endpoint",
        'and True',
        'lease',
    ),
    Mutation(
        'take over a lease with an unknown endpoint',
        COORDINATION + 'lease.py',
        'bool(self._endpoint)\n            and',
        'True\n            and',
        'lease',
    ),
    Mutation(
        "take over another router's lease",
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
        "count a suspension as time for a dead run's orders to arrive",
        COORDINATION + 'lease.py',
        'bound_ms = self._clock.now() - self._bound_at',
        'bound_ms = self._clock.boot_time() - self._bound_at',
        'lease',
    ),
    Mutation(
        'drop the former holders at each acquisition',
        COORDINATION + 'lease.py',
        'former = _former_holders(current)\n        is_own_or_predecessor',
        'former = {}\n        is_own_or_predecessor',
        'lease',
    ),
    Mutation(
        'attempt a takeover from any holder',
        COORDINATION + 'lease.py',
        'if not self._may_take_over(self._current()):',
        'if False:',
        'lease',
    ),
    Mutation(
        'share the address of the beacon socket',
        COORDINATION + 'beacons.py',
        'self._sock.setblocking(False)',
        'self._sock.setblocking(False)\n       '
        ' self._sock.setsockopt(socket.SOL_SOCKET, 15, 1)',
        'lease',
    ),
    Mutation(
        'acquire the lease without an endpoint',
        ROUTER + 'router.py',
        'self.lease.set_endpoint(\n            endpoint_identity.of_address('
        'self.beacons.address)\n        )',
        "self.lease.set_endpoint('')",
        'duties',
    ),
    Mutation(
        'take over the lease of a holder that other routers still know',
        DUTIES + 'duty_holder.py',
        'self._may_take_over = False\n            self._vacant_since = 0',
        'self._vacant_since = 0',
        'duties',
    ),
    Mutation(
        'recount a window after a change of holder',
        DUTIES + 'usage_reporter.py',
        'if not self._is_current and not self._read():',
        'if False:',
        'duties',
    ),
    Mutation(
        'send a report whose counts were not stored',
        DUTIES + 'usage_reporter.py',
        'if self._fleet_now() >= ready_at and self._write(window):',
        'if self._fleet_now() >= ready_at and (self._write(window) or True):',
        'duties',
    ),
    Mutation(
        'count only the usage of this router',
        SERVING + 'usage.py',
        'for counts in self._counts_by_run.values():',
        'for counts in ():',
        'duties',
    ),
    Mutation(
        "use one VM's clock instead of the median",
        COORDINATION + 'fleet_clock.py',
        'self._median = int(statistics.median(offsets))',
        'self._median = own_offset',
        'duties',
    ),
    Mutation(
        'ignore the spending of other routers',
        SERVING + 'quota.py',
        'bucket.level = min(bucket.burst, bucket.level - tokens)',
        'pass',
        'limits',
    ),
    Mutation(
        'spend the whole limit while isolated',
        SERVING + 'quota.py',
        'self.level + gained * share)',
        'self.level + gained)',
        'limits',
    ),
    Mutation(
        'accept a beacon with an invalid signature',
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
        'end the drain before requests have finished',
        'peridotmast/router/drain.py',
        'return elapsed_ms >= _MIN_ACCEPT_MS and not self._gateway.in_flight',
        'return elapsed_ms >= 100',
        'router_stop',
    ),
    Mutation(
        'ignore the loss of a failure domain in a plan',
        DUTIES + 'capacity_plan.py',
        'return self.total - max(self.reclaimable.values(), default=0)',
        'return self.total',
        'planner',
    ),
    Mutation(
        'accept a late record of an earlier run',
        SERVING + 'upstreams.py',
        'if born and view.born and born != view.born:',
        'if born and view.born and born > view.born:',
        'incarnation',
    ),
    Mutation(
        'keep the state of an earlier run',
        SERVING + 'upstreams.py',
        'if born and view.born and born != view.born:',
        'if False:',
        'incarnation',
    ),
    Mutation(
        'count load on an earlier run for the later run',
        SERVING + 'upstreams.py',
        'return not (load.born and view.born) or load.born == view.born',
        'return True',
        'incarnation',
    ),
    Mutation(
        'keep waiting for responses of an ended run',
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
        'accept an entry with malformed fields',
        PLATFORM + 'upstream_codec.py',
        '    fields.raise_if_malformed()\n    return record',
        '    return record',
        'entries',
    ),
    Mutation(
        'accept an unusable address',
        SERVING + 'upstreams.py',
        'if record.state in _NAME_ONLY_STATES or _is_usable(record):',
        'if True:',
        'entries',
    ),
    Mutation(
        'accept a beacon with negative numbers',
        COORDINATION + 'beacon_check.py',
        'if any(number < 0 for number in _non_negative_numbers(beacon)):',
        'if False:',
        'entries',
    ),
    Mutation(
        'drop all objects because of a malformed one',
        PLATFORM + 'object_codec.py',
        'response = _recover_list(text, key)',
        'raise ValueError(text[:9])',
        'entries',
    ),
    Mutation(
        'hold no reserve of reclaimable upstreams',
        DUTIES + 'service_reconciler.py',
        'self._reserve = max(needed, reserve)',
        'self._reserve = needed',
        'planner',
    ),
    Mutation(
        'count lost upstreams as pending',
        DUTIES + 'order_tracker.py',
        'pending.coming -= max(0, live - pending.live)',
        'pending.coming -= live - pending.live',
        'planner',
    ),
    Mutation(
        'start with a full bucket despite earlier spending',
        SERVING + 'quota.py',
        'if bucket.is_known:\n            return self._pacing_ms',
        'if True:\n            return self._pacing_ms',
        'groups',
    ),
    Mutation(
        'subtract spending that peers have subtracted',
        SERVING + 'quota.py',
        'bucket.level, bucket.at = min(bucket.burst, tokens), now',
        'bucket.level, bucket.at = tokens - self._spent.get(team, 0), now',
        'groups',
    ),
    Mutation(
        'send the remaining limits to no peer',
        ROUTER + 'beacon_rounds.py',
        'if not lacking:',
        'if True:',
        'groups',
    ),
    Mutation(
        'start with a full bucket if no peer reports a level',
        SERVING + 'quota.py',
        'bucket.level = min(bucket.level, remaining)',
        'pass',
        'groups',
    ),
    Mutation(
        'do not pace requests while the level is low',
        SERVING + 'quota.py',
        'self.has_stale_peer_data() and is_low and _is_small(bucket, tokens)',
        'False',
        'groups',
    ),
    Mutation(
        'estimate nothing while a head is silent',
        COORDINATION + 'report_gaps.py',
        'if source is None or now - source.at <= _FRESH_MS:',
        'if True:',
        'groups',
    ),
    Mutation(
        'estimate nothing for the gap between two heads',
        COORDINATION + 'report_gaps.py',
        'return self._estimate(share, known.until)',
        'return {}',
        'groups',
    ),
    Mutation(
        'keep an estimate when the same head reports again',
        COORDINATION + 'report_gaps.py',
        'return {team: -count for team, count in known.estimated.items()}',
        'return {}',
        'groups',
    ),
    Mutation(
        'estimate spending for a time without gained tokens',
        SERVING + 'quota.py',
        'ms = now - max(since, bucket.full_at)',
        'ms = now - since',
        'groups',
    ),
    Mutation(
        "leave a head's estimate out of its members' totals",
        COORDINATION + 'fleet_counts.py',
        '        _add(self._outside_group, counts)\n'
        '        self._apply(counts)',
        '        self._apply(counts)',
        'groups',
    ),
    Mutation(
        'keep the debt of a request that did not run',
        SERVING + 'quota.py',
        'bucket.debt = 0',
        'pass',
        'limits',
    ),
    Mutation(
        'let one peer with long failures hide new outage reports',
        COORDINATION + 'outage_reports.py',
        'is_first = self._reports.get(peer, limit) <= limit',
        'is_first = self._reported_at <= limit',
        'store_reads',
    ),
    Mutation(
        'send an order after the lease is lost',
        COORDINATION + 'lease.py',
        'return self.remaining_ms if is_same and self.may_act() else 0',
        'return self.length_ms',
        'duties',
    ),
    Mutation(
        'deliver unsent data of an abandoned call',
        WIRE + 'http_client.py',
        'conn.reset_on_close = True',
        'conn.reset_on_close = False',
        'duties',
    ),
    Mutation(
        'close a connection that has received a request',
        WIRE + 'server.py',
        'if not _has_unread_bytes(sock):',
        'if True:',
        'router_stop',
    ),
    Mutation(
        'serve a request on a connection that was shut',
        WIRE + 'strict_protocol.py',
        'if was_shut or not first:',
        'if not first:',
        'router_stop',
    ),
    Mutation(
        'wait for the outcome of a probe without a time limit',
        SERVING + 'health.py',
        'return not self._is_probing or is_expired',
        'return not self._is_probing',
        'limits',
    ),
    Mutation(
        'share limits only with routers that were heard',
        COORDINATION + 'members.py',
        'and (peer.was_seen or self.is_newly_discovered(peer))',
        'and peer.was_seen',
        'groups',
    ),
    Mutation(
        'do not restart waiting watches after an outage',
        COORDINATION + 'outage.py',
        "self._log.info('store_recovered')\n        self.on_recovery()",
        "self._log.info('store_recovered')",
        'store_reads',
    ),
    Mutation(
        "do not restart watches at a peer's outage report",
        COORDINATION + 'outage_reports.py',
        'self._on_outage()',
        'pass',
        'store_reads',
    ),
    Mutation(
        'use the end of a call as the time of its failure',
        COORDINATION + 'outage.py',
        'if self._clock.now() - age_ms < self._answered_at:',
        'if False:',
        'upstreams',
    ),
    Mutation(
        'send a lapsed record without its age',
        SERVING + 'upstreams.py',
        'record.doubted_ms = now - view.not_live_since',
        'pass',
        'upstreams',
    ),
    Mutation(
        'never probe an unavailable store',
        COORDINATION + 'store_prober.py',
        'if self._outage.is_out and is_quiet:',
        'if False:',
        'store_reads',
    ),
    Mutation(
        'probe a store while other calls use it',
        COORDINATION + 'store_prober.py',
        'if self._outage.is_out and is_quiet:',
        'if self._outage.is_out:',
        'upstreams',
    ),
    Mutation(
        'apply counts that arrive by two paths twice',
        COORDINATION + 'fleet_counts.py',
        """        if counted:
            self._apply(increments)

    def receive_group(""",
        """        self._apply(increments)

    def receive_group(""",
        'groups',
    ),
    Mutation(
        'keep the baseline of a head after another one reports',
        COORDINATION + 'fleet_counts.py',
        'if self._heads.get(_OWN_GROUP) != head:',
        'if False:',
        'groups',
    ),
    Mutation(
        'keep peers alive that their head no longer reports',
        COORDINATION + 'members.py',
        'self._peers[name].last_reported_at = 0',
        'pass',
        'groups',
    ),
    Mutation(
        'accept load from an earlier incarnation',
        'peridotmast/router/peering.py',
        'if news.incarnation == peer.member.incarnation:',
        'if False:',
        'limits',
    ),
    Mutation(
        'give long prompts the urgency of short ones',
        SERVING + 'urgency.py',
        '_PRIORITY_STEP * priority + step',
        '_PRIORITY_STEP * priority',
        'limits',
    ),
    Mutation(
        'hold no firm upstreams in reserve for a loss',
        DUTIES + 'service_reconciler.py',
        'return max(1, self._needed - max(0, max_reclaimable - 1))',
        'return 1',
        'planner',
    ),
    Mutation(
        'send configuration copies without a rate limit',
        ROUTER + 'config_copies.py',
        'return 0 if self._budget > 0 else 1 + int(-self._budget / _MAX_RATE)',
        'return 0',
        'spread',
    ),
    Mutation(
        'ask peers for unpacked configurations',
        ROUTER + 'config_fetcher.py',
        'takes_packed=True',
        'takes_packed=False',
        'spread',
    ),
    Mutation(
        'report no holders of a configuration copy',
        ROUTER + 'config_copies.py',
        'self._holders.append(req.peer_address)',
        'pass',
        'spread',
    ),
    Mutation(
        'call no second peer while the first is slow',
        ROUTER + 'config_fetcher.py',
        'at > now - _HEDGE_DELAY_MS for at in started',
        'True for at in started',
        'spread',
    ),
    Mutation(
        'trust peers whose claims the store contradicts',
        ROUTER + 'config_fetcher.py',
        'self._ignore_peers(contradicted, claimed, found)',
        'pass',
        'spread',
    ),
    Mutation(
        'add no watchers while the store refuses routers',
        ROUTER + 'fleet_state.py',
        'self.watchers.is_outage_suspected = is_outage_suspected',
        'pass',
        'config',
    ),
    Mutation(
        'treat a version that cannot be parsed as contradicted',
        ROUTER + 'config_fetcher.py',
        'found = claimed._replace(**{part: stored})',
        'found = self._versions_in_force()',
        'spread',
    ),
    Mutation(
        'keep reading an unparseable version from the store',
        ROUTER + 'config_fetcher.py',
        'self._skip_unreadable(_NO_VERSIONS._replace(**{part: stored}))',
        'pass',
        'spread',
    ),
    Mutation(
        'never fetch again a version that was unparseable',
        ROUTER + 'config_fetcher.py',
        'return self.versions if now < self.until else _NO_VERSIONS',
        'return self.versions',
        'spread',
    ),
    Mutation(
        'read the store while a read is in progress',
        ROUTER + 'config_fetcher.py',
        ' and not self._is_reading_store:',
        ':',
        'spread',
    ),
    Mutation(
        'call the seeds in the same order at all routers',
        ROUTER + 'catch_up.py',
        'self._random.shuffle(addresses)',
        'pass',
        'spread',
    ),
    Mutation(
        'ignore a peer forever after one wrong claim',
        ROUTER + 'config_fetcher.py',
        'self._ignored_until[address] = now + _IGNORE_MS',
        'self._ignored_until[address] = now + 10**9',
        'spread',
    ),
    Mutation(
        'keep fetching an unparseable version from peers',
        ROUTER + 'config_fetcher.py',
        'self._unreadable = _Unreadable(found, until)',
        'pass',
        'spread',
    ),
    Mutation(
        'reuse a packed copy for later versions',
        ROUTER + 'config_copies.py',
        'if version != part.version:',
        'if not version:',
        'spread',
    ),
    Mutation(
        'refuse large bodies permanently by old limits',
        PLATFORM + 'caller_app.py',
        'retry_ms = self._gateway.retry_ms() if is_too_large else 0',
        'retry_ms = 0',
        'spread',
    ),
    Mutation(
        'refuse large heads permanently by old limits',
        WIRE + 'strict_protocol.py',
        'self.http_server.retry_after_ms()',
        '0',
        'spread',
    ),
    Mutation(
        'refuse permanently without a configuration',
        SERVING + 'gateway.py',
        "return 'no_config', _NO_CONFIG_RETRY_MS",
        "return '', 0",
        'callers',
    ),
    Mutation(
        'refuse max_tokens by an outdated configuration',
        ROUTER + 'chat_api.py',
        'return self._gateway.retryable_if_stale(beyond)',
        'return beyond',
        'spread',
    ),
    Mutation(
        'refuse permanently by a stale configuration',
        SERVING + 'gateway.py',
        'if self.config_is_stale():',
        'if False:',
        'spread',
    ),
    Mutation(
        'restart every watch for an update of one kind',
        ROUTER + 'fleet_state.py',
        'if watch.kind in _KINDS_OF_PART[part]:',
        'if True:',
        'store_reads',
    ),
    Mutation(
        'apply one time-out to a whole large response',
        WIRE + 'http_client.py',
        'deadline = self._clock.now() + body_timeout_ms',
        'pass',
        'store_reads',
    ),
    Mutation(
        'suspect an outage forever after one failed call',
        COORDINATION + 'outage.py',
        'self.is_out and now - self._failed_at < _FAILURE_VALID_MS',
        'self.is_out',
        'upstreams',
    ),
    Mutation(
        'dispatch a request that has crashed three upstreams',
        SERVING + 'dispatcher.py',
        'if retry_after_ms:',
        'if False:',
        'crashes',
    ),
    Mutation(
        'ignore crash suspects from peers',
        ROUTER + 'peering.py',
        'self._serving.crashes.merge_updates(beacon.crash_suspects)',
        'pass',
        'crashes',
    ),
    Mutation(
        'relay no crash suspects as a head',
        ROUTER + 'peering.py',
        'serving.crashes.relays_updates = self.has_delayed_totals',
        'pass',
        'groups',
    ),
    Mutation(
        'store no blocked requests with the lease',
        DUTIES + 'crash_blocks.py',
        'state.crash_suspects.extend(self._crashes.blocked_requests())',
        'pass',
        'crashes',
    ),
    Mutation(
        'do not cancel the attempts of a blocked request',
        SERVING + 'sender.py',
        'conn.cancel(crash_tracker_.BLOCK_REASON)',
        'pass',
        'crashes',
    ),
    Mutation(
        'count each lost connection as a crash',
        SERVING + 'crash_tracker.py',
        'self._last_answered[view.run] = sent_at',
        'pass',
        'crashes',
    ),
    Mutation(
        'count upstreams lost together as several crashes',
        SERVING + 'crash_tracker.py',
        'if not (is_near and crash.sent_at < first_at):',
        'if True:',
        'crashes',
    ),
    Mutation(
        'evict blocked requests first',
        SERVING + 'crash_tracker.py',
        'key=lambda s: (s.is_blocked, s.seen_at)',
        'key=lambda s: s.seen_at',
        'crashes',
    ),
    Mutation(
        'retry a blocked request on any router',
        SERVING + 'crash_tracker.py',
        'not self.may_retry()',
        'False',
        'crashes',
    ),
    Mutation(
        'do not count the retries of a blocked request',
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
        SERVING + 'stream.py',
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
        'ignore the rate limits of upstreams in the estimate',
        DUTIES + 'required_capacity.py',
        'return round(sum(max(0, 1 - limit / capacity) for limit in limits))',
        'return 0',
        'planner',
    ),
    Mutation(
        'pass no rate limits of upstreams to the estimator',
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
        'do not count requests against the limit of an upstream',
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
        'start a share of a limit with all tokens',
        SERVING + 'upstream_limits.py',
        'limit.tokens = min(limit.tokens, limit.burst)',
        'limit.tokens = limit.burst',
        'upstream_limits',
    ),
    Mutation(
        'split a small limit between all routers',
        SERVING + 'upstream_limits.py',
        'if len(self._routers) <= max_owners:',
        'if True:',
        'upstream_limits',
    ),
    Mutation(
        'ignore upstream limits from peers',
        ROUTER + 'peering.py',
        'self._serving.limits.merge_updates(beacon.upstream_limits)',
        'pass',
        'upstream_limits',
    ),
    Mutation(
        'lift a limit by an answer to an earlier request',
        SERVING + 'upstream_limits.py',
        'elif earliest_at < limit.at:',
        'elif False:',
        'upstream_limits',
    ),
    Mutation(
        'ignore the timestamp error of a peer',
        SERVING + 'upstream_limits.py',
        'at - _TIMESTAMP_ERROR_MS,',
        'at,',
        'upstream_limits',
    ),
    Mutation(
        'use a version that no order has named',
        SERVING + 'version_gate.py',
        'if known & allowed or not allowed:',
        'if not allowed:',
        'rollouts',
    ),
    Mutation(
        'use a version again that was rolled back',
        SERVING + 'version_gate.py',
        'allowed = counts.keys() - rolled_back',
        'allowed = set(counts)',
        'rollouts',
    ),
    Mutation(
        'go on with trials without word from the holder',
        SERVING + 'rollout_view.py',
        'and self._silent_ms() <= self._trial_word_ms',
        '',
        'rollouts',
    ),
    Mutation(
        'go on with a shift without word from the holder',
        SERVING + 'rollout_view.py',
        'is_lost = self._silent_ms() > self._shift_word_ms',
        'is_lost = False',
        'rollouts',
    ),
    Mutation(
        'exceed the allowance of trial requests',
        SERVING + 'rollout_view.py',
        'and self.exposed < self.allowance',
        '',
        'rollouts',
    ),
    Mutation(
        'give trial requests out before their ceiling is stored',
        ROLLOUT + 'exposure_ledger.py',
        'return self._stored - self._given',
        'return self.ceiling - self._given',
        'rollouts',
    ),
    Mutation(
        'begin with a free ceiling as a new holder',
        ROLLOUT + 'exposure_ledger.py',
        'self._given = ceiling',
        'self._given = 0',
        'rollouts',
    ),
    Mutation(
        'condemn a version for a single upstream',
        ROLLOUT + 'verdict.py',
        '        _log_mean_exp([a - b for a, b in zip(sums, logs)])\n'
        '        for logs in by_upstream.values()',
        '        _log_mean_exp(sums) for logs in by_upstream.values()',
        'rollouts',
    ),
    Mutation(
        'compare a version with the other one at other times',
        ROLLOUT + 'verdict.py',
        "paired = counts.get((window, ''), _Counts())",
        "paired = counts.get((0, ''), _Counts())",
        'rollouts',
    ),
    Mutation(
        'complete as soon as the other versions are idle',
        ROLLOUT + 'rollout_run.py',
        'is_due = self.left_ms <= _COMMIT_MS',
        'is_due = True',
        'rollouts',
    ),
    Mutation(
        'complete while the other versions have requests',
        ROLLOUT + 'rollout_run.py',
        'and not report.others_in_flight',
        '',
        'rollouts',
    ),
    Mutation(
        'write the completion before the commit is stored',
        ROLLOUT + 'rollout_run.py',
        'is_stored = self._stored_version >= self.version',
        'is_stored = True',
        'rollouts',
    ),
    Mutation(
        'order upstreams without counting those of the other version',
        DUTIES + 'service_reconciler.py',
        'count + unused.get(domain, 0),',
        'count,',
        'planner',
    ),
    Mutation(
        'give upstreams back while a version is rolled out',
        DUTIES + 'scaler.py',
        'if self.is_rolled_out(service.name):\n            return',
        'if False:\n            return',
        'planner',
    ),
    Mutation(
        'forget an attempt once nobody waits for it',
        SERVING + 'sender.py',
        'view.health.release_probe()\n        self._abandoned.add(',
        'view.health.release_probe()\n        max(',
        'crashes',
    ),
    Mutation(
        'forget an attempt whose time limit is over',
        SERVING + 'sender.py',
        "elif failure.reason == 'silent':",
        'elif False:',
        'crashes',
    ),
    Mutation(
        'count a planned stop as a crash of an abandoned attempt',
        SERVING + 'sender.py',
        'if view.record.state == upstream_view.LEAVING:',
        'if False:',
        'crashes',
    ),
)


def run(mutation: Mutation) -> str:
    """Run the feature with the mutation and return the result."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / 'src'
        shutil.copytree(ROOT / 'src', copy)
        path = copy / mutation.file
        text = path.read_text()
        if text.count(mutation.old) != 1:
            return (
                f'stale: the old text occurs {text.count(mutation.old)} times'
            )
        path.write_text(text.replace(mutation.old, mutation.new))
        feature = f'features/{mutation.feature}.feature'
        completed = subprocess.run(
            [sys.executable, '-W', 'ignore', '-m', 'behave', '--format',
             'progress',
             '--stop', '--no-capture', feature],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(copy)},
            capture_output=True,
            text=True,
            timeout=600,
        )  # fmt: skip
    if not completed.returncode:
        return 'SURVIVED'
    prefixes = ('features/', '  features/')
    failures = [
        line.strip()
        for line in completed.stdout.splitlines()
        if line.startswith(prefixes) and '  ' in line.strip() and ':' in line
    ]
    return f'caught by {failures[0] if failures else "an error"}'


def main() -> int:
    """Run the named mutations, or all; return 1 if one was not caught."""
    names = sys.argv[1:]
    mutations = [m for m in MUTATIONS if not names or m.name in names]
    not_caught = 0
    for mutation in mutations:
        result = run(mutation)
        not_caught += not result.startswith('caught')
        print(f'{mutation.name:<52} {result}', flush=True)
    return 1 if not_caught else 0


if __name__ == '__main__':
    sys.exit(main())
