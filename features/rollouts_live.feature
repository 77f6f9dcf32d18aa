Feature: Fleets of routers roll versions out while callers send requests

  Scenario: A good version replaces the other one without a lost answer
    Given a fleet of 3 routers with roll-outs
    When callers send requests while the engines are rolled out to a good version
    Then the roll-out is completed, and each answer was whole
    And the engines of the other version had no request when they stopped
    And no engine was ordered or given back during the roll-out
    And the command line shows the roll-out of the engines as completed

  Scenario: A bad version is rolled back, and gets no more requests
    Given a fleet of 3 routers with roll-outs
    And the new version of the engines fails half of its answers
    When callers send requests while the engines are rolled out to that version
    Then the roll-out is rolled back
    And the version got no more requests than its bound, and none 2500 ms after its 50th bad answer

  Scenario: A bad version is given up while the store is down
    Given a fleet of 3 routers with roll-outs
    And the new version of the engines fails half of its answers
    When the store fails once the version gets requests
    Then no router uses the version 2500 ms after its 50th bad answer
    And the roll-back is stored once the store answers again

  Scenario: A new holder goes on with the roll-out of a lost one
    Given a fleet of 3 routers with roll-outs
    And the new version of the engines fails half of its answers
    When the holder of the duties is killed during the roll-out
    Then the roll-out is rolled back
    And the version got no more requests than its bound, and none 2500 ms after its 50th bad answer
