Feature: Upstreams with missing entries, outages of the store and silent watches

  Scenario: An upstream is gone at once if its entry is removed while the store answers
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is removed
    Then "b, c" may get new requests

  Scenario: An upstream whose entry is missing after an outage still gets requests
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    Then "a, b, c" may get new requests
    And "a" is marked as lapsed

  Scenario: A lapsed upstream gets requests for less time than a leaving one
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 1300 ms pass
    Then "b, c" may get new requests
    And "a" is marked as lapsed

  Scenario: A lapsed upstream whose entry returns gets requests again
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 1900 ms pass
    And the entry of "a" reappears
    And 1900 ms pass
    Then "a, b, c" may get new requests

  # Guards against an entry that is older than the answer: an upstream that leaves while
  # the store is out can't say so there, and its entry goes on to say that it is ready.
  Scenario: An upstream whose answer states that it leaves stays so, whatever its entry says
    Given upstreams "a", "b" and "c" with entries in the store
    When an answer of "a" states that it leaves
    Then "b, c" may get new requests
    When the entry of "a" reappears
    Then "b, c" may get new requests
    When the entry of "a" is missing after an outage
    And the entry of "a" reappears
    Then "b, c" may get new requests

  Scenario: A lapsed upstream whose entry does not return is gone
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 2300 ms pass
    Then "b, c" may get new requests
    And "a" is marked as gone

  Scenario: If all upstreams have lapsed, they get requests until they are gone
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And the entry of "b" is missing after an outage
    And the entry of "c" is missing after an outage
    And 2200 ms pass
    Then "a, b, c" may get new requests

  Scenario: A leaving upstream is gone at once if its entry goes missing
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is marked as leaving
    And the entry of "a" is missing after an outage
    Then "b, c" may get new requests
    And "a" is marked as gone

  Scenario: A late record with an older revision is ignored
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is marked as leaving
    And the earlier entry of "a" is received again
    Then "b, c" may get new requests
    When the entry of "a" is removed
    And the earlier entry of "a" is received again
    Then "b, c" may get new requests

  Scenario: A router that learns of a lapsed upstream from a peer measures the time itself
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 1000 ms pass
    And another router merges this router's records
    And 1300 ms pass
    Then at the other router "b, c" may get new requests
    And after 2300 ms the other router has "a" marked as gone

  # Guards against requests that reach a leaving upstream up to 0.14 s after the permitted
  # 3 s. A router learned of the missing entry from a peer 1 s after the store had reported
  # it to that peer. The peer did not state how old the report was, so the router sent
  # requests for as long as the peer, but from 1 s later on.
  Scenario: A peer reports a lapsed upstream with the time since its entry went missing
    Given upstreams "a", "b" and "c" with entries in the store
    When the entry of "a" is missing after an outage
    And 1000 ms pass
    And another router fetches this router's records
    Then at the other router "a, b, c" may get new requests
    When 300 ms pass
    Then at the other router "b, c" may get new requests
    And after 1000 ms the other router has "a" marked as gone

  Scenario: A failed store call starts an outage, which lasts until some time after an answer
    Given a store that answers
    When a store call fails
    And 5000 ms pass
    Then missing entries may be due to an outage
    When a store call is answered
    And 1900 ms pass
    Then missing entries may be due to an outage
    When 100 ms pass
    Then missing entries are not due to an outage

  Scenario: A store that has failed is probed until it answers
    Given a store that answers
    When a store call fails
    Then the store is probed at 3 of 3 checks
    When a store call is answered
    Then the store is probed at 0 of 3 checks

  Scenario: A store whose call has just failed is probed at the second check
    Given a store that answers
    When a store call was made and has then failed
    Then the store is probed at 2 of 3 checks

  Scenario: A store that has failed is not probed while other calls are made
    Given a store that answers
    When a store call fails
    And another store call is made before each check
    Then the store is probed at 0 of 3 checks

  # Guards against an outage that seems to last 3 s longer than it does: calls made before
  # the store recovered time out after later calls are answered, and a failure was dated
  # by the end of its call.
  Scenario: A failed call that was made before an answer does not extend the outage
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

  # Guards against a fleet that treats removed entries as lapsed for good, after a single
  # failed call of a router that makes no further calls: only an answer ended the outage.
  Scenario: The outage of a router that makes no further calls ends without an answer
    Given a store that answers
    When a store call fails
    And 26500 ms pass
    Then missing entries may be due to an outage
    When 2000 ms pass
    Then missing entries are not due to an outage

  Scenario: A silent watch is restarted if a peer has newer data
    Given a watch on a connection that stays silent
    When a peer has a newer state 500 ms after the watch started
    Then the watch keeps waiting
    When a peer has a newer state 2000 ms after the watch started
    Then the watch has restarted and received the change
