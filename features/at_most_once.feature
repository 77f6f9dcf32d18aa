Feature: A non-idempotent request runs at most once, and "not run" is true

  Scenario: The same request at two routers
    Given routers a and b
    When "e0.seat" is sent to "a"
    And "e0.seat" is sent to "b"
    Then both got the answer
    And "e0.seat" ran 1 time

  Scenario: The same request at two routers at the same moment
    Given routers a and b
    When "b" claims "e0.seat" between the read and the write of "a"
    Then "e0.seat" ran 1 time
    And both got the answer

  Scenario: A ticket is run by who issued it, wherever it is sent
    Given routers a and b
    When a ticket of "a" is sent to "b"
    And the ticket is sent to "a"
    Then both got the answer
    And the ticket ran 1 time

  Scenario: The first router died before it sent anything
    Given routers a and b
    When "a" dies before it runs "e0.seat"
    And "e0.seat" is sent to "b"
    Then the outcome is unknown
    And "e0.seat" ran 0 times

  Scenario: The first router died after it sent
    Given routers a and b
    When "a" dies after it ran "e0.seat"
    And "e0.seat" is sent to "b"
    Then the outcome is unknown
    And "e0.seat" ran 1 time

  Scenario: A router that comes back under its name does not know what it ran
    Given routers a and b
    When "a" dies after it ran "e0.seat"
    And "a" is started again
    And "e0.seat" is sent to "a"
    Then the outcome is unknown
    And "e0.seat" ran 1 time

  Scenario: The issuer of a ticket died
    Given routers a and b
    When a ticket of "a" is taken
    And "a" dies
    And the ticket is sent to "b"
    Then the outcome is unknown
    And the ticket ran 0 times

  Scenario: The write of a claim took effect and its reply was lost
    Given routers a and b
    And the reply of the next write is lost
    When "e0.seat" is sent to "a"
    Then it got the answer
    And "e0.seat" ran 1 time

  Scenario: The platform goes out after a claim's write, before its reply
    Given routers a and b
    When the platform goes out with the write of "a" for "e0.seat"
    Then it was truly not run
    When the platform is back
    And "e0.seat" is sent to "b"
    Then it got the answer
    And "e0.seat" ran 1 time

  Scenario: In an outage a claim can't be made, and nothing runs
    Given routers a and b
    And the platform is out
    When "e0.seat" is sent to "a"
    Then it was truly not run

  Scenario: In an outage a ticket still runs
    Given routers a and b
    And the platform is out
    When a ticket of "a" is sent to "b"
    Then it got the answer
    And the ticket ran 1 time

  Scenario: A hand-over in between
    Given routers a and b and c
    When a ticket of "a" is taken
    And "e0.seat" is sent to "a"
    And "a" drains
    And the ticket is sent to "c"
    Then it got the answer
    When "e0.seat" is sent to "c"
    Then it got the answer
    And "e0.seat" ran 1 time
    And the ticket ran 1 time

  Scenario: The replies of a hand-over were lost
    Given routers a and b and c
    When a ticket of "a" is taken
    And "a" drains and the replies of its first 3 tries are lost
    And the ticket is sent to "a"
    Then it got the answer or was truly not run
    When the ticket is sent to "b"
    And the ticket is sent to "c"
    Then the ticket ran at most 1 time

  Scenario: A hand-over arrives twice
    Given routers a and b and c
    When a ticket of "a" is sent to "a"
    And "a" drains and the first reply of the hand-over is lost
    And the ticket is sent to "c"
    Then it got the answer
    And the ticket ran 1 time

  Scenario: The successor died too
    Given routers a and b and c
    When a ticket of "a" is taken
    And "a" drains
    And "a" and its successor die
    And the ticket is sent to the one that is left
    Then the outcome is unknown
    And the ticket ran 0 times

  Scenario: Another body under a used id
    Given routers a and b
    When "e0.seat" is sent to "a"
    And "e0.seat" with another payload is sent to "b"
    Then it failed as a conflict
    And "e0.seat" ran 1 time

  Scenario: An id without an epoch or a ticket
    Given routers a and b
    When "seat" is sent to "a"
    Then it failed as invalid

  Scenario: An epoch that this router does not know yet
    Given routers a and b
    When "e7.seat" is sent to "a"
    Then it was truly not run

  Scenario: A claim is dropped only once its repeat is refused
    Given routers a and b
    When "e0.seat" is sent to "a"
    And the epoch is 1 and "e1.other" is sent to "b"
    And "a" dies
    And "e0.seat" is sent to "b"
    Then the outcome is unknown
    When the epoch is 2 and 20 requests of it are sent to "b"
    Then the claims of epoch 0 are gone
    When "e0.seat" is sent to "b"
    Then it was truly not run
    And "e0.seat" ran 1 time

  Scenario: A router that forgot an old run does not run it again
    Given routers a and b
    When "e0.seat" is sent to "a"
    And a ticket of "a" is sent to "a"
    And 60 further requests are sent to "a"
    And "e0.seat" is sent to "a"
    Then the outcome is unknown
    And "e0.seat" ran 1 time
    When the ticket is sent to "a"
    Then the outcome is unknown
    And the ticket ran 1 time

  Scenario: Random histories of repeats, crashes, hand-overs and outages
    Then the state machine finds no request that ran twice or "not run" that ran
