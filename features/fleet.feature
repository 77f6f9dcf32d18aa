Feature: Routers discover each other and share what they know

  Scenario: Every directory lists all routers
    Given a fleet of 3 routers
    Then every directory names all 3, near ones first

  Scenario: Routers discover each other through the store alone
    Given a fleet of 3 routers without seeds
    Then every directory names all 3, near ones first

  # Guards against uneven load: 33 of 195 routers served a third of all requests, up to
  # 306 each where others had 30. Directories listed the routers of the caller's failure
  # domain and then always the same first 30 others by name.
  Scenario: All routers are listed about equally often
    Given 195 routers in 6 failure domains, all known to 12 of them
    When callers of each failure domain ask each of these for routers 20 times
    Then each answer names 64 routers, all of the caller's failure domain first
    And no router is named more than 1.5 times as often as the mean

  Scenario: A failure domain has more routers than a directory lists
    Given 330 routers in 3 failure domains, all known to 12 of them
    When callers of each failure domain ask each of these for routers 20 times
    Then each answer names 64 routers of the caller's failure domain
    And no router is named more than 1.5 times as often as the mean

  Scenario: A router that joins during a store outage is found through seeds
    Given a fleet of 2 routers
    When the store is out and a third router starts
    Then every directory names all 3, near ones first

  Scenario: A restarted router with the same name counts as a new run
    Given a fleet of 3 routers
    When a router is killed and started again
    Then every directory names all 3, near ones first

  # Guards against needless store calls: 195 routers that had all been killed needed
  # four calls each to enter the store again, with three for its other contents. Their
  # writes were refused because the entries, with the same content, already existed.
  Scenario: A router that restarts at its address keeps its store entry
    Given a store with the entries of 5 routers
    When one of these routers restarts at its address
    Then it knows all other routers after 1 call to the store

  Scenario: A router that restarts at another address updates its store entry
    Given a store with the entries of 5 routers
    When one of these routers restarts at another address
    Then it knows all other routers after 3 calls to the store
    And a router that starts later finds it at its new address

  Scenario: A router whose first write got no reply has one store entry
    Given a store with the entries of 5 routers
    When a new router gets no answer to its entry, and retries
    Then it knows all other routers, and a later one finds it

  Scenario: Of two routers that start concurrently at least one knows the other
    Given a store with the entries of 0 routers
    When two routers start at once, with their calls interleaved
    Then at least one of the two knows the other

  Scenario: An unsigned beacon is ignored
    Given a fleet of 2 routers that sign their beacons
    When a forged beacon says that a third router serves
    Then no router has heard of a third one
    And every directory names all 2, near ones first

  Scenario: A revision without any record is not requested forever
    Given a fleet of 2 routers
    When one router's upstreams go up to a revision without a record
    Then the other one is level with it within 1500 ms
    And it began no watch anew

  Scenario: A router is ready only after it has read the store
    Given a router that starts while the store is down
    Then it is not ready
    When the store is back
    Then it is ready within 4000 ms

  # Guards against a thundering herd at the store. Of 195 routers that started at once,
  # each began three watches because it knew no peer yet: 184 of them repeated all three
  # when the store failed 5 s later, and the store sent every change to all of them.
  Scenario: Of routers that start at once only a few watch the store
    Given 40 members that start at once and know each other
    Then 6 of them watch each kind
    When 1600 ms pass in which 20 of them say nothing
    Then 6 of them watch each kind

  Scenario: In a large fleet only a few routers watch the store
    Given 40 members that hear each other
    Then 6 of them watch each kind
    When half of them fall silent
    Then 6 of the others watch each kind

  Scenario: A router without a watch asks a peer at once, one with a watch later
    Given a router that does not watch and one that does
    When both hear that a peer is ahead, twice within 250 ms
    Then the one that does not watch has asked it
    And the other one has not
    When both hear it once more after 100 ms
    Then the other one has asked it too

  Scenario: Changes reach all routers although only a few watch the store
    Given a fleet of 12 routers
    When an engine says that it leaves
    Then every router knows it within 2000 ms
    When the operators change the configuration 1 times
    Then the last one is in force everywhere within 2000 ms

  Scenario: Operators can look up the decisions on a request by its id
    Given a fleet of 2 routers
    When a caller asks one router and an operator asks the other for its id
    Then the operator is told upstream, status and duration
    And what the upstream was chosen by

  Scenario: Metrics and health are reported
    Given a fleet of 1 routers
    When 3 requests are sent to "/holds/seat"
    Then its metrics count 3 requests with status 200 and their latencies
    And its health says which versions are in force

  Scenario: Router and attempt have spans of the trace of the caller
    Given a fleet of 1 routers that export spans
    When a caller sends a request with a trace
    Then the spans of router and attempt belong to it
