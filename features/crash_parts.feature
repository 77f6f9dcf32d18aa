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

  # Three to six routers, five to twenty upstreams in simulated time: parts that crash
  # upstreams in 5 to 50 in a hundred requests, two such parts, from the first moment on,
  # with parts that nobody else sends, beside kills of routers, one by one and all at once.
  Scenario Outline: Few requests with a part that crashes upstreams are sent, and all sound ones
    When <bad> of 100 requests have a part that crashes upstreams, in 4 plays <beside>
    Then at most three requests with such a part arrive after the fifth crash
    And sound requests are sent at the first try

    Examples:
      | bad | beside                                       |
      | 5   | of 10 requests a second                      |
      | 50  | of 10 requests a second                      |
      | 50  | of 40 requests a second                      |
      | 30  | of 20 requests a second, in one failure domain |
      | 30  | with two such parts                          |
      | 20  | with other parts that nobody else sends      |
      | 40  | from the first moment on                     |
      | 20  | beside kills of single routers               |
      | 20  | beside a kill of all routers                 |

  # Guards against parts that are blocked although none is to blame: a failure domain is
  # lost while thousands of requests run, none of them answered before.
  Scenario: The loss of failure domains blocks no part
    When failure domains are lost at the start and later, in 6 plays of 60 requests a second
    Then no part has been blocked

  Scenario: A part that was answered before is not blocked by crashes in quick succession
    Given two crash trackers, and the first one holds the lease of the duties
    When a request with the parts "common" and "own" is answered at the second router
    And the request with the part "near" is answered at the first router
    And requests with the parts "common, near" and "bad" crash 3 upstreams within 900 ms
    Then both routers refuse requests with the parts "own" and "bad"
    And neither router refuses requests with the parts "common" and "near"

  Scenario: Upstreams of one failure domain that are lost one by one are one loss for a part
    # The second and third request are sent after the first upstream is lost.
    Given two crash trackers, and the first one holds the lease of the duties
    When requests with the part "new" run at 4 upstreams of a failure domain that are lost 700 ms apart
    Then neither router refuses requests with the parts "new" and "own"

  Scenario: Of two parts that came together one is tried alone, once and by one router
    Given two crash trackers, and the first one holds the lease of the duties
    When requests with the parts "with" and "bad" crash 3 upstreams within 900 ms
    And 4000 ms pass for both routers
    Then the second router refuses requests with the part "with"
    And the first router sends a request with the part "with" once
    When the request with the part "with" is answered at the first router
    Then neither router refuses requests with the parts "with" and "own"
    And both routers refuse requests with the parts "own" and "bad"

  Scenario: A block cancels attempts that wait, and lets answers that have begun go on
    Given a fleet of 1 routers
    And a request with the part "late" is being answered, and another one waits
    When the part "late" has crashed three upstreams at other routers
    Then the request that waited ends with 502
    And the request that was being answered is answered whole

  Scenario: A stream with a blocked part is not moved off a leaving upstream
    Given a stream at an upstream that leaves
    When its request is blocked
    Then it stays at its upstream
    When its request is not blocked
    Then it is moved
