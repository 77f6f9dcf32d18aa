Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A change reaches every router
    Given a fleet of 4 routers
    When the operators change the configuration 5 times
    Then the last one is in force everywhere within 2000 ms

  Scenario: A stale peer and a stale read change nothing
    Given a fleet of 2 routers
    When the operators change the configuration 2 times
    And an older version is offered to a router
    Then the last one is in force everywhere within 2000 ms

  Scenario: A router that the store turns away hears of it from its peers
    Given a fleet of 3 routers
    When one router's store calls fail from then on
    And the operators change the configuration 1 times
    Then the last one is in force everywhere within 3000 ms

  # By reading: who watches is chosen by who is heard, not by whom the store answers.
  Scenario: All that watch for the others are turned away by the store
    Given a fleet of 12 routers
    When the store calls of all that watch the configuration fail from then on
    And the operators change the configuration 1 times
    Then the last one is in force everywhere within 5000 ms

  Scenario: A router that starts in an outage has it from its peers
    Given a fleet of 2 routers
    When the operators change the configuration 1 times
    And the store is out and a third router starts
    Then the last one is in force everywhere within 4000 ms

  Scenario: The store forgets its history
    Given a fleet of 2 routers
    When the store forgets its history while changes are made
    Then the last one is in force everywhere within 4000 ms

  Scenario: A malformed configuration changes nothing
    Given a fleet of 1 routers
    When the operators write something malformed
    Then the version before stays in force

  Scenario: Operators race for the product's own document
    Given a fleet of 2 routers
    When two operators commit from the same version
    Then one is told of the other's change
    And both routers have the winner's document within 2000 ms

  Scenario: An operator whose base is behind changes nothing
    Given a fleet of 1 routers
    When an operator commits from a base that is behind
    Then that one is told of the conflict and the newer document stays

  Scenario: The reply to a commit is lost
    Given a fleet of 1 routers
    When a document is committed and the reply is lost
    Then the commit is known to have taken effect

  Scenario: A document that belongs elsewhere is refused as a whole
    When this document is checked
      """
      [model a]
      route = chat
      [event opening]
      start_ms = 1
      tokens_per_second = 10
      model = b
      [team x]
      rate = 5
      [policy]
      scaling = guesswork
      """
    Then the findings contain "unknown model b" and "belongs into the platform" and "must be one of planner"

  Scenario: Versions and documents in any order
    Then in 100 random orders the highest version is in force
