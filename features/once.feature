Feature: A request runs exactly as often as it may

  Scenario: A non-idempotent request whose answer is lost is not sent again
    Given a fleet of 1 routers
    And every upstream of "booking" loses its answers
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is 502 and it ran exactly once

  Scenario: A non-idempotent request that was refused goes to another upstream
    Given a fleet of 1 routers
    And one upstream of "booking" refuses everything
    When 10 requests are sent to "/holds/seat"
    Then all have the status 200 and ran exactly once

  Scenario: An idempotent request is sent again after a failure
    Given a fleet of 1 routers
    And one upstream of "booking" fails everything
    When 10 requests are sent to "/pages/seat"
    Then all have the status 200

  Scenario: No more upstreams are tried than the route allows
    Given a fleet of 1 routers with 5 services
    And every upstream of "booking" fails everything
    When 5 requests are sent to "/pages/seat"
    Then none ran more than 3 times
    And all have the status 500

  Scenario: A refused request truly did not run
    Given a fleet of 1 routers
    And every upstream of "booking" refuses everything
    When 10 requests are sent to "/holds/seat"
    Then all have the status 503 and ran exactly 0 times

  Scenario: An idempotent request that ran before it was refused is told so
    Given a fleet of 1 routers with 2 services
    And one of two upstreams of "booking" loses its answers, and the other refuses requests
    When 10 requests are sent to "/pages/seat"
    Then the requests that ran have the status 502, and the others 503
    And all of them have a retry time

  Scenario: Random upstreams, and the promises to every request
    Then in 40 random histories, every status is consistent with how often the request ran
