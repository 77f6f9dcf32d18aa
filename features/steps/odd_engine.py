"""An engine that sends what it should not, for a while."""

from __future__ import annotations

import json

from peridotmast import green
from peridotmast import http_server
from peridotmast.standin import answers
from peridotmast import web

ODD_TIMES = 3


def frame(**values):
    return b'data: ' + json.dumps(values).encode() + b'\n\n'


class OddEngine:
    """Odd for the first few streams; afterwards it answers 503."""

    def __init__(self, what):
        self._what = what.replace(' ', '_').replace("'", '')
        self._odd_left = ODD_TIMES
        self.served = 0
        app = web.WebApp('odd')
        app.route('POST', '/v1/streams', self._start)
        app.route('GET', '/v1/streams/([^/]+)', self._gone)
        app.route('GET', '/v1/load', self._load)
        app.route('GET', '/v1/cache/events', self._events)
        self.server = http_server.HttpServer('127.0.0.1:0', app)
        self.server.start()
        self.address = self.server.address
        self.totals = {'recomputed': 0}

    def stop(self):
        self.server.stop()

    def _start(self, req):
        if not self._odd_left:
            return web.error_response(503, 'full', 'odd')
        self._odd_left -= 1
        self.served += 1
        body = req.json()
        frames = getattr(self, '_' + self._what)
        return web.Response(200, frames(body), 'text/event-stream')

    def _gone(self, req, stream_id):
        return web.error_response(404, 'no_stream', stream_id)

    def _load(self, req):
        return web.json_response({'running': 0, 'waiting': 0})

    def _events(self, req):
        return web.json_response({'events': []})

    def _tokens(self, body, start, end):
        seed = answers.answer_seed(body['model'], '', body['prompt'])
        for position in range(start, end):
            word = answers.token(seed, position)
            yield frame(s=body['stream_id'], p=position, t=word)

    def _frames_of_another_stream(self, body):
        yield from self._tokens(body, 0, 3)
        yield frame(s='another', p=3, t=' wrong')
        yield frame(s='another', end=True, n=4)

    def _frames_again(self, body):
        yield from self._tokens(body, 0, 5)
        yield from self._tokens(body, 2, 8)
        yield frame(s=body['stream_id'], end=False, n=8)

    def _frames_out_of_order(self, body):
        yield from self._tokens(body, 0, 3)
        yield from self._tokens(body, 5, 9)
        yield frame(s=body['stream_id'], end=True, n=9)

    def _a_frame_that_is_not_JSON(self, body):  # noqa: N802
        yield from self._tokens(body, 0, 3)
        yield b'data: {"s": nonsense\n\n'

    def _an_end_before_the_answers_end(self, body):
        yield from self._tokens(body, 0, 4)

    def _a_false_count_at_the_end(self, body):
        yield from self._tokens(body, 0, 4)
        yield frame(s=body['stream_id'], end=True, n=30)

    def _nothing_after_its_headers(self, body):
        yield from self._tokens(body, 0, 0)
        green.sleep_ms(60_000)

    def _bytes_without_a_frames_end(self, body):
        yield from self._tokens(body, 0, 2)
        while True:
            yield b'data: ' + b'x' * 200_000
            green.sleep_ms(5)
