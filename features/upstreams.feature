Feature: Upstreams whose entries are missing, and what may be missing

  Scenario: An entry that is removed while the store answers is gone at once
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is removed
    Then "b, c" may get new requests

  Scenario: One that is missing after an outage is in doubt
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    Then "a, b, c" may get new requests
    And "a" is marked as lapsed

  Scenario: One in doubt gets no work for as long as a leaving one might
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 1300 ms pass
    Then "b, c" may get new requests
    And "a" is marked as lapsed

  Scenario: One that comes back gets work again
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 1900 ms pass
    And the entry of "a" reappears
    And 1900 ms pass
    Then "a, b, c" may get new requests

  Scenario: One that does not come back is given up
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 2300 ms pass
    Then "b, c" may get new requests
    And "a" is marked as gone

  Scenario: Where all are in doubt they get work until they are given up
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And the entry of "b" is missing after an outage
    And the entry of "c" is missing after an outage
    And 2200 ms pass
    Then "a, b, c" may get new requests

  Scenario: One that had said that it leaves is not in doubt
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is marked as leaving
    And the entry of "a" is missing after an outage
    Then "b, c" may get new requests
    And "a" is marked as gone

  Scenario: An older statement that comes late changes nothing
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is marked as leaving
    And the earlier entry of "a" is received again
    Then "b, c" may get new requests
    When the entry of "a" is removed
    And the earlier entry of "a" is received again
    Then "b, c" may get new requests

  Scenario: A router that hears of the doubt counts the time by itself
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 1000 ms pass
    And another router merges this router's records
    And 1300 ms pass
    Then at the other router "b, c" may get new requests
    And after 2300 ms the other router has "a" marked as gone

  # Seen: requests reached upstreams up to 0.14 s after the 3 s in which those that
  # leave may get work. How: a router heard of a doubt from a peer, a second after the
  # store had told, and gave work for as long again as the peer. Cause: what one router
  # knows reached the others without its age. Proof: the peer's doubt is 1 s old.
  Scenario: A doubt is told with its age
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 1000 ms pass
    And another router fetches this router's records
    Then at the other router "a, b, c" may get new requests
    When 300 ms pass
    Then at the other router "b, c" may get new requests
    And after 1000 ms the other router has "a" marked as gone

  Scenario: What fails says that the store is out, and for how long it is felt
    Given a store that answers
    When a store call fails
    And 5000 ms pass
    Then missing entries may be due to an outage
    When a store call is answered
    And 1900 ms pass
    Then missing entries may be due to an outage
    When 100 ms pass
    Then missing entries are not due to an outage

  Scenario: A store that has failed is asked until it answers
    Given a store that answers
    When a store call fails
    Then the store is probed at 3 of 3 checks
    When a store call is answered
    Then the store is probed at 0 of 3 checks

  Scenario: A store whose call has failed just now is asked at the second look
    Given a store that answers
    When a store call was made and has then failed
    Then the store is probed at 2 of 3 checks

  Scenario: A store that has failed and is asked anyway is not asked beside
    Given a store that answers
    When a store call fails
    And another store call is made before each check
    Then the store is probed at 0 of 3 checks

  # Seen: routers took the store to be out for 3 s after it had come back. How: calls
  # that were made before ran out of time after others had been answered. Cause: a
  # call's failure was dated by its end. Proof: one that was made before the answer.
  Scenario: A call that was made before another one's answer dates the outage by that
    Given a store that answers
    When a store call is answered
    And 1000 ms pass
    And a store call that started 1500 ms ago fails
    Then missing entries may be due to an outage
    When 900 ms pass
    Then missing entries may be due to an outage
    When 100 ms pass
    Then missing entries are not due to an outage
    When a store call that started 1500 ms ago fails
    Then missing entries may be due to an outage

  # Seen: one failed call of a router that asked the store no more made the whole
  # fleet take entries that were removed for lapsed ones, for good. Cause: only an
  # answer ended the doubt. Proof: no answer comes here.
  Scenario: A router that asks the store no more does not doubt for good
    Given a store that answers
    When a store call fails
    And 26500 ms pass
    Then missing entries may be due to an outage
    When 2000 ms pass
    Then missing entries are not due to an outage

  Scenario: A watch that stays silent is given up for a peer's news
    Given a watch on a connection that stays silent
    When a peer has a newer state 500 ms after the watch started
    Then the watch keeps waiting
    When a peer has a newer state 2000 ms after the watch started
    Then the watch has restarted and received the change
