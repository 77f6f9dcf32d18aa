Feature: An accepted request survives any announced reclaim

  Scenario: Running streams move with their KV cache, even if not resumable
    Given a fleet of 2 routers with one reclaimable engine in each failure domain
    When 12 callers stream 240 tokens from "/once/x"
    And the fullest failure domain is reclaimed with 1800 ms notice
    Then each is complete and in order
    And none was run twice and nothing was read again

  Scenario: A stream that ends before the reclaim is not moved
    Given a fleet of 2 routers with one reclaimable engine in each failure domain
    When 4 callers stream 40 tokens from "/once/x"
    And the fullest failure domain is reclaimed with 2500 ms notice
    Then each is complete and in order
    And nothing was moved

  Scenario: No engine accepts a moved stream
    Given a fleet of 2 routers with one reclaimable engine in each failure domain
    And no engine takes copies
    When 8 callers stream 200 tokens from "/chat/x"
    And the fullest failure domain is reclaimed with 1500 ms notice
    Then each is complete and in order

  Scenario: Two engines issue the same handle for copies
    Given two engines that run a stream each and a third one
    When both streams are moved to the third one under one handle
    Then each goes on there as itself

  Scenario: Two failure domains are reclaimed in succession
    Given a fleet of 2 routers with one reclaimable engine in each failure domain
    When 12 callers stream 240 tokens from "/once/x"
    And the fullest failure domain is reclaimed with 1800 ms notice
    And the fullest failure domain is reclaimed with 1800 ms notice
    Then each is complete and in order

  Scenario: A leaving upstream gets no new requests
    Given a fleet of 3 routers
    When an engine says that it leaves while callers go on asking
    Then no request reaches it later than 1000 ms after

  Scenario: Routers learn of a leaving upstream from peers in a store outage
    Given a fleet of 3 routers
    When an engine leaves and one router's store calls fail from then on
    Then that router sends it nothing after 1500 ms

  Scenario: An entry that expires in a store outage is restored
    Given a fleet of 2 routers with entries that come back within 1 s
    When the store is out and an engine's entry runs out meanwhile
    And the entry is back 500 ms after the store
    Then the engine was never taken for gone

  Scenario: An upstream whose entry is not restored counts as gone
    Given a fleet of 2 routers with entries that come back within 1 s
    When the store is out and an engine's entry runs out meanwhile
    Then the engine is taken for gone within 3000 ms
