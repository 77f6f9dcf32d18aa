"""Counters and latency histograms of the request path."""

from __future__ import annotations

import prometheus_client

_LATENCY_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2,
              2.0, 4.0, 8.0, 16.0)  # fmt: skip
"""Upper bounds of the latency buckets, in s; dense around common latency
targets."""


class ServingMetrics:
    """Request metrics of one router, with a bounded number of label values.

    Parameters
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry in which the metrics are registered.
    """

    def __init__(self, registry: prometheus_client.CollectorRegistry) -> None:
        self.requests = prometheus_client.Counter(
            'peridotmast_requests',
            'Requests by service and outcome: a status or a reason.',
            ['service', 'outcome'],
            registry=registry,
        )
        self.attempts = prometheus_client.Counter(
            'peridotmast_attempts',
            'Requests sent to upstreams, by service and outcome.',
            ['service', 'outcome'],
            registry=registry,
        )
        self.forwarded = prometheus_client.Counter(
            'peridotmast_forwarded',
            'Requests forwarded to peers, by service and outcome.',
            ['service', 'outcome'],
            registry=registry,
        )
        self.first_byte = prometheus_client.Histogram(
            'peridotmast_first_byte_seconds',
            'Time from a request to the first bytes of its answer.',
            ['service', 'priority'],
            registry=registry,
            buckets=_LATENCY_S,
        )
        self.answer_time = prometheus_client.Histogram(
            'peridotmast_answer_seconds',
            'Time from a request to the end of its answer.',
            ['service', 'priority'],
            registry=registry,
            buckets=_LATENCY_S,
        )
        self.broken_answers = prometheus_client.Counter(
            'peridotmast_broken_answers',
            'Answers that broke off after they had begun, by reason.',
            ['service', 'reason'],
            registry=registry,
        )
        self.team_tokens = prometheus_client.Counter(
            'peridotmast_team_tokens',
            'Tokens of the requests that upstreams started, by team.',
            ['team'],
            registry=registry,
        )
        self.team_level = prometheus_client.Gauge(
            'peridotmast_team_level',
            'Tokens left of the limit of a team over all routers.',
            ['team'],
            registry=registry,
        )
        self.report_age = prometheus_client.Gauge(
            'peridotmast_report_age_seconds',
            "Age of this router's oldest report that a live peer goes by.",
            registry=registry,
        )
        self.limit_questions = prometheus_client.Counter(
            'peridotmast_limit_questions',
            'Requests for tokens that the head of the group decided, by'
            ' outcome: lent, refused or unanswered.',
            ['outcome'],
            registry=registry,
        )
        self.versions = prometheus_client.Gauge(
            'peridotmast_upstream_versions',
            'Software versions at which streams of a service may have begun.',
            ['service'],
            registry=registry,
        )
        self.taken_up = prometheus_client.Counter(
            'peridotmast_streams_taken_up',
            'Streams that callers took up, by who knew their version.',
            ['service', 'source'],
            registry=registry,
        )
        self.scarcity = prometheus_client.Gauge(
            'peridotmast_scarcity',
            'Smoothed ratio of load to capacity of an engine service.',
            ['service'],
            registry=registry,
        )
        self.ordered = prometheus_client.Counter(
            'peridotmast_ordered_requests',
            'Requests to measured engine services, by order of urgency.',
            ['service', 'order'],
            registry=registry,
        )
        self.scarcity_refusals = prometheus_client.Counter(
            'peridotmast_scarcity_refusals',
            'Requests refused as they could not end in time, by priority.',
            ['service', 'priority'],
            registry=registry,
        )
        self.resumed_streams = prometheus_client.Counter(
            'peridotmast_resumed_streams',
            'Streams that went on at another upstream.',
            ['service'],
            registry=registry,
        )
        self.upstream_speed = prometheus_client.Gauge(
            'peridotmast_upstream_speed',
            'Estimated speed of an upstream relative to its service.',
            ['upstream'],
            registry=registry,
        )
