Feature: A test run prints enough to diagnose a failed step

  Scenario Outline: A failed step is printed with its error and logs
    Given features with a step that fails with <error>
    When the features run with the options of `make test`
    Then the run fails and prints the location and name of the step and "<error>"
    And the run prints the end of the log file of the scenario
    And the run prints its summary as usual

    Examples:
      | error                     |
      | AssertionError: 3 engines |
      | ValueError: no number     |

  Scenario: A passing run prints no diagnostics
    Given features without a failing step
    When the features run with the options of `make test`
    Then the run passes and prints no failed step
