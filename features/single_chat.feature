Feature: A chat that may run only once

  Scenario: Its upstream is lost without notice
    Given a fleet whose engines take 10 ms a step
    When 6 callers ask for 120 tokens each that may run only once
    And 300 ms pass
    And the VMs of "fd-1" are taken without notice
    Then each answer is whole or its outcome is unknown
    And every stream was begun at most once

  Scenario: The platform is out and the caller has no ticket
    Given a fleet
    When the platform goes out
    And 3 callers ask for 10 tokens each that may run only once
    Then all were refused as not run
    And no stream was begun
