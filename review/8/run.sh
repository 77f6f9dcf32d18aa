#!/bin/sh
# TROUBLE=0: the same with an entry that is JSON.
exec python3 "$(dirname "$0")/run.py"
