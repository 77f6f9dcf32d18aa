"""How fast engines read prompts, as this router's own requests show it."""

from __future__ import annotations

import collections
import typing as ty

_SAMPLES = 64
"""Samples kept for a service: about a minute of one small router's."""

_ENOUGH = 12
"""Samples from which on they are gone by: of fewer, one slow engine's would
be a good part."""

_LEAST_TOKENS = 1000
"""Shortest prompt that is a sample: for shorter ones most of the time goes
on the way and in the engine's step."""

_QUANTILE = 0.6
"""Whatever disturbs a sample makes it slower: a neighbour, a queue that is
not known of yet, an engine that is grey or cold. So the speed of an engine at
its work lies above the median: with the time that goes elsewhere taken off,
953 samples at engines that read 38.1 tokens a ms gave 38.0 and 239 at ones
that read 56.9 gave 56.7, on days with slow and crashed engines."""

_SHORT_TOKENS = 300
"""Longest prompt whose time goes elsewhere: on the way, in the engine's step
and its first token."""

_SHORT_SAMPLES = 32
_LEAST_SHORT = 4
"""Samples of short prompts that are kept, and from which on they are gone
by."""

_USUAL = 0.25
"""Part of the short ones that is not disturbed at all."""


class PrefillRates:
    """Speeds of reading by service, from first tokens at idle engines."""

    def __init__(self) -> None:
        self._samples: dict[str, collections.deque[tuple[int, int]]] = {}
        self._short: dict[str, collections.deque[int]] = {}

    def add_sample(self, service: str, tokens: int, ms: int) -> None:
        """Take in that an engine with nothing to read took `ms` for `tokens`.

        Parameters
        ----------
        tokens : int
            Those of the prompt that it did not hold.
        ms : int
            Time from the request to its first event.
        """
        if 0 < tokens <= _SHORT_TOKENS:
            self._short.setdefault(
                service, collections.deque(maxlen=_SHORT_SAMPLES)
            ).append(ms)
        elif tokens >= _LEAST_TOKENS:
            self._samples.setdefault(
                service, collections.deque(maxlen=_SAMPLES)
            ).append((tokens, ms))

    def tokens_per_ms(self, service: str) -> ty.Optional[float]:
        """Return tokens a ms, or None where too little is known."""
        samples = self._samples.get(service, ())
        if len(samples) < _ENOUGH:
            return None
        elsewhere = self._elsewhere_ms(service)
        speeds = sorted(
            tokens / max(1, ms - elsewhere) for tokens, ms in samples
        )
        return speeds[int(_QUANTILE * len(speeds))]

    def _elsewhere_ms(self, service: str) -> int:
        """Return the part of the time to a first event that is no reading."""
        short = sorted(self._short.get(service, ()))
        if len(short) < _LEAST_SHORT:
            return 0
        return short[int(_USUAL * len(short))]
