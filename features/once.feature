Feature: A request runs no more often than its route allows

  Scenario: A non-idempotent request is not retried after a lost response
    Given a fleet of 1 routers
    And every upstream of "booking" drops its responses
    When a caller posts "seat 12" to "/holds/seat"
    Then the status is 502 and the request ran exactly once

  Scenario: A refused non-idempotent request is retried at another upstream
    Given a fleet of 1 routers
    And one upstream of "booking" refuses every request
    When 10 requests are sent to "/holds/seat"
    Then all requests have the status 200 and ran exactly once

  Scenario: An idempotent request is retried after a failure
    Given a fleet of 1 routers
    And one upstream of "booking" fails every request
    When 10 requests are sent to "/pages/seat"
    Then all requests have the status 200

  Scenario: No more upstreams are tried than the route allows
    Given a fleet of 1 routers with 5 services
    And every upstream of "booking" fails every request
    When 5 requests are sent to "/pages/seat"
    Then no request ran more than 3 times
    And all requests have the status 500

  Scenario: A request refused with 503 did not run
    Given a fleet of 1 routers
    And every upstream of "booking" refuses every request
    When 10 requests are sent to "/holds/seat"
    Then all requests have the status 503 and ran exactly 0 times

  Scenario: An idempotent request that may have run is not reported as refused
    Given a fleet of 1 routers with 2 services
    And one of two upstreams of "booking" loses its answers, and the other refuses requests
    When 10 requests are sent to "/pages/seat"
    Then the requests that ran have the status 502, and all other requests 503
    And all of these responses have a retry time

  Scenario: Statuses are truthful with randomly faulty upstreams
    Then in 40 random histories, every status is consistent with how often the request ran
