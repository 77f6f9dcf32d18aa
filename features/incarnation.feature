Feature: An upstream that starts again under its id is another one

  Scenario: A later run begins with nothing of the earlier one
    Given an upstream "a" that was born at 1000
    And it has work of two routers, fails and holds copies
    When its entry says that it was born at 2000
    Then "a" has no work, has not failed, and is at home elsewhere
    And what it was before is over

  Scenario: Late statements of the earlier run change nothing of the later
    Given an upstream "a" that was born at 1000
    When its entry says that it was born at 2000
    And the run that was born at 1000 says later that it leaves
    Then "a" may get new work and was born at 2000
    When another router tells of its work at the run that was born at 1000
    Then "a" has no work
    When another router tells of its work at the run that was born at 2000
    Then "a" has that work

  Scenario: A peer that is behind does not bring the earlier run back
    Given an upstream "a" that was born at 1000
    And a peer that has taken that over
    When its entry says that it was born at 2000
    And the peer tells what it knows
    Then "a" may get new work and was born at 2000

  Scenario: A report of another run says nothing of this one
    Given an engine that answers its report as one born at 2000
    Then asked as the one born at 1000 it does not tell when that leaves
    And asked as the one born at 2000 it does

  Scenario: A resumable stream goes on elsewhere
    Given a fleet of 1 routers whose routes have a target gap of 20000 ms
    When a caller streams 200 tokens from "/chat/x" and its upstream starts again
    Then its events are complete and in order

  Scenario: It goes on too where its connection has not noticed
    Given a fleet of 1 routers whose routes have a target gap of 20000 ms
    When a caller streams 200 tokens from "/chat/x" and its upstream starts again behind a silent connection
    Then its events are complete and in order

  Scenario: What may run once is never said not to have run
    Given a fleet of 1 routers
    And every upstream of "booking" takes 60000 ms for a request
    When a caller asks "/holds/seat" and its upstream starts again behind a silent connection
    Then its answer promises nothing and it was run once

  Scenario: The next request reaches the later run
    Given a fleet of 1 routers
    When every upstream of "booking" starts again
    Then 5 requests to "/holds/seat" are answered by the later runs

  Scenario: An answer without a length that is broken off is not complete
    Given a connection to an upstream that has sent half of an answer without a length
    When it is broken off since the upstream has started again
    Then what comes of the answer is a failure, not its end
