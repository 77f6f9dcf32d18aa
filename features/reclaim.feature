Feature: An accepted request survives any announced reclaim

  Scenario: Running streams move with their KV cache
    Given a fleet whose engines take 10 ms a step
    When 8 callers ask for 150 tokens each
    And 400 ms pass
    And the VMs of "fd-1" get 700 ms of notice
    Then every answer is whole
    And streams were moved with their cache
    And no token was computed again

  Scenario: Two failure domains, one after the other
    Given a fleet whose engines take 10 ms a step
    When 8 callers ask for 200 tokens each
    And 300 ms pass
    And the VMs of "fd-1" get 700 ms of notice
    And 800 ms pass
    And the VMs of "fd-2" get 500 ms of notice
    Then every answer is whole
    And no token was computed again

  Scenario: A stream that ends within the notice is left alone
    Given a fleet whose engines take 10 ms a step
    When 4 callers ask for 60 tokens each
    And 100 ms pass
    And the VMs of "fd-1" get 4000 ms of notice
    Then every answer is whole
    And no stream was moved

  Scenario: The target dies during the move
    Given a fleet whose engines take 10 ms a step
    And every engine dies when a KV cache arrives, but the last
    When 6 callers ask for 150 tokens each
    And 300 ms pass
    And the VMs of "fd-1" get 700 ms of notice
    Then every answer is whole

  Scenario: The engine dies before its notice ends
    Given a fleet whose engines take 10 ms a step
    When 8 callers ask for 150 tokens each
    And 300 ms pass
    And the VMs of "fd-1" get 5000 ms of notice and are taken at once
    Then every answer is whole

  Scenario: No target takes the KV cache
    Given a fleet whose engines take 10 ms a step
    And no engine takes a KV cache
    When 6 callers ask for 150 tokens each
    And 300 ms pass
    And the VMs of "fd-1" get 700 ms of notice
    Then every answer is whole
    And streams were moved without their cache
    And at most 2000 tokens were computed again

  Scenario: Engines are lost without notice
    Given a fleet whose engines take 10 ms a step
    When 8 callers ask for 120 tokens each
    And 300 ms pass
    And the VMs of "fd-1" are taken without notice
    And 300 ms pass
    And the VMs of "fd-2" are taken without notice
    Then every answer is whole

  Scenario: A leaving upstream gets no new work
    Given a fleet
    When the VMs of "fd-1" get 20000 ms of notice
    Then every router has marked them as leaving
    When 12 callers ask for 10 tokens each
    Then every answer is whole
    And the VMs of "fd-1" were sent nothing

  Scenario: An operator drains an upstream
    Given a fleet
    When an operator drains a VM of "fd-1" at one router
    Then every router has marked them as leaving

  Scenario: Only one model engine is left, and replacements are refused
    Given a fleet of 2 routers and 2 engines
    And the cloud refuses VMs in "fd-1" and "fd-2"
    When 6 callers ask for 80 tokens each
    And 200 ms pass
    And the VMs of "fd-1" get 500 ms of notice
    Then every answer is whole

  Scenario: A non-idempotent chat goes on elsewhere and is not begun twice
    Given a fleet whose engines take 10 ms a step
    When 6 callers ask for 120 tokens each that may run only once
    And 300 ms pass
    And the VMs of "fd-1" get 600 ms of notice
    Then every answer is whole
    And every stream was begun once
