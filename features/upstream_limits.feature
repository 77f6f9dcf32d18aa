Feature: Upstreams that name a limit for all routers together

  Scenario: All routers together keep to the limit of an upstream
    Given a fleet of 4 routers
    And one engine names a limit of 1 request a second
    When 25 requests a second come for 6 s, to each router in turn
    Then the engine with the limit gets no more than 11 of them in 4 s
    And all are answered by the others or by it

  Scenario: What no upstream has room for is refused at once
    Given a fleet of 2 routers
    And each engine names a limit of 0.5 requests a second
    When 25 requests a second come for 4 s, to each router in turn
    Then those that are refused were told within 100 ms when to come back
    And no engine gets more than 8 of them in 4 s
