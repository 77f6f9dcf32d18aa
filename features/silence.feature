Feature: Connections that go silent are noticed and replaced

  Scenario: Open connections to an engine go silent for good
    Given a fleet whose engines take 10 ms a step
    When 8 callers ask for 120 tokens each
    And 300 ms pass
    And the open connections of every engine go silent
    Then every answer is whole
    And no caller had to ask again
    And no token was computed again

  Scenario: An engine swallows new connections
    Given a fleet
    And the engine of "fd-1" swallows everything
    When 8 callers ask for 20 tokens each
    Then every answer is whole

  Scenario: A plain service swallows a call that may be repeated
    Given a fleet
    And one service swallows everything
    When 6 callers call the service with repeatable calls
    Then all of them got their own answer

  Scenario: A plain service swallows a call that may not be repeated
    Given a fleet
    And one service swallows everything
    When 6 callers call the service with calls that may run only once
    Then each got its own answer or an unknown outcome
    And nothing ran twice

  Scenario: A caller that takes nothing is given up
    Given a fleet with a router setting caller_write_timeout_ms of 300
    When a caller asks for a long answer and takes nothing of it
    Then its place at the upstream is free again

  Scenario: A peer that swallows everything is declared dead
    Given a fleet
    When a member appears whose address swallows everything
    Then every router declares it dead
    And every router still knows the others to be alive

  Scenario: A peer that was wrongly declared dead refutes it
    Given a fleet
    When "router-1" hears that "router-2" is dead
    Then every router knows "router-2" to be alive again

  Scenario Outline: An engine sends what it should not
    Given a fleet of 1 routers and 2 engines
    And an engine that sends <what>
    When 6 callers ask for 30 tokens each
    Then every answer is whole

    Examples:
      | what                            |
      | frames of another stream        |
      | frames again                    |
      | frames out of order             |
      | a frame that is not JSON        |
      | an end before the answer's end  |
      | a false count at the end        |
      | nothing after its headers       |
      | bytes without a frame's end     |
