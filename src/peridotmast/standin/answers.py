"""Deterministic answers of the stand-in engine."""

from __future__ import annotations

import hashlib

WORDS = (
    'amber birch cedar dune ember fjord grove heron iris jetty kelp lagoon '
    'maple north olive pine quartz reef sage tide'
).split()


def answer_seed(model: str, adapter: str, prompt: str) -> int:
    """Return the seed from which an answer's tokens are derived."""
    text = f'{model}|{adapter}|{prompt}'.encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), 'big')


def token(seed: int, position: int) -> str:
    """Return the token at `position`, with a leading space."""
    mixed = (seed + position * 0x9E3779B97F4A7C15) & 0xFFFFFFFFFFFFFFFF
    mixed ^= mixed >> 29
    return f' {WORDS[mixed % len(WORDS)]}{position}'


def full_answer(
    model: str, adapter: str, prompt: str, length: int
) -> list[str]:
    """Return all `length` tokens of an answer."""
    seed = answer_seed(model, adapter, prompt)
    return [token(seed, position) for position in range(length)]
