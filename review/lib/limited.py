"""Starts a program with the limit of descriptors that a machine has."""

import os
import resource
import sys

limit = int(os.environ.pop('CASE_FILES'))
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
os.execvp(sys.argv[1], sys.argv[1:])
