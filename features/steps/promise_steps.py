"""Steps for statuses which promise that a request did not run."""

from __future__ import annotations

from unittest import mock

from behave import then
import peer_model

from peridotmast import failures
from peridotmast.platform import names
from peridotmast.schema import peridotmast_pb2 as pb
from peridotmast.serving import stream as stream_


@then(
    'a stream that may run once is not begun again after its move has failed'
)
def move_is_refused(context):
    world = peer_model.World({'r-0': ()}, ['moved', 'refuse'], ())
    router = world.routers['r-0']
    places, relay = router.serving.placement, router.serving._relay

    class Conn(peer_model.UpstreamConn):
        def read_head(self, method, deadline):
            head = super().read_head(method, deadline)
            if self.outcome == 'moved':
                head.headers.append((names.SEAL, self.upstream))
                self.parts = self.move()
            return head

        def move(self):
            stream = relay._open[-1]
            target = places.choose(
                stream.exchange, peer_model.SERVICE, {self.upstream}
            )
            stream.begin_migration()
            stream.end_migration(stream_.MigratedRun(target, 'kv'))
            yield failures.unknown('broke_off')

    router.serving.pool.acquire = lambda address: Conn(
        world, f'u-{address[-1]}'
    )
    route = pb.Route(name='fixed', kind=pb.STREAMING, attempts=1)
    route.timeout_ms, route.target_ms, route.target_gap_ms = 9000, 400, 800
    with mock.patch.dict(peer_model.ROUTES, fixed=route):
        got = router.ask('fixed', 'request')
    assert world.arrived == ['request'] * 2, world.arrived
    assert got.kind is failures.FailureKind.OUTCOME_UNKNOWN, got
