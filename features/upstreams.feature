Feature: Upstreams whose entries are missing, and what may be missing

  Scenario: An entry that is removed while the store answers is gone at once
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is removed
    Then "b, c" may get new work

  Scenario: One that is missing after an outage is in doubt
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    Then "a, b, c" may get new work
    And "a" is not given up yet

  Scenario: One in doubt gets no work for as long as a leaving one might
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 1300 ms pass
    Then "b, c" may get new work
    And "a" is not given up yet

  Scenario: One that comes back gets work again
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 1900 ms pass
    And the entry of "a" is back
    And 1900 ms pass
    Then "a, b, c" may get new work

  Scenario: One that does not come back is given up
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 2300 ms pass
    Then "b, c" may get new work
    And "a" is given up

  Scenario: Where all are in doubt they get work until they are given up
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And the entry of "b" is missing after an outage
    And the entry of "c" is missing after an outage
    And 2200 ms pass
    Then "a, b, c" may get new work

  Scenario: One that had said that it leaves is not in doubt
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" says that it leaves
    And the entry of "a" is missing after an outage
    Then "b, c" may get new work
    And "a" is given up

  Scenario: An older statement that comes late changes nothing
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" says that it leaves
    And what it said before comes once more
    Then "b, c" may get new work
    When the entry of "a" is removed
    And what it said before comes once more
    Then "b, c" may get new work

  Scenario: A router that hears of the doubt counts the time by itself
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 1000 ms pass
    And another router takes that over
    And 1300 ms pass
    Then there "b, c" may get new work
    And after 2300 ms there "a" is given up

  # Seen: requests reached upstreams up to 0.14 s after the 3 s in which those that
  # leave may get work. How: a router heard of a doubt from a peer, a second after the
  # store had told, and gave work for as long again as the peer. Cause: what one router
  # knows reached the others without its age. Proof: the peer's doubt is 1 s old.
  Scenario: A doubt is told with its age
    Given upstreams "a", "b" and "c" by their entries
    When the entry of "a" is missing after an outage
    And 1000 ms pass
    And another router asks for that
    Then there "a, b, c" may get new work
    When 300 ms pass
    Then there "b, c" may get new work
    And after 1000 ms there "a" is given up

  Scenario: What fails says that the store is out, and for how long it is felt
    Given a store that answers
    When a call of it fails
    And 5000 ms pass
    Then the outage is felt
    When a call of it is answered
    And 1900 ms pass
    Then the outage is felt
    When 100 ms pass
    Then the outage is not felt

  Scenario: A store that has failed is asked until it answers
    Given a store that answers
    When a call of it fails
    Then it is asked at 3 of 3 looks
    When a call of it is answered
    Then it is asked at 0 of 3 looks

  Scenario: A store whose call has failed just now is asked at the second look
    Given a store that answers
    When a call of it was made, and failed after that
    Then it is asked at 2 of 3 looks

  Scenario: A store that has failed and is asked anyway is not asked beside
    Given a store that answers
    When a call of it fails
    And other calls of it are made, one before each look
    Then it is asked at 0 of 3 looks

  # Seen: routers took the store to be out for 3 s after it had come back. How: calls
  # that were made before ran out of time after others had been answered. Cause: a
  # call's failure was dated by its end. Proof: one that was made before the answer.
  Scenario: A call that was made before another one's answer dates the outage by that
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

  # Seen: one failed call of a router that asked the store no more made the whole
  # fleet take entries that were removed for lapsed ones, for good. Cause: only an
  # answer ended the doubt. Proof: no answer comes here.
  Scenario: A router that asks the store no more does not doubt for good
    Given a store that answers
    When a call of it fails
    And 26500 ms pass
    Then the outage is felt
    When 2000 ms pass
    Then the outage is not felt

  Scenario: A watch that stays silent is given up for a peer's news
    Given a watch on a connection that stays silent
    When a peer has news 500 ms after it began
    Then the watch waits on
    When a peer has news 2000 ms after it began
    Then the watch has begun anew and knows the news
