Feature: Router processes keep the guarantees under random load and faults

  Scenario: A soak of 15 s injects all kinds of faults
    When a soak of 15 s with seed 5 is run with router processes
    Then no guarantee is violated and each kind of fault was injected
