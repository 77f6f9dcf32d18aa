Feature: An accepted configuration is in force everywhere and never reverts

  Scenario: A commit is in force at every router
    Given a fleet
    When a configuration with the team "new" is applied at "router-1"
    Then every router has the committed version in force
    And every router knows the team "new"

  Scenario: Operators race
    Given a fleet
    When two operators apply different configurations from one version
    Then one was committed and the other was told of the conflict
    And every router has the committed version in force

  Scenario: The reply of a commit was lost
    Given a feed on a store
    And the reply of the next write is lost
    When "one" is committed
    Then the commit is known to have taken effect
    And the version in force is that of "one"

  Scenario: A commit in an outage is not called committed
    Given a feed on a store
    And the platform is out
    When "one" is committed
    Then the commit is not known to have taken effect
    And no version is in force

  Scenario: A stale read and a stale peer change nothing
    Given a feed on a store
    When "one" is committed
    And "two" is committed
    And the version of "one" is offered again
    Then the version in force is that of "two"

  Scenario: A document with findings is never committed
    Given a fleet
    When a configuration with findings is applied at "router-1"
    Then it was refused with its findings
    And every router has the first version in force

  Scenario: A router that starts in an outage gets it from its peers
    Given a fleet
    When a configuration with the team "new" is applied at "router-1"
    And the platform goes out
    And a router is started that knows "router-1" as a seed
    Then every router has the committed version in force
    And callers are served through the new router

  Scenario: A router that starts takes the higher of platform and peers
    Given a fleet
    When a configuration with the team "new" is applied at "router-1"
    And the platform shows an old version to those who start
    And a router is started that knows "router-1" as a seed
    Then every router has the committed version in force

  Scenario: Routers go on through a long outage
    Given a fleet
    When the platform goes out
    And 6 callers ask for 20 tokens each
    Then every answer is whole

  Scenario: Watches do not grow with routers
    Given a fleet of 6 routers and 2 engines
    Then at most 2 routers watch the platform

  Scenario: Random orders of commits, lost replies, stale reads and restarts
    Then in 200 random histories no feed ever goes back

  Scenario: Random orders of statements about members
    Then in 300 random orders all memberships come out alike

  Scenario: A router that missed news finds out by itself
    Given a fleet of 4 routers and 2 engines
    When "router-1" learns of 100 upstreams and tells nobody
    Then every router knows them

  Scenario: Operators and peers show certificates
    Given two routers that talk over TLS
    Then the routers know each other
    And the operator "anna" may read and configure
    And the operator "ben" may read but not configure
    And an operator whose certificate is from elsewhere gets nothing
    When the keys are replaced on disk
    Then an operator with a new certificate gets in without a restart
