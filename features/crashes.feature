Feature: Requests that crash upstreams

  Scenario: The fingerprint in the log identifies a resent request
    # Request ids change on each resend, so they cannot relate the attempts.
    Given a fleet of 2 routers
    When "tag 1" is sent twice to "/pages/a", then once with a new body and once with a new path
    Then the first two attempts are logged with the same fingerprint
    And requests with a new body or path have distinct fingerprints

  Scenario: A request that has crashed three upstreams is refused by all routers
    Given a fleet of 3 routers
    And "/once/tag" with the body "bad" crashes the upstream that runs it
    When it is sent 8 times, to each router in turn
    Then 3 upstreams have crashed
    And the last 5 are refused with 503 and told when to come back
    And the same body at "/once/other" is answered

  Scenario: A router does not try a request on after it has crashed three
    Given a fleet of 1 routers
    And "/chat/tag" with the body "bad" crashes the upstream that runs it
    When it is sent 1 times, to each router in turn
    Then 3 upstreams have crashed
    And it has the status 502
