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
ROUTER = 'peridotmast/router/'
COORDINATION = 'peridotmast/coordination/'


@dataclasses.dataclass(frozen=True)
class Mutation:
    """One safety check taken out."""

    name: str
    file: str
    old: str
    new: str
    feature: str
    second_file: str = ''
    second_old: str = ''
    second_new: str = ''

    def edits(self) -> list[tuple[str, str, str]]:
        """Return file, old and new text of each edit."""
        first = [(self.file, self.old, self.new)]
        second = [(self.second_file, self.second_old, self.second_new)]
        return first + (second if self.second_file else [])


MUTATIONS = (
    Mutation(
        'run without a claim',
        ROUTER + 'desk.py',
        '            permit = self._guard.permit(call)\n',
        '            permit = None\n',
        'at_most_once',
    ),
    Mutation(
        'believe a claim that somebody else holds',
        COORDINATION + 'claims.py',
        'claim.nonce == wanted.claim.nonce,',
        'True,',
        'at_most_once',
    ),
    Mutation(
        'write claims without a condition',
        'peridotmast/platform/object_store.py',
        'return self.put(key, value, current.version)',
        'return self.put(key, value, self.get(key).version)',
        'at_most_once',
    ),
    Mutation(
        'accept a closed epoch',
        COORDINATION + 'claims.py',
        'if wanted.epoch < bucket.epoch - 1:',
        'if False:',
        'at_most_once',
    ),
    Mutation(
        'run an own claim again',
        ROUTER + 'once.py',
        'if call.key in self._unspent:\n                del self._unspent[call.key]\n                return None\n',
        'if call.key in self._unspent or True:\n                return None\n',
        'at_most_once',
    ),
    Mutation(
        'run a ticket that the ledger forgot',
        ROUTER + 'once.py',
        'if number <= self._floors[owner]:',
        'if False:',
        'at_most_once',
    ),
    Mutation(
        'run from a ledger that was given up',
        ROUTER + 'service_call.py',
        'closed = self._ledger.closed and not entry.idempotent',
        'closed = False',
        'router_stop',
    ),
    Mutation(
        'offer the ledger to another after an unsure reply',
        ROUTER + 'drain.py',
        'if not sure:\n                break',
        'if not sure:\n                continue',
        'at_most_once',
    ),
    Mutation(
        'take a body for its id alone',
        ROUTER + 'desk.py',
        'if entry.digest != call.digest:',
        'if False:',
        'serving',
    ),
    Mutation(
        'send again after the first byte',
        ROUTER + 'service_call.py',
        'return entry.idempotent or entry.state == ledger_.ACCEPTED\n',
        'return True\n',
        'silence',
    ),
    Mutation(
        'begin a single chat again',
        ROUTER + 'relay.py',
        '        if entry.idempotent or entry.frozen:\n            return True\n        if broken',
        '        if True:\n            entry.set_state(ledger_.ACCEPTED)\n            return True\n        if broken',
        'single_chat',
    ),
    Mutation(
        'skip the position check',
        ROUTER + 'relay.py',
        'if position == len(entry.tokens):',
        'if True:',
        'silence',
    ),
    Mutation(
        'skip the check of the stream id',
        ROUTER + 'relay.py',
        "if frame['s'] != own:",
        'if False:',
        'silence',
    ),
    Mutation(
        'believe any count at the end',
        ROUTER + 'relay.py',
        "if frame['n'] != len(entry.tokens):",
        'if False:',
        'silence',
    ),
    Mutation(
        'no bound on silence',
        ROUTER + 'relay.py',
        'stream.set_silence(self._cfg.token_timeout_ms)',
        'stream.set_silence(600_000)',
        'silence',
    ),
    Mutation(
        'send work to leaving upstreams',
        ROUTER + 'upstreams.py',
        'live = [v for v in self._views.values() if v.record.state == LIVE]',
        'live = [v for v in self._views.values() if v.record.state != GONE]',
        'reclaim',
        # A second check stands right before the sending.
        ROUTER + 'relay.py',
        'if view.record.state != upstreams_.LIVE:\n            return False',
        'if False:\n            return False',
    ),
    Mutation(
        'let a leaving mark be taken back',
        ROUTER + 'upstreams.py',
        'if view is not None and record.state <= view.record.state:',
        'if view is not None and record.state == view.record.state:',
        'admission',
    ),
    Mutation(
        'move nothing off a leaving upstream',
        ROUTER + 'mover.py',
        'entry.moving = True\n',
        'continue\n',
        'reclaim',
    ),
    Mutation(
        'hand nothing over',
        ROUTER + 'drain.py',
        'entry.handed_to = peer.address',
        'pass',
        'router_stop',
    ),
    Mutation(
        'order through the last part of a lease',
        COORDINATION + 'lease.py',
        'self._ends - self._guard_ms',
        'self._ends + self._guard_ms',
        'lease',
    ),
    Mutation(
        'take a lease that is not over',
        COORDINATION + 'lease.py',
        '>= self._wait_ms',
        '>= self._wait_ms // 4',
        'lease',
    ),
    Mutation(
        'keep the fencing number for a new holder',
        COORDINATION + 'lease.py',
        'lease.fencing if again else lease.fencing + 1',
        'lease.fencing or 1',
        'lease',
    ),
    Mutation(
        'ignore the fence at the engine',
        'peridotmast/standin/engine.py',
        'if self._checks_fencing and fencing < self._fencing:',
        'if False:',
        'lease',
    ),
    Mutation(
        'take an older configuration',
        COORDINATION + 'config_feed.py',
        'if version <= self.version:',
        'if version == self.version:',
        'config',
    ),
    Mutation(
        'commit over another change',
        COORDINATION + 'config_feed.py',
        'if current.version != base_version:',
        'if False:',
        'config',
    ),
    Mutation(
        'never refute',
        COORDINATION + 'membership.py',
        'if wrong:\n            self.change_me',
        'if False:\n            self.change_me',
        'silence',
    ),
    Mutation(
        'no share for drafts',
        ROUTER + 'fair_queue.py',
        'return self._turn % LOWEST_SHARE == 0',
        'return False',
        'admission',
    ),
)


def run(mutation: Mutation) -> str:
    """Return how the tests took the mutation."""
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / 'src'
        shutil.copytree(ROOT / 'src', copy)
        for file, old, new in mutation.edits():
            path = copy / file
            text = path.read_text()
            if text.count(old) != 1:
                return f'stale: its text stands {text.count(old)} times'
            path.write_text(text.replace(old, new))
        feature = f'features/{mutation.feature}.feature'
        done = subprocess.run(
            [sys.executable, '-m', 'behave', '--format', 'progress',
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
