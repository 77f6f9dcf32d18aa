Feature: An upstream that restarts under its id is a new incarnation

  Scenario: A later run keeps no state of the earlier run
    Given an upstream "a" whose run started at 1000
    And "a" has work of two routers, is failing and is the preferred upstream of some prompts
    When the entry of "a" changes to a run started at 2000
    Then "a" has no work, is not failing and is the preferred upstream of other prompts
    And the view of the earlier run has ended

  Scenario: Late records of the earlier run do not affect the later one
    Given an upstream "a" whose run started at 1000
    When the entry of "a" changes to a run started at 2000
    And the run started at 1000 announces later that it is leaving
    Then "a" may get new work and is the run started at 2000
    When another router reports its work at the run started at 1000
    Then "a" has no work
    When another router reports its work at the run started at 2000
    Then "a" has the reported work

  Scenario: A later run serves although an answer of the earlier one stated that it leaves
    Given an upstream "a" whose run started at 1000
    When an answer of "a" states that it leaves
    And the entry of "a" changes to a run started at 2000
    Then "a" may get new work and is the run started at 2000

  Scenario: A peer with outdated records does not restore the earlier run
    Given an upstream "a" whose run started at 1000
    And a peer that knows the earlier run
    When the entry of "a" changes to a run started at 2000
    And the peer reports the upstreams that it knows
    Then "a" may get new work and is the run started at 2000

  Scenario: A report of another run of an engine is not used
    Given an engine that reports on its run started at 2000
    Then a report for the run started at 1000 has no time of leaving
    And a report for the run started at 2000 has a time of leaving

  Scenario: A resumable stream continues at another upstream
    Given a fleet of 1 routers whose routes have a target gap of 20000 ms
    When a caller streams 200 tokens from "/chat/x" and its upstream restarts
    Then the events of the stream are complete and in order

  Scenario: A stream also continues if its connection stays silent
    Given a fleet of 1 routers whose routes have a target gap of 20000 ms
    When a caller streams 200 tokens from "/chat/x" and its upstream restarts while the connection stays silent
    Then the events of the stream are complete and in order

  Scenario: A non-idempotent request is never reported as not run
    Given a fleet of 1 routers
    And every upstream of "booking" takes 60000 ms for a request
    When a caller requests "/holds/seat" and its upstream restarts while the connection stays silent
    Then the answer does not claim that the request did not run, and it ran once

  Scenario: Requests after a restart reach the later run
    Given a fleet of 1 routers
    When every upstream of "booking" restarts
    Then 5 requests to "/holds/seat" are answered by the later runs

  Scenario: An answer without a length is incomplete if its connection is cancelled
    Given a connection to an upstream that has sent half of an answer without a length
    When the connection is cancelled since the upstream has restarted
    Then the rest of the answer is a failure, not its end
