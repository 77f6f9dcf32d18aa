Feature: A store that comes back from an older copy

  The store then lacks what it has acknowledged since, and gives the revisions of the
  lost part to other writes. Each answer names its era.

  Background:
    Given a store in era 1, and two routers' access to it

  Scenario: A write that is conditional on a revision of an earlier era is not sent
    When the first router writes "a"
    And the store comes back without it
    And the first router reads it
    And the second router writes "b"
    And the first router replaces "a" by "c"
    Then that is a conflict
    And the store has "b"

  Scenario: The outcome of a write is not known if its revision came to name another one
    When the first router writes "a"
    And the store comes back without it
    And the second router writes "b"
    And the first router replaces "a" by "c"
    Then that has no known outcome

  Scenario: An answer of an earlier era counts as none
    When the first router writes "a"
    And the store comes back without it
    And the first router reads it
    And an answer from before the return reaches the first router
    Then that is no answer

  Scenario: A watch from an earlier era has lost its history
    When the first router writes "a"
    And the first router lists the kind
    And the store comes back without it
    And the second router writes "b"
    And the first router watches the kind
    Then that has lost its history

  Scenario: A listing that the return of the store interrupts is none
    Given the store lists one object a page
    When the first router writes "a"
    And the first router writes another object
    And the store comes back after the next page
    And the first router lists the kind
    Then that is no answer

  # Guards against requests to an upstream that had said that it leaves: the store came back
  # from a copy that showed it ready, and its revision there ordered after the later one.
  Scenario: What is known of an upstream does not go back with the store
    When these entries are read over a return of the store
      | before the return | on the copy | state   |
      | ready             | ready       | LIVE    |
      | draining          | ready       | LEAVING |
      | draining          | draining    | LEAVING |
      | removed           | ready       | GONE    |
      | removed           | draining    | GONE    |
      | draining          | removed     | GONE    |
      | ready             | removed     | LAPSED  |
      | ready             | draining    | LEAVING |
    Then each upstream is in its state

  Scenario: An upstream that was gone is back once it has renewed its entry
    When these entries are read over a return of the store, and again later
      | before the return | on the copy | renewed | state   |
      | removed           | ready       | no      | GONE    |
      | removed           | ready       | yes     | LIVE    |
      | removed           | draining    | yes     | LEAVING |
      | draining          | ready       | yes     | LEAVING |
    Then each upstream is in its state

  Scenario: An entry that is written again as ready does not undo that its upstream leaves
    When an upstream leaves, the store returns, and its entry of before is written again
    Then the upstream is still known to leave

  Scenario: Upstreams are listed again after a return, once they have renewed their entries
    Given a fleet without a network, with simulated time
    When an upstream is removed, and its entry is on the copy from which the store comes back
    Then all routers use the upstream 4000 ms later

  # Guards against a product document that reverts: the copy had the one before, and its
  # revision there ordered after that of the newer one.
  Scenario: A committed document stays in force over a return, and is stored again
    When the first router commits the document "one"
    And the store is copied
    And the first router commits the document "two"
    And the store comes back from the copy
    And the first router lists the documents
    Then the first router has the document "two" in force
    When the first router restores the document
    And the second router lists the documents
    Then the second router has the document "two" in force
    And the first router's commit of "three" succeeds

  Scenario: A fleet follows a store that returns from a copy
    Given a fleet of 3 routers
    When the operators change the configuration 3 times
    And the embedded store returns from a copy 1500 ms old
    And the operators change the configuration 1 times
    Then every router has the last version in force within 3000 ms
    And every router is told of era 1 and uses all upstreams
