Feature: Routers stop and die without harm to a request

  Scenario: A planned stop cuts off nothing
    Given a fleet whose engines take 10 ms a step
    When 9 callers ask for 150 tokens each
    And 300 ms pass
    And "router-1" is drained
    Then every answer is whole
    And no token was computed again
    And some answers went on at another router

  Scenario: A drained router is named no more
    Given a fleet
    When "router-1" is drained
    Then no other router names "router-1"

  Scenario: The only router finishes what it has
    Given a fleet of 1 routers and 2 engines
    When 4 callers ask for 120 tokens each
    And 300 ms pass
    And "router-1" is drained
    Then every answer is whole

  Scenario: A router is killed in the middle
    Given a fleet whose engines take 10 ms a step
    When 9 callers ask for 120 tokens each
    And 400 ms pass
    And "router-2" is killed
    Then every answer is whole
    And no token was computed again

  Scenario: A router is killed half-way through its drain
    Given a fleet whose engines take 10 ms a step
    When 9 callers ask for 120 tokens each
    And 300 ms pass
    And "router-2" begins to drain and is killed before its hand-over
    Then every answer is whole

  Scenario: Two routers are killed together with an upstream's failure domain
    Given a fleet of 4 routers and 4 engines
    When 9 callers ask for 120 tokens each
    And 300 ms pass
    And "router-2" is killed
    And "router-3" is killed
    And the VMs of "fd-1" are taken without notice
    Then every answer is whole

  Scenario: A non-idempotent chat outlives its router
    Given a fleet whose engines take 10 ms a step
    When 6 callers ask for 120 tokens each that may run only once
    And 400 ms pass
    And "router-1" is killed
    And "router-2" is drained
    Then every answer is whole
    And every stream was begun once

  Scenario: A running request is resumed by id and position at another router
    Given a fleet whose engines take 10 ms a step
    When a caller begins 100 tokens under the id "letter-9" and leaves after 20
    And the answer to "letter-9" is resumed at position 20 at another router
    Then the resumed stream holds tokens 20 to 99 and the end
    And no token was computed again

  Scenario: The same request on two connections
    Given a fleet whose engines take 10 ms a step
    When one request for 80 tokens is made on two connections to one router
    Then both connections got the whole answer
    And no token was computed again

  Scenario: A router that gave its ledger up begins nothing any more
    Given a fleet of 2 routers and 2 engines
    When a call that may run only once waits for a place at "router-1"
    And "router-1" is drained while it waits
    And there is room again
    Then "router-1" began nothing
    And the call ran once at the other router

  Scenario: A late message after a hand-over changes nothing
    Given routers a and b
    When "e0.seat" is sent to "a"
    And "a" drains
    And "b" hears late that "e0.seat" is still running
    And "e0.seat" is sent to "b"
    Then it got the answer
    And "e0.seat" ran 1 time
