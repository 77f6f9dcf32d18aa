Feature: Routers find each other and speak for each other

  Scenario: All routers are in every answer on where to connect
    Given a fleet of 3 routers
    Then every directory lists all 3 routers, those of its failure domain first

  Scenario: Routers find each other through the store alone
    Given a fleet of 3 routers that know no seeds
    Then every directory lists all 3 routers, those of its failure domain first

  # Seen: 33 of 195 routers served a third of all requests, up to 306 where others
  # had 30. How: callers were named those of their failure domain and the first 30 of
  # the others by name, the same ones in every answer. Proof: answers of many routers.
  Scenario: No router is named to many more callers than another one
    Given 195 routers in 6 failure domains, as 12 of them know them
    When callers of each failure domain ask them 20 times each
    Then each answer names 64, all of the caller's failure domain first
    And no router is named more than 1.5 times as often as the mean

  Scenario: A failure domain of more routers than an answer holds
    Given 330 routers in 3 failure domains, as 12 of them know them
    When callers of each failure domain ask them 20 times each
    Then each answer names 64 of the caller's failure domain
    And no router is named more than 1.5 times as often as the mean

  Scenario: A router that joins in an outage is found through its seeds
    Given a fleet of 2 routers
    When the store is unavailable and a third router starts
    Then every directory lists all 3 routers, those of its failure domain first

  Scenario: A router that comes back under its name is its next run
    Given a fleet of 3 routers
    When a router is killed and restarted
    Then every directory lists all 3 routers, those of its failure domain first

  # Seen: 195 routers that had all been killed entered the store anew by four calls
  # each, with three for what else it tells: the writing was refused since the entry
  # was there, and what was there said the same.
  Scenario: A router that starts again at its address is found by what it wrote
    Given a store that 5 routers have entered
    When one of them starts again at its address
    Then it knows all the others after 1 call of the store

  Scenario: A router that starts again elsewhere says so
    Given a store that 5 routers have entered
    When one of them starts again at another address
    Then it knows all the others after 3 calls of the store
    And one that starts after it finds it at its new address

  Scenario: A router whose entry was not answered enters once
    Given a store that 5 routers have entered
    When its entry is not answered, and it tries again
    Then it knows all the others, who find it

  Scenario: Of two that start at once at least one knows the other
    Given a store that 0 routers have entered
    When two start at once, each step of the one between two of the other
    Then at least one of them knows the other

  Scenario: A beacon that nobody signed changes nothing
    Given a fleet of 2 routers that sign their beacons
    When a forged beacon announces a third router
    Then no router knows a third router
    And every directory lists all 2 routers, those of its failure domain first

  Scenario: A revision that nothing is left of is not asked for for ever
    Given a fleet of 2 routers
    When one router reaches an upstream revision that no record has
    Then the other router reaches the same revision within 1500 ms
    And the other router restarts no watch

  Scenario: Readiness
    Given a router that starts while the store is out
    Then the router is not ready
    When the store is available again
    Then the router is ready within 4000 ms

  # Seen: after 195 routers had started at once each had begun three watches of the
  # store, since it had heard of nobody yet: 184 of them asked anew for all three when
  # the store failed 5 s later, and each news was told to all by the store.
  Scenario: Of those that start at once few watch the store
    Given 40 members that start together and know each other
    Then 6 of the members watch each kind
    When 1600 ms pass in which 20 of the members send nothing
    Then 6 of the members watch each kind

  Scenario: In large fleets few routers watch the store
    Given 40 members that hear each other
    Then 6 of the members watch each kind
    When half of the members fall silent
    Then 6 of the remaining members watch each kind

  Scenario: Who does not watch asks for news at once, who does after a while
    Given a router that does not watch the store and one that does
    When both receive two beacons 250 ms apart from a peer that is ahead
    Then the router that does not watch calls the peer
    And the router that watches does not call the peer
    When both receive another such beacon after 100 ms
    Then the router that watches calls the peer too

  Scenario: News reaches every router of a fleet of which few watch
    Given a fleet of 12 routers
    When an engine announces that it is leaving
    Then every router marks the engine as leaving within 2000 ms
    When the operators change the configuration 1 times
    Then every router has the last version in force within 2000 ms

  Scenario: What was decided on a request is told by its id
    Given a fleet of 2 routers
    When a caller sends a request to one router and an operator looks it up at the other
    Then the operator gets the upstream, the status and the duration
    And the operator gets the data behind the choice of the upstream

  Scenario: Metrics and health
    Given a fleet of 1 routers
    When 3 requests are sent to "/holds/seat"
    Then the metrics count 3 requests with status 200 and their latencies
    And the health endpoint reports the versions in force

  Scenario: A span for each hop
    Given a fleet of 1 routers that write spans
    When a caller sends a request with a trace context
    Then the router and attempt spans belong to that trace
