Feature: An accepted configuration comes into force everywhere and never reverts

  Scenario: A change reaches every router
    Given a fleet of 4 routers
    When the operators change the configuration 5 times
    Then every router has the last version in force within 2000 ms

  Scenario: Older versions from a peer and from the store are ignored
    Given a fleet of 2 routers
    When the operators change the configuration 2 times
    And an older version is offered to a router
    Then every router has the last version in force within 2000 ms

  Scenario: A router that the store refuses gets the configuration from its peers
    Given a fleet of 3 routers
    When all further store calls of one router fail
    And the operators change the configuration 1 times
    Then every router has the last version in force within 3000 ms

  # Watchers are chosen among the routers that are heard, whether or not the store
  # answers them, so that the store may refuse all of them. Found by reading the code.
  Scenario: The store refuses all routers that watch on behalf of the others
    Given a fleet of 12 routers
    When all further store calls of the routers that watch the configuration fail
    And the operators change the configuration 1 times
    Then every router has the last version in force within 5000 ms

  Scenario: A router that starts during an outage gets the configuration from its peers
    Given a fleet of 2 routers
    When the operators change the configuration 1 times
    And the store is unavailable and a third router starts
    Then every router has the last version in force within 4000 ms

  Scenario: A change reaches every router after the store has compacted its history
    Given a fleet of 2 routers
    When the store compacts its history while the configuration changes
    Then every router has the last version in force within 4000 ms

  Scenario: A malformed configuration changes nothing
    Given a fleet of 1 routers
    When the operators write a malformed configuration
    Then the previous version stays in force

  Scenario: Two operators commit documents at the same time
    Given a fleet of 2 routers
    When two operators commit documents based on the same version
    Then exactly one of the commits fails with a conflict
    And both routers have the committed document within 2000 ms

  Scenario: A commit based on an outdated version is rejected
    Given a fleet of 1 routers
    When an operator commits a document based on an outdated version
    Then the commit fails with a conflict and the newer document stays

  Scenario: The reply to a commit is lost
    Given a fleet of 1 routers
    When a document is committed and the reply is lost
    Then the commit is reported as successful

  Scenario: A product document with a section for the platform is refused with all findings
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

  Scenario: The highest versions are in force whatever order versions arrive in
    Then the highest version is in force after updates in 100 random orders
