Feature: A task that must live as long as the router survives every error

  # Guards against a task that ends for good with an error that nobody expected: the router went on,
  # said that it was ready, and noticed no change of its upstreams any more. These scenarios guard the
  # tasks, whatever value or fault raises the error.
  Scenario: Random errors in random tasks
    Then in 200 drawn runs, each task that is supervised runs again after each of its errors

  Scenario: A task that fails again and again waits between its runs
    Then a task that fails 12 times in a row pauses for 70 to 1300 ms each time
    And a task that has run for a long time before it fails pauses for less than 140 ms

  Scenario: An unexpected error is logged with its place
    Then the log of an unexpected error names the calls that led to it

  Scenario Outline: Routers notice a leaving upstream after an unexpected error
    Given a fleet of 2 routers
    When <what> fails unexpectedly at each router, <times>
    And an engine starts to leave
    Then each router has it out of use within 2000 ms
    And the metric of each router names the task "<task>"

    Examples:
      | what                             | times   | task          |
      | the call that waits for changes  | 3 times | watch_servers |
      | the processing of changes        | 3 times | watch_servers |
      | the reading of an entry          | always  | upstreams     |
      | the table for a changed upstream | always  | upstreams     |

  Scenario: A router whose registration fails unexpectedly is registered later
    Given a fleet of 1 routers
    When a second router starts, and its first 2 calls to read the members raise an error
    Then every directory lists all 2 routers, the routers of its failure domain first
