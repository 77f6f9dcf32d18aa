Feature: Upstreams with missing entries, outages of the store and silent watches

  Scenario: An upstream is gone at once if its entry is removed while the store answers
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is removed
    Then "b, c" may get new work

  Scenario: An upstream whose entry is missing after an outage still gets requests
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    Then "a, b, c" may get new work
    And "a" is not given up yet

  Scenario: A lapsed upstream gets requests for less time than a leaving one
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 1300 ms pass
    Then "b, c" may get new work
    And "a" is not given up yet

  Scenario: A lapsed upstream whose entry returns gets requests again
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 1900 ms pass
    And the entry of "a" is back
    And 1900 ms pass
    Then "a, b, c" may get new work

  Scenario: A lapsed upstream whose entry does not return is gone
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 2300 ms pass
    Then "b, c" may get new work
    And "a" is given up

  Scenario: If all upstreams have lapsed, they get requests until they are gone
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And the entry of "b" is missing after an outage
    And the entry of "c" is missing after an outage
    And 2200 ms pass
    Then "a, b, c" may get new work

  Scenario: A leaving upstream is gone at once if its entry goes missing
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" says that it leaves
    And the entry of "a" is missing after an outage
    Then "b, c" may get new work
    And "a" is given up

  Scenario: A late record with an older revision is ignored
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" says that it leaves
    And what it said before comes once more
    Then "b, c" may get new work
    When the entry of "a" is removed
    And what it said before comes once more
    Then "b, c" may get new work

  Scenario: A router that learns of a lapse from a peer times it itself
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 1000 ms pass
    And another router takes that over
    And 1300 ms pass
    Then there "b, c" may get new work
    And after 2300 ms there "a" is given up

  # Guards against requests that reach a leaving upstream too late, by up to 0.14 s after
  # the permitted 3 s: a router learned of the lapse from a peer 1 s after the store had
  # reported it, without its age, and sent requests for as long again as the peer.
  Scenario: A peer reports a lapse with its age
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 1000 ms pass
    And another router asks for that
    Then there "a, b, c" may get new work
    When 300 ms pass
    Then there "b, c" may get new work
    And after 1000 ms there "a" is given up

  Scenario: A failed call starts an outage, which lasts until some time after an answer
    Given a store that answers
    When a call of it fails
    And 5000 ms pass
    Then the outage is felt
    When a call of it is answered
    And 1900 ms pass
    Then the outage is felt
    When 100 ms pass
    Then the outage is not felt

  Scenario: A store that has failed is probed until it answers
    Given a store that answers
    When a call of it fails
    Then it is asked at 3 of 3 looks
    When a call of it is answered
    Then it is asked at 0 of 3 looks

  Scenario: A store whose call has just failed is probed at the second check
    Given a store that answers
    When a call of it was made, and failed after that
    Then it is asked at 2 of 3 looks

  Scenario: A store that has failed is not probed while other calls are made
    Given a store that answers
    When a call of it fails
    And other calls of it are made, one before each look
    Then it is asked at 0 of 3 looks

  # Guards against an outage that seems to last 3 s longer than it does: calls made before
  # the store recovered time out after later calls are answered, and a failure was dated
  # by the end of its call.
  Scenario: A failed call that was made before an answer does not extend the outage
    Given a store that answers
    When a call of it is answered
    And 1000 ms pass
    And one that was made 1500 ms ago fails
    Then the outage is felt
    When 900 ms pass
    Then the outage is felt
    When 100 ms pass
    Then the outage is not felt
    When one that was made 1500 ms ago fails
    Then the outage is felt

  # Guards against a fleet that treats removed entries as lapsed for good, after a single
  # failed call of a router that makes no further calls: only an answer ended the outage.
  Scenario: The outage of a router that makes no further calls ends without an answer
    Given a store that answers
    When a call of it fails
    And 26500 ms pass
    Then the outage is felt
    When 2000 ms pass
    Then the outage is not felt

  Scenario: A silent watch is restarted if a peer has newer data
    Given a watch on a connection that stays silent
    When a peer has news 500 ms after it began
    Then the watch waits on
    When a peer has news 2000 ms after it began
    Then the watch has begun anew and knows the news
