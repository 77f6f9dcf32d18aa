"""Serving of language models on reclaimable VMs."""

from __future__ import annotations

import os

__version__ = '0.1.0'

# gRPC reads this when it is first imported. Without it, gRPC prints a line
# for each closed connection, outside of the log.
os.environ.setdefault('GRPC_VERBOSITY', 'NONE')
