Feature: A way through a peer to upstreams that a router cannot reach

  # Guards against routers that are cut from all upstreams and refuse what their peers
  # could serve: 4 of 43 first tries were served there, 112 of 112 at the other routers.
  Scenario: Routers whose links to all upstreams are silent serve as often as the others
    Given a fleet of 4 routers whose links to the upstreams can be cut
    When 2 routers are cut from all upstreams, silent
    And 1000 ms pass at the fleet
    And 20 requests of each kind are sent to each router, 4 at a time, none of them again
    Then the routers that are cut serve at least two thirds as often as the others
    And no request has waited for more than two connections before it was forwarded
    And no request that may run once has run twice
    And the answers to all requests are their own and whole

  # Guards against the same while connections are refused at once: 0 of 15, 142 of 144.
  Scenario: Routers whose links to all upstreams are reset serve as often as the others
    Given a fleet of 4 routers whose links to the upstreams can be cut
    When 2 routers are cut from all upstreams, reset
    And 1000 ms pass at the fleet
    And 20 requests of each kind are sent to each router, 4 at a time, none of them again
    Then the routers that are cut serve at least two thirds as often as the others
    And no request has waited for more than two connections before it was forwarded
    And no request that may run once has run twice
    And the answers to all requests are their own and whole

  # Guards against the same while kept connections go on, for as many requests as there are
  # connections.
  Scenario: Routers that can open no new connection to upstreams serve as often as the others
    Given a fleet of 4 routers whose links to the upstreams can be cut
    When 2 routers are cut from all upstreams, refused
    And 1000 ms pass at the fleet
    And 20 requests of each kind are sent to each router, 4 at a time, none of them again
    Then the routers that are cut serve at least two thirds as often as the others
    And no request has waited for more than two connections before it was forwarded
    And no request that may run once has run twice
    And the answers to all requests are their own and whole

  # Guards against a request that runs twice, is counted twice, passes on from peer to peer,
  # or is answered with "not run" after a run, when calls between routers break.
  Scenario: Requests keep their promises when calls between routers fail at random
    Then 400 random histories of forwarded requests keep all promises

  # Guards against streams of two versions while routers themselves run two versions: the software of
  # a peer may know nothing of the versions of streams.
  Scenario: A peer that ignores the version of a stream does not go on with it
    Then 30 streams that break off and go on through such a peer keep all promises

  # Guards against a router of which all peers are cut off too, and that holds requests or
  # passes them on from one to the next.
  Scenario: If no router reaches an upstream, requests are refused at once
    Given a fleet of 3 routers whose links to the upstreams can be cut
    When 3 routers are cut from all upstreams, silent
    And 4 requests of each kind are sent to each router, 4 at a time, none of them again
    And 1500 ms pass at the fleet
    And 8 requests of each kind are sent to each router, 4 at a time, none of them again
    Then all of them are refused with 503 and a retry time
    And no request was forwarded by more than one router

  # Guards against the same at each request: one in a second asks a peer that could not help.
  Scenario: Peers that could not help are not asked by each request
    Given 3 routers of which none reaches an upstream
    Then the first of 20 requests at a moment is offered to two peers, and the others to none
    And so it is a second later

  # Guards against a router that keeps passing requests on after its links are back.
  Scenario: A router whose links are back uses them
    Given a fleet of 3 routers whose links to the upstreams can be cut
    When 1 routers are cut from all upstreams, reset
    And 4 requests of each kind are sent to each router, 4 at a time, none of them again
    And the links are back, and 1500 ms pass
    And 4 requests of each kind are sent to each router, 4 at a time, none of them again
    Then all requests are answered, and none of them was forwarded

  # Guards against a cut router whose requests all go to one peer.
  Scenario: Forwarded requests are spread over the peers
    Given a fleet of 5 routers whose links to the upstreams can be cut
    When 1 routers are cut from all upstreams, reset
    And 40 requests of each kind are sent to each router, 4 at a time, none of them again
    Then each peer has received between 10 and 60 of its 120 requests

  # Guards against a request that two routers count, or neither of them.
  Scenario: A forwarded request counts once for usage, demand and retries
    Given a fleet of 3 routers whose links to the upstreams can be cut
    When 2 routers are cut from all upstreams, reset
    And 5200 ms pass at the fleet
    And the routers count what they take for requests of their own
    And 30 requests are sent to all routers within a usage window
    Then the report of that usage window has 30 requests of "noor"
    And the routers have counted each request once for the retry budget

  # Guards against a run that ends with the peer that it went through.
  Scenario: A stream goes on through another peer if its peer stops
    Given a fleet of 4 routers whose links to the upstreams can be cut
    When 1 routers are cut from all upstreams, reset
    And a stream of 300 tokens passes through a peer, and that peer is killed
    Then the stream is whole, and was forwarded to two peers

  # Guards against a second run of a request whose peer is lost while it runs.
  Scenario: A request that may run once does not run again if its peer is lost
    Given a fleet of 4 routers whose links to the upstreams can be cut
    When 1 routers are cut from all upstreams, reset
    And a request that may run once runs through a peer, and that peer is killed
    Then its caller gets 502, and it has run once

  # Guards against the copy that is sent to a peer: the first router held it until the answer came, and
  # counted it nowhere.
  Scenario: A forwarded request is held once while its answer is awaited
    Given a fleet of 3 routers whose links to the upstreams can be cut
    When 1 routers are cut from all upstreams, reset
    And a body of 300000 bytes passes through a peer
    Then no function of the first router holds more than it while it awaits the answer

  # Guards against a planned stop that cuts off what peers have forwarded.
  Scenario: A planned stop of a peer lets forwarded streams end
    Given a fleet of 3 routers whose links to the upstreams can be cut
    When 1 routers are cut from all upstreams, reset
    And a stream of 300 tokens passes through a peer, and that peer drains
    Then the stream is whole, and was forwarded to one peer
    And the peer that drained accepts no other forwarded request

  # Guards against work at an upstream for a caller that has left another router.
  Scenario: A caller that leaves ends its forwarded request
    Given a fleet of 3 routers whose links to the upstreams can be cut
    When 1 routers are cut from all upstreams, reset
    And a stream of 2000 tokens passes through a peer, and its caller leaves
    Then no upstream and no router has work within 1000 ms

  # Guards against callers of the forwarding address that are not routers, and against
  # input that is none.
  Scenario Outline: What is not a signed request of a router is refused
    Given a router with a secret that accepts forwarded requests
    When <input> arrives at its forwarding address
    Then it is refused as <reason>, and nothing runs

    Examples:
      | input                          | reason            |
      | a request without a signature  | forward_signature |
      | a request signed by others     | forward_signature |
      | a signed text                  | malformed_forward |
      | a signed request without times | malformed_forward |
      | a request for another path     | forward_path      |

  # Guards against links that lose packets and keep a router from its upstreams, and against
  # trials that follow each other without a pause.
  Scenario: Trials of an upstream are few, and one success ends them
    Given an upstream that a router cannot connect to
    Then it is tried 10 to 14 times in 10 s
    And after one trial that connects it is used again

  # Guards against requests that all routers refuse, because the links of one router were
  # reset and it took this for crashes of upstreams.
  Scenario: Upstreams that answer at a peer have not crashed
    Given a router that lost a request at three upstreams when its links were reset
    Then it blocks the request until peers have answered others at these upstreams

  # Guards against an upstream whose entry returns and that stays unreachable for good, as
  # its trials had ended with the entry.
  Scenario: An upstream that returns is not unreachable any more
    Given an upstream that a router cannot connect to
    When its entry is lost, and returns 3000 ms later
    Then it is used again without a trial

  # Guards against a request that goes from peer to peer while upstreams refuse it.
  Scenario: A request that the upstream of a peer refused goes to no other peer
    Given a router whose two peers reach one upstream, which refuses a request
    Then that request is refused as not run, and was forwarded once

  # Guards against an outcome that is unknown though it is known: the peer's word that a request has not
  # run reached callers of idempotent requests as 502.
  Scenario: An idempotent request that a peer refused is refused as not run
    Given a router whose two peers reach one upstream, which refuses all requests
    Then an idempotent request is refused as not run

  # Guards against routers without a slot at any upstream: each of their callers was refused, while
  # other routers had slots that nobody used.
  Scenario: A router without a share of a brittle upstream asks a peer that has one
    Given 4 routers before one brittle upstream of 2 slots
    Then a request at each of them is answered, through one of 2 routers
    And while both slots are taken, requests are refused as not run and forwarded to nobody

  # Guards against a planned stop that cuts off requests forwarded to a router whose leaving
  # its peers do not know yet.
  Scenario: A peer that has begun to drain leaves forwarded requests to another one
    Given a router that reaches no upstream, and two peers, of which one drains
    Then 20 requests are answered, and the peer that drains has sent none of them

  # Guards against open connections that are left unused while new ones are refused, and
  # against requests on connections to which nothing answers any more.
  Scenario Outline: Open connections are used unless connecting had no answer
    Given a router with open connections to upstreams, and new ones that <end>
    Then its next request is forwarded to <count> peers

    Examples:
      | end            | count |
      | are refused    | 0     |
      | have no answer | 1     |
