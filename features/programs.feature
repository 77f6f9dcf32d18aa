Feature: The programs as separate processes

  Scenario: One request, served end to end, and one router killed
    Given a stand-in, two routers and a controller, each a process
    When an answer is asked for with the command line
    Then the command ends with 0 and printed 12 tokens
    And the command line lists 2 routers and 4 engines
    When the configuration is changed with the command line
    Then it is committed and in force at 2 routers
    When it is changed again from the version before
    Then the command ends with 3 and shows the other change
    When an event is declared with the command line
    Then it is listed and planned
    When the event is cancelled with the command line
    Then no event is listed
    When a router is killed while an answer streams
    Then the answer's end is printed by the other router
    When the other router is told to stop
    Then it ends with 0 after its drain

  Scenario: A router is frozen while it serves, and thaws
    Given a stand-in, two routers and a controller, each a process
    When a router is frozen while an answer streams
    Then the answer's end is printed by the other router
    When the frozen router goes on
    Then both routers are alive again
