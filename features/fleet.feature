Feature: Routers discover each other and share what they know

  Scenario: Every directory lists all routers
    Given a fleet of 3 routers
    Then every directory lists all 3 routers, the routers of its failure domain first

  Scenario: Routers discover each other through the store alone
    Given a fleet of 3 routers without seeds
    Then every directory lists all 3 routers, the routers of its failure domain first

  # Guards against uneven load. 33 of 195 routers served a third of all requests, up to 306
  # requests each, while other routers served 30. Directories listed the routers of the
  # caller's failure domain, and then always the first 30 other routers by name.
  Scenario: All routers are listed about equally often
    Given 195 routers in 6 failure domains, all known to 12 of them
    When callers of each failure domain ask each of these routers for a list of routers 20 times
    Then each answer names 64 routers, all of the caller's failure domain first
    And no router is named more than 1.5 times as often as the mean

  Scenario: A failure domain has more routers than a directory lists
    Given 330 routers in 3 failure domains, all known to 12 of them
    When callers of each failure domain ask each of these routers for a list of routers 20 times
    Then each answer names 64 routers of the caller's failure domain
    And no router is named more than 1.5 times as often as the mean

  Scenario: A router that joins during a store outage is found through seeds
    Given a fleet of 2 routers
    When the store is unavailable and a third router starts
    Then every directory lists all 3 routers, the routers of its failure domain first

  Scenario: A restarted router with the same name counts as a new run
    Given a fleet of 3 routers
    When a router is killed and restarted
    Then every directory lists all 3 routers, the routers of its failure domain first

  # Guards against needless store calls. 195 routers that had all been killed needed four
  # calls each to write their store entries again, and three calls to read the rest of the
  # store. Their writes were refused, as entries with the same content already existed.
  Scenario: A router that restarts at its address keeps its store entry
    Given a store with the entries of 5 routers
    When one of the registered routers restarts at its address
    Then the router knows all other routers after 1 call to the store
    And the router knows that an earlier run may have used its retry budget

  Scenario: A router that restarts at another address updates its store entry
    Given a store with the entries of 5 routers
    When one of the registered routers restarts at another address
    Then the router knows all other routers after 3 calls to the store
    And a router that starts later finds the restarted router at its new address
    And the router knows that an earlier run may have used its retry budget

  Scenario: A router whose first write got no reply has one store entry
    Given a store with the entries of 5 routers
    When a new router gets no answer to the write of its entry, and retries
    Then the router knows all other routers, and a router that starts later finds it
    And the router knows that this is its first run

  Scenario: If two routers start concurrently, at least one of them knows the other
    Given a store with the entries of 0 routers
    When two routers start at once, with their calls interleaved
    Then at least one of the two knows the other

  Scenario: An unsigned beacon is ignored
    Given a fleet of 2 routers that sign their beacons
    When a forged beacon announces a third router
    Then no router knows a third router
    And every directory lists all 2 routers, the routers of its failure domain first

  Scenario: A revision for which no upstream record exists is not requested forever
    Given a fleet of 2 routers
    When one router has an upstream revision for which no record exists
    Then the other router reaches the same revision within 1500 ms
    And the other router restarts no watch

  Scenario: A router is ready only after it has read the store
    Given a router that starts while the store is down
    Then the router is not ready
    When the store is available again
    Then the router is ready within 4000 ms

  # Guards against a thundering herd at the store. When 195 routers started at once, each
  # of them began three watches because it knew no peer yet. When the store failed 5 s
  # later, 184 routers restarted all three. The store sent every change to all routers.
  Scenario: If many routers start at once, only a few of them watch the store
    Given 40 members that start together and know each other
    Then 6 of the members watch each kind of object in the store
    When 1600 ms pass in which 20 of the members send nothing
    Then 6 of the members watch each kind of object in the store

  Scenario: In a large fleet only a few routers watch the store
    Given 40 members that receive beacons from each other
    Then 6 of the members watch each kind of object in the store
    When half of the members fall silent
    Then 6 of the remaining members watch each kind of object in the store

  Scenario: A router without a watch calls a peer at once, a router with a watch calls it later
    Given a router that does not watch the store and one that does
    When both routers receive two beacons 250 ms apart from a peer with newer data
    Then the router that does not watch calls the peer
    And the router that watches does not call the peer
    When both routers receive another such beacon after 100 ms
    Then the router that watches calls the peer too

  Scenario: Changes reach all routers although only a few watch the store
    Given a fleet of 12 routers
    When an engine announces that it is leaving
    Then every router marks the engine as leaving within 2000 ms
    When the operators change the configuration 1 times
    Then every router has the last version in force within 2000 ms

  Scenario: Operators can look up the decisions on a request by its id
    Given a fleet of 2 routers
    When a caller sends a request to one router and an operator looks the request up at the other
    Then the operator gets the upstream, the status and the duration
    And the operator gets the data that the choice of the upstream was based on

  Scenario: Metrics and health are reported
    Given a fleet of 1 routers
    When 3 requests are sent to "/holds/seat"
    Then the metrics count 3 requests with status 200 and their latencies
    And the health endpoint reports the versions in force

  Scenario: Spans of the router and of its attempts belong to the caller's trace
    Given a fleet of 1 routers that export spans
    When a caller sends a request with a trace context
    Then the router and attempt spans belong to that trace
