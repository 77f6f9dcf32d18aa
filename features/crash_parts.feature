Feature: Parts of prompts that crash upstreams

  A part of a prompt may crash each upstream that begins to answer a request with it,
  whatever else the request holds. No two such requests are alike, and sound requests
  share their caller and their other parts.

  # Guards against upstreams that crash one after the other under requests that share only
  # a part: 15 crashed in 20 s, each under a request that was new to every router.
  Scenario: A part that has crashed three upstreams is refused by all routers
    Given a fleet of 3 routers
    And sound requests with the parts "common" and "own" have been answered
    And the part "bad" of a prompt crashes the upstream that runs it
    When 8 requests with the parts "common", "bad" and "own" are sent, to each router in turn
    Then 3 upstreams have crashed
    And the last 5 requests are refused with 503 and a retry time
    And sound requests with the parts "common" and "own" are answered at each router
