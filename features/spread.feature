# Guards against a configuration that takes too long to reach all routers. 58 routers on
# links of 5 Mbit/s received 1,600 routes one after the other, the last router 12 s after
# the first. Meanwhile, they answered valid requests with "no such route", which callers
# treat as final. Each router requested the whole text of 0.46 MB from the first peer that
# had it. A peer served any number of copies at a time, so that calls timed out and were
# repeated at another peer. The links below are simulated; concurrent transfers share the
# bandwidth of a link.

Feature: Distribution of a large configuration over slow links

  Scenario: A configuration reaches all routers although each copy takes long on a link
    Given 58 routers on links of 625 bytes per ms
    When 6 of the routers read a configuration with 1600 more routes within 600 ms
    Then all routers have the configuration within 2500 more ms
    And no router's link has carried more than 500000 bytes

  Scenario: Unreachable peers do not delay a configuration
    Given 58 routers on links of 625 bytes per ms
    When 6 of the routers read a configuration with 1600 more routes within 600 ms
    And 3 of those 6 routers become unreachable at once
    Then all routers have the configuration within 1000 more ms

  Scenario: The first router that reported a configuration becomes unreachable
    Given 58 routers on links of 625 bytes per ms
    When 1 of the routers read a configuration with 1600 more routes within 10 ms
    And 1 of those 1 routers become unreachable at once
    And another router reads the configuration 100 ms later
    Then all routers have the configuration within 1900 more ms

  Scenario: One router with a configuration is enough
    Given 58 routers on links of 625 bytes per ms
    When 1 of the routers read a configuration with 1600 more routes within 100 ms
    Then all routers have the configuration within 2500 more ms
    And no router's link has carried more than 500000 bytes

  Scenario: A second change follows shortly after the first
    Given 58 routers on links of 625 bytes per ms
    When 6 of the routers read a configuration with 1600 more routes within 600 ms
    And 100 ms later, the same routers read another configuration with 3200 more routes
    Then all routers have the configuration within 2500 more ms

  Scenario: The router that reported a configuration and the store become unreachable
    Given 8 routers on links of 625 bytes per ms
    When no router can reach the store
    And 1 of the routers read a configuration with 1600 more routes within 10 ms
    And 1 of those 1 routers become unreachable at once
    And 30000 ms pass on the links
    Then the other routers know that their configuration is outdated
    When the routers can reach the store again
    Then all routers have the configuration within 5000 more ms

  Scenario: A router counts the time of its own pause as time for its transfers
    Given 8 routers on links of 625 bytes per ms
    When 1 of the routers read a configuration with 16000 more routes within 10 ms
    And that router serves copies of the configuration until it defers a peer
    And that router is paused for 4000 ms
    Then that router serves the next copy at once

  Scenario: A version that the store does not have is not believed
    Given 8 routers on links of 625 bytes per ms
    When one router repeatedly reports a version that the store does not have
    Then the other routers consider their configuration outdated in at most 25 of 100 checks
    And the store was read at most 3 times per router

  Scenario: A version of another router is believed despite a wrong report
    Given 8 routers on links of 625 bytes per ms
    When one router repeatedly reports a version that the store does not have
    And 4000 ms pass on the links
    And another router reads and reports a newer configuration with 49 routes
    Then all routers but the one with the wrong reports have the configuration within 1500 more ms

  Scenario: A router that reported a wrong version is believed again after a while
    Given 8 routers on links of 625 bytes per ms
    When one router repeatedly reports a version that the store does not have
    And 4000 ms pass on the links
    And that router reads and reports a newer configuration with 49 routes
    Then all routers have the configuration within 13000 more ms

  Scenario: A router does not repeatedly request a configuration that it cannot parse
    Given 8 routers on links of 625 bytes per ms
    And 1 of the routers cannot parse newer configurations
    When 1 of the routers read a configuration with 1600 more routes within 10 ms
    And 8000 ms pass on the links
    Then the link of the router that cannot parse the configuration has carried at most 100000 bytes

  Scenario: A router requests a configuration that it could not parse again later
    Given 8 routers on links of 625 bytes per ms
    And 1 of the routers cannot parse newer configurations
    When 1 of the routers read a configuration with 1600 more routes within 10 ms
    And 2000 ms pass on the links
    And that router can parse newer configurations
    Then all routers have the configuration within 11000 more ms

  Scenario: Only one slow read of the store runs at a time
    Given 8 routers on links of 62 bytes per ms
    When 1 of the routers read a configuration with 1600 more routes within 10 ms
    And 1 of those 1 routers become unreachable at once
    Then all routers have the configuration within 12000 more ms
    And the store was read at most 1 times per router

  # Guards against a final "no such route" from a router that cannot parse what the store
  # has: such a version counted as one that the store does not have. Found by inspection
  # of the code.
  Scenario: A version that the store has but a router cannot parse is still believed
    Given 8 routers on links of 625 bytes per ms
    And 1 of the routers cannot parse newer configurations
    When 1 of the routers read a configuration with 1600 more routes within 10 ms
    And 1 of those 1 routers become unreachable at once
    And 8000 ms pass on the links
    Then the router that cannot parse the configuration knows that its own is outdated
    And the store was read at most 1 times per router

  Scenario: A router with an outdated configuration does not answer that a route is unknown
    Given a fleet of 1 routers
    When the router receives a beacon with a newer configuration version
    Then a request to an unknown route is refused with 503 and a retry time
    And a request with an unknown key is refused with 503 and a retry time
    When no more beacons with that version arrive
    Then a request to an unknown route is answered with 404

  Scenario: A router with an outdated configuration refuses unknown models and services with 503
    Given a fleet of 1 routers
    When the router receives a beacon with a newer configuration version
    And this is posted to "/v1/chat/completions"
      """
      {"model": "x", "messages": []}
      """
    Then the status is 503 and the reason contains "unknown_model"
    When this is posted to "/v1/services/nowhere/x"
      """
      {"payload": "1"}
      """
    Then the status is 503 and the reason contains "no_route"

  Scenario: A router with an outdated configuration refuses oversized requests with 503
    Given a fleet of 1 routers
    When the router receives a beacon with a newer configuration version
    And a caller sends a body of 5000000 bytes
    Then the status is 503 with a retry time
    When a caller sends a header of 40000 bytes
    Then the status is 503 with a retry time
    When this is posted to "/v1/chat/completions"
      """
      {"model": "draft-7b", "messages": [], "max_tokens": 99999}
      """
    Then the status is 503 and the reason contains "max_tokens"

  # Guards against routers that all call the seeds in the given order, and so the same one
  # first. Its answer lists every router, packed 2.6 kB for 220 of them, and a call times
  # out after 800 ms: 217 answers take 0.9 s of a slow link, and many calls fail. Found by
  # inspection of the code.
  Scenario: Routers that start together do not all call the same seed first
    Given 220 routers on links of 625 bytes per ms
    When all routers but 3 seeds, which know the whole fleet, join through the seeds at once
    And 2000 ms pass on the links
    Then no call has failed, and each router knows all others

  # Guards against failed calls when 195 routers start together: they received 18.9 kB
  # each from three seeds, 5.9 MB in half a second, and 48 calls failed. The links here
  # have 10 Mbit/s.
  Scenario: Many routers that start together learn of each other from three seeds
    Given 195 routers on links of 1250 bytes per ms
    When all routers but 3 seeds, which know the whole fleet, join through the seeds at once
    And 2000 ms pass on the links
    Then no call has failed, and each router knows all others

  Scenario: Routers that have read their state from the store call no seed
    Given 80 routers on links of 625 bytes per ms
    When all routers but 3 seeds, which know the whole fleet, join through the seeds at once
    And each router has read all of its state from the store
    And 2000 ms pass on the links
    Then no router has called a seed
