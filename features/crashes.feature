Feature: Requests that crash upstreams

  Scenario: The fingerprint in the log identifies a resent request
    # Request ids change on each resend, so they cannot relate the attempts.
    Given a fleet of 2 routers
    When "tag 1" is sent twice to "/pages/a", then once with a new body and once with a new path
    Then the first two attempts are logged with the same fingerprint
    And requests with a new body or path have distinct fingerprints

  Scenario: A request that has crashed three upstreams is refused by all routers
    Given a fleet of 3 routers
    And a request to "/once/tag" with the body "bad" crashes the upstream that runs it
    When that request is sent 8 times, to each router in turn
    Then 3 upstreams have crashed
    And the last 5 requests are refused with 503 and a retry time
    And a request to "/once/other" with the same body is answered

  Scenario: A router stops retrying a request after three crashes
    Given a fleet of 1 routers
    And a request to "/chat/tag" with the body "bad" crashes the upstream that runs it
    When that request is sent 1 times, to each router in turn
    Then 3 upstreams have crashed
    And the last request has the status 502

  Scenario: Random histories of a fleet that receives a crashing request
    Then in 300 random histories of 40 steps, a blocked request is sent at most three times

  Scenario: A request stays blocked on a new router and after all routers are killed
    Given a fleet of 2 routers
    And a request to "/once/tag" with the body "bad" crashes the upstream that runs it
    When that request is sent 3 times, to each router in turn
    And another router starts
    And all routers are killed and start again
    Then that request is refused at each of the 3 routers
    And 3 upstreams have crashed

  Scenario: An attempt queued at an upstream is cancelled by the third crash
    Given a fleet of 2 routers
    And a request to "/once/tag" with the body "bad" crashes the upstream that runs it
    And an attempt of that request is queued at an upstream
    When that request is sent 3 times, to each router in turn
    Then the queued attempt ends with 502, and its upstream has not crashed

  Scenario: A cancelled attempt counts neither as a crash nor as a failure
    # A cancelled connection must not be recorded as broken by the upstream.
    Given a fleet of 1 routers
    And a request to "/once/tag" with the body "bad" crashes the upstream that runs it
    And 2 attempts of that request are queued at an upstream
    When that request is sent 3 times, to each router in turn
    Then the queued attempts end with 502
    And 3 crashes by that request are recorded
    And the upstream of the queued attempts has no failures and a closed circuit breaker

  Scenario: Broken connections to upstreams that answer other requests are not crashes
    Given a crash tracker
    When the answer to one request breaks off at 5 upstreams that answer other requests
    Then the request is not refused

  Scenario: A blocked request has a short retry time just after its last crash
    # Connections reset at three upstreams count as crashes until these upstreams answer
    # other requests.
    Given a crash tracker
    When one request crashes 3 upstreams
    Then the request is refused with a retry time of 1000 ms
    When 2900 ms pass on the tracker's clock
    Then the request is refused with a retry time of 1000 ms
    When 100 ms pass on the tracker's clock
    Then the request is refused with a retry time of 597000 ms

  Scenario: A request running at upstreams lost together is not refused
    Given a crash tracker
    When one request is running at 4 upstreams that are lost within 100 ms
    Then the request is not refused

  Scenario: A request being answered by upstreams that another request crashes is not refused
    # Both requests lose their connections to the same upstreams at the same time.
    Given a crash tracker
    When one request crashes 3 upstreams while they answer another request
    Then only the first request is refused, also by a router that receives the crash update

  Scenario: A request that crashes upstreams while they answer it is refused
    # The crashes must not be attributed to requests queued at one upstream each.
    Given a crash tracker
    When one request crashes 3 upstreams that are answering it, each with another request queued
    Then the request is refused, also by a router that receives the crash update

  Scenario: A recorded crash states whether the request was being answered
    Given a fleet of 1 routers
    And a request to "/once/tag" with the body "bad" crashes the upstream that runs it
    When a caller streams 60 tokens from "/chat/x" and its upstream is killed
    Then 1 crash is recorded for a request that was being answered
    When that request is sent 1 times, to each router in turn
    Then 1 more crash is recorded for a request that was not being answered

  Scenario: A crash is recorded although the caller has left
    # Guards against a request that is never blocked, as its callers leave before each
    # crash.
    Given a fleet of 3 routers
    And a request to "/once/tag" with the body "bad" crashes the upstream that runs it
    And upstreams crash 300 ms after they start to run that request
    When that request is sent 8 times, to each router in turn, by callers that leave after 100 ms
    Then 3 upstreams have crashed

  Scenario: A crash is recorded although the time limit of its request is over
    # As above: the router has closed the connection before the upstream crashes.
    Given a fleet of 1 routers
    And a request to "/once/tag" with the body "bad" crashes the upstream that runs it
    And upstreams crash 600 ms after they start to run that request
    When that request is sent 6 times, by callers that wait for 200 ms
    Then 3 upstreams have crashed

  Scenario: An upstream that answers long after an attempt was abandoned has survived it
    Given abandoned attempts at 1 upstream
    When the upstream answers a request that was sent 1900 ms later
    Then 1 attempt is still kept
    When the upstream answers a request that was sent 2100 ms later
    Then no attempt is kept

  Scenario: The number of abandoned attempts is bounded
    Given abandoned attempts at 2000 upstreams
    Then 1024 attempts are kept, the latest ones
    When 10001 ms pass on the clock of the attempts
    Then no attempt is kept

  Scenario: The loss of an upstream that announced its stop is no crash
    Given a fleet of 1 routers
    When a caller leaves a request to "/holds/seat", whose upstream then announces its stop and is lost
    Then 0 crashes are recorded

  Scenario: A probe whose caller leaves does not keep a circuit breaker half open
    Given a circuit breaker that is open
    When its probe is sent and its caller leaves
    Then another probe may be sent at once

  Scenario: A failed attempt to resume a stream is recorded only for its own upstream
    # Otherwise, the failure of the previous upstream would be recorded twice.
    Given a fleet of 1 routers
    When a stream breaks off at its upstream and each attempt to resume it fails
    Then exactly one failure is recorded for each upstream that the stream was sent to

  Scenario: A complete answer unblocks a request on all routers
    Given a crash tracker
    When one request crashes 3 upstreams
    Then the request is refused, also by a router that receives the crash update
    When that router receives a complete answer to the request
    Then neither router refuses the request

  Scenario: The number of tracked requests is bounded
    Given a crash tracker
    When one request crashes 3 upstreams
    And 5000 other requests lose one upstream each
    Then at most 1024 requests are tracked, and the first request is still refused
    And a crash update contains at most 32 requests

  Scenario: Only the router with the lease of the duties retries a blocked request, twice
    # If every router retried, each retry would crash another upstream.
    Given a crash tracker
    When one request crashes 3 upstreams
    And the retry delay passes
    Then the request is refused, also by a router that receives the crash update
    When the router acquires the lease of the duties
    Then the router sends the request 2 times, each after the retry delay
