#!/bin/sh
# TROUBLE=0: the same without the unreadable entry.
exec python3 "$(dirname "$0")/run.py"
