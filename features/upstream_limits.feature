Feature: Request rate limits that upstreams set for all routers together

  Scenario: All routers together keep to the limit of an upstream
    Given a fleet of 4 routers
    And one engine states a limit of 1 request a second
    When 25 requests a second are sent for 6 s, to each router in turn
    Then the engine with the limit receives at most 11 requests in 4 s
    And all requests are answered, and every engine receives some of them

  Scenario: Requests beyond the limits of all upstreams are refused at once
    Given a fleet of 2 routers
    And each engine states a limit of 0.5 requests a second
    When 25 requests a second are sent for 4 s, to each router in turn
    Then some requests are refused with 503 and a retry time, in a median of at most 100 ms
    And no engine receives more than 8 requests in 4 s

  Scenario: A limit that an upstream no longer states is lifted on all routers
    Given a fleet of 2 routers that know the limit of 2 requests a second of their only engine
    When the engine no longer states a limit
    Then within 5 s no router knows a limit

  Scenario Outline: A malformed limit is ignored
    Given a fleet of 1 routers that know the limit of 2 requests a second of their only engine
    When the engine states the limit "<text>"
    Then the router keeps the limit of 2 requests a second

    Examples:
      | text  |
      | two   |
      | -1    |
      | inf   |
      | 1e3   |

  Scenario: A limit too small to be split between all routers is used completely
    Given 20 routers under load that share a limit of 0.5 requests a second
    When 60 s pass
    Then the upstream has received from 27 to 33 requests

  Scenario: The retry time of a router without a share depends on the limit
    # The maximum wait of 30 s would delay retries that other routers could send.
    Given 20 routers under load that share a limit of 0.5 requests a second
    Then a minute later, 16 of the routers have to wait for 2000 ms, and the other routers may send

  Scenario: An answer to a request sent before a limit was stated does not lift it
    Given two routers that share a limit of 1 requests a second
    When one router reads the limit, and then an answer without a limit to an earlier request
    Then both routers know a limit of 1

  Scenario: Two routers that read different limits at once do not swap them
    Given two routers that share a limit of 1 requests a second
    When one router reads a limit of 2 and the other a limit of 3, and they exchange updates
    Then the routers know limits of 2 and 3
    When a second later, one router reads a limit of 4, and both exchange updates
    Then both routers know a limit of 4

  Scenario: A membership change recomputes only the shares in use
    # Recomputing all shares at once would block the event loop.
    Given two routers that share a limit of 1 requests a second
    When one router reads the limits of 1000 more upstreams
    And a third router starts, and the limit of one upstream is used
    Then one share is recomputed

  Scenario: A share of a limit that is regained after two membership changes starts without tokens
    # Another router may have used the share in between.
    Given 5 routers under load that share a limit of 1 requests a second
    When 60 s pass without load
    And 100 routers join and leave again
    Then none of the original routers may send a request at once

  Scenario: The number of limits kept is bounded
    Given two routers that share a limit of 1 requests a second
    When one router reads the limits of 9000 more upstreams
    Then that router keeps at most 8192 limits, and an update to peers contains 32 of them

  Scenario: Random histories of routers that share a limit
    Then in 300 histories of 60 steps an upstream receives no more than its limit permits

  # Guards against more requests at once than an upstream has stated: what was sent while it was
  # silent arrives when it goes on, and its limit had gone on to fill.
  Scenario: Random histories of routers that share a limit of an upstream that is silent at times
    Then in 80 histories of 60 steps with silences an upstream receives no more than its limit permits
