Feature: Teams' limits and repeats are kept by all routers together

  Scenario: A team may use its burst and then its rate
    Given 3 routers that share a limit of 1000 a second and a burst of 2000
    When each is asked for 200 every 100 ms over 10 s
    Then between 11500 and 13500 passed in all

  Scenario: What the usual traffic asks is never refused
    Given 6 routers that share a limit of 1000 a second and a burst of 2000
    When each is asked for 10 every 100 ms over 20 s
    Then nothing was refused

  Scenario: A router that hears nobody keeps to its share
    Given 3 routers that share a limit of 1000 a second and a burst of 2000
    And router 1 is cut off from the others
    When each is asked for 200 every 100 ms over 10 s
    Then router 1 let at most 5600 pass

  Scenario: A long request leaves no debt that holds up short ones
    Given 1 routers that share a limit of 100 a second and a burst of 2000
    When 1900 are spent
    Then a request of 1000 is told to wait 4000 ms
    And one of 150 passes
    And one of 9000 passes after 11000 ms

  Scenario: A lowered limit is in force at once
    Given 1 routers that share a limit of 1000 a second and a burst of 2000
    When the limit is lowered to 100 a second and a burst of 100
    And each is asked for 200 every 100 ms over 10 s
    Then between 900 and 1400 passed in all

  Scenario: A router that was started again spends nothing twice
    Given 2 routers that share a limit of 1000 a second and a burst of 2000
    When router 1 spends 1500 and is started again
    Then router 2 has taken 1500 off, once

  Scenario: A request that did not run is given back
    Given 1 routers that share a limit of 0.001 a second and a burst of 500
    When a request of 400 passes and does not run
    Then another one of 400 passes

  Scenario: A caller over its limit is told when to come back
    Given a fleet of 2 routers with a limit of 30 tokens a second for "noor"
    When a caller uses it up at one router
    Then the other router refuses within 1000 ms with 429 and a time to come back

  Scenario: Repeats stay within their share of the requests
    Given a budget of 0.2 repeats a request and 5 beside in 10 s, for 2 routers
    When 50 requests come to a service in 10 s and every one wants 3 repeats
    Then at most 12 repeats are allowed
    And at most 12 more in the 10 s after 50 more requests

  # Seen: an upstream that had failed twice got no work from a router for good. How:
  # the caller of the one request that was to find out whether it works again left
  # before its end. Cause: only an outcome ended the trial. Proof: none comes here.
  Scenario: A trial whose caller has left does not shut an upstream out
    Given an upstream's health
    When it fails 2 times in a row
    Then it gets no work for 250 ms, and then one request
    When that one ends without an outcome
    Then it gets no work for 4000 ms, and then one request
    When that one succeeds
    Then it gets work again

  Scenario: An upstream that does not answer is passed over for a while
    Given an upstream's health
    When it fails 2 times in a row
    Then it gets no work for 250 ms, and then one request
    When that one fails too
    Then it gets no work for 500 ms, and then one request
    When that one succeeds
    Then it gets work again

  Scenario: An upstream that fails part of its requests gets less
    Given two upstreams of which one fails half of its requests
    Then the other one is chosen while both are idle

  Scenario: An upstream that has said nothing for long is passed over
    Given two idle upstreams of which one has a request and is silent
    Then a new request goes there after 100 ms and elsewhere after 1000 ms
    And after a byte from there it is as good as the other

  Scenario: Prompts that begin alike go to one home at every router
    Given 5 idle engines as seen by 3 routers
    Then requests that share a beginning go to the same engine from all of them
    And 200 beginnings are spread over all 5

  Scenario: Of thousands of engines a router looks at few for a request
    Given 3000 idle engines as seen by 3 routers
    Then each looks at 129 of them for a request
    And requests that share a beginning go to the same engine from all of them
    When the home of the first beginning leaves
    Then only the beginnings that were at home there go elsewhere

  Scenario: A router whose own engines all fail looks at the others
    Given 300 idle engines as seen by 1 routers
    When all that it looks at fail
    Then a request without a beginning goes to another one

  Scenario: Other routers' work counts until they say less or fall silent
    Given 3 idle engines as seen by 1 routers
    When routers "r1" and "r2" say that they have 2 requests at each
    Then 4 requests count at each
    When router "r1" says that it has none any more
    Then 2 requests count at each
    When only "r1" is heard
    Then 0 requests count at each

  Scenario: A home that is too busy is passed over
    Given 5 idle engines as seen by 3 routers
    When the home of a beginning has 40000 unread tokens
    Then requests with that beginning go elsewhere

  Scenario Outline: How urgent a request is, by rank and by its slack
    Then a prompt of <tokens> tokens with a target of <target> ms and rank <rank> is at level <level>

    Examples:
      | tokens | target | rank | level |
      | 500    | 400    | 2    | 2     |
      | 3600   | 800    | 1    | 2     |
      | 17000  | 800    | 1    | 3     |
      | 39000  | 800    | 1    | 5     |
      | 500    | 600    | 0    | 0     |
      | 39000  | 800    | 4    | 9     |

  Scenario: Engines that read faster leave more slack
    Then a prompt of 17000 tokens is more urgent where 100 tokens a ms are read than where 20 are

  Scenario: A long prompt is told to the others as it is sent and as it is read
    Given a fleet of 3 routers whose beacons come every 10000 ms
    When one router sends a prompt of 5000 tokens to an engine
    Then the others know of 5000 unread tokens there
    When its prompt is read
    Then the others know of 0 unread tokens there

  Scenario: Where knowledge is late, routers do not all choose the same engine
    Given 20 idle engines as seen by 40 routers
    When each of them places 3 prompts without hearing of the others
    Then no engine has more than 20 of the 120
    And where each has heard all, the engines have 6 each, one more or less

  # Not run means that nothing was spent, neither of the team's limit nor of
  # this router's part of what is left.
  Scenario: What a request that did not run owed is given back as well
    Given one of 58 routers, where little is left of a team's limit
    When a small request is let pass there and does not run
    Then the next one waits for nothing

  Scenario: A router alone paces nothing that its team's limit allows
    Given one of 1 routers, where little is left of a team's limit
    When a small request is let pass there
    Then the next one waits for nothing
