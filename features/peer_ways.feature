Feature: A way through a peer to upstreams that a router cannot reach

  # Guards against routers that are cut from all upstreams and refuse what their peers
  # could serve: 4 of 43 first tries were served there, 112 of 112 at the other routers.
  Scenario: Routers whose links to all upstreams are silent serve as often as the others
    Given a fleet of 4 routers whose links to the upstreams can be cut
    When 2 routers are cut from all upstreams, silent
    And 1000 ms pass at the fleet
    And 20 requests of each kind are sent to each router, 4 at a time, none of them again
    Then the routers that are cut serve at least two thirds as often as the others
    And no request that may run once has run twice
    And the answers to all requests are their own and whole

  # Guards against the same while connections are refused at once: 0 of 15, 142 of 144.
  Scenario: Routers whose links to all upstreams are reset serve as often as the others
    Given a fleet of 4 routers whose links to the upstreams can be cut
    When 2 routers are cut from all upstreams, reset
    And 1000 ms pass at the fleet
    And 20 requests of each kind are sent to each router, 4 at a time, none of them again
    Then the routers that are cut serve at least two thirds as often as the others
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
    And no request that may run once has run twice
    And the answers to all requests are their own and whole

  # Guards against a request that runs twice, is counted twice, passes on from peer to peer,
  # or is answered with "not run" after a run, when calls between routers break.
  Scenario: Requests keep their promises when calls between routers fail at random
    Then 400 random histories of forwarded requests keep all promises
