Feature: Routers find each other and speak for each other

  Scenario: All routers are in every answer on where to connect
    Given a fleet of 3 routers
    Then every directory names all 3, near ones first

  Scenario: Routers find each other through the store alone
    Given a fleet of 3 routers that know no seeds
    Then every directory names all 3, near ones first

  # Seen: 33 of 195 routers served a third of all requests, up to 306 where others
  # had 30. How: callers were named those of their failure domain and the first 30 of
  # the others by name, the same ones in every answer. Proof: answers of many routers.
  Scenario: No router is named to many more callers than another one
    Given 195 routers in 6 failure domains, all known to 12 of them
    When callers of each failure domain ask each of these for routers 20 times
    Then each answer names 64 routers, all of the caller's failure domain first
    And no router is named more than 1.5 times as often as the mean

  Scenario: A failure domain of more routers than an answer holds
    Given 330 routers in 3 failure domains, all known to 12 of them
    When callers of each failure domain ask each of these for routers 20 times
    Then each answer names 64 routers of the caller's failure domain
    And no router is named more than 1.5 times as often as the mean

  Scenario: A router that joins in an outage is found through its seeds
    Given a fleet of 2 routers
    When the store is out and a third router starts
    Then every directory names all 3, near ones first

  Scenario: A router that comes back under its name is its next run
    Given a fleet of 3 routers
    When a router is killed and started again
    Then every directory names all 3, near ones first

  # Seen: 195 routers that had all been killed entered the store anew by four calls
  # each, with three for what else it tells: the writing was refused since the entry
  # was there, and what was there said the same.
  Scenario: A router that starts again at its address is found by what it wrote
    Given a store with the entries of 5 routers
    When one of these routers restarts at its address
    Then it knows all other routers after 1 call to the store

  Scenario: A router that starts again elsewhere says so
    Given a store with the entries of 5 routers
    When one of these routers restarts at another address
    Then it knows all other routers after 3 calls to the store
    And a router that starts later finds it at its new address

  Scenario: A router whose entry was not answered enters once
    Given a store with the entries of 5 routers
    When a new router gets no answer to its entry, and retries
    Then it knows all other routers, and a later one finds it

  Scenario: Of two that start at once at least one knows the other
    Given a store with the entries of 0 routers
    When two routers start at once, with their calls interleaved
    Then at least one of the two knows the other

  Scenario: A beacon that nobody signed changes nothing
    Given a fleet of 2 routers that sign their beacons
    When a forged beacon says that a third router serves
    Then no router has heard of a third one
    And every directory names all 2, near ones first

  Scenario: A revision that nothing is left of is not asked for for ever
    Given a fleet of 2 routers
    When one router's upstreams go up to a revision without a record
    Then the other one is level with it within 1500 ms
    And it began no watch anew

  Scenario: Readiness
    Given a router that starts while the store is out
    Then it is not ready
    When the store is back
    Then it is ready within 4000 ms

  # Seen: after 195 routers had started at once each had begun three watches of the
  # store, since it had heard of nobody yet: 184 of them asked anew for all three when
  # the store failed 5 s later, and each news was told to all by the store.
  Scenario: Of those that start at once few watch the store
    Given 40 members that start at once and know each other
    Then 6 of them watch each kind
    When 1600 ms pass in which 20 of them say nothing
    Then 6 of them watch each kind

  Scenario: In large fleets few routers watch the store
    Given 40 members that hear each other
    Then 6 of them watch each kind
    When half of them fall silent
    Then 6 of the others watch each kind

  Scenario: Who does not watch asks for news at once, who does after a while
    Given a router that does not watch and one that does
    When both hear that a peer is ahead, twice within 250 ms
    Then the one that does not watch has asked it
    And the other one has not
    When both hear it once more after 100 ms
    Then the other one has asked it too

  Scenario: News reaches every router of a fleet of which few watch
    Given a fleet of 12 routers
    When an engine says that it leaves
    Then every router knows it within 2000 ms
    When the operators change the configuration 1 times
    Then the last one is in force everywhere within 2000 ms

  Scenario: What was decided on a request is told by its id
    Given a fleet of 2 routers
    When a caller asks one router and an operator asks the other for its id
    Then the operator is told upstream, status and duration
    And what the upstream was chosen by

  Scenario: Metrics and health
    Given a fleet of 1 routers
    When 3 requests are sent to "/holds/seat"
    Then its metrics count 3 requests with status 200 and their latencies
    And its health says which versions are in force

  Scenario: A span for each hop
    Given a fleet of 1 routers that write spans
    When a caller sends a request with a trace
    Then the spans of router and attempt belong to it
