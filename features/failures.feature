Feature: What fails can be traced from what a run of the features prints

  Scenario Outline: A step that fails is named, with its error and logs
    Given features of which a step fails with <error>
    When they are run as `make test` runs them
    Then the run fails, and prints the step's place, its name and "<error>"
    And it prints the end of the log that the scenario left
    And its counts are told as before

    Examples:
      | error                     |
      | AssertionError: 3 engines |
      | ValueError: no number     |

  Scenario: What passes prints no more than before
    Given features of which no step fails
    When they are run as `make test` runs them
    Then the run passes, and prints no failed step
