Feature: Routers that are processes keep their promises under random faults

  Scenario: Every kind of fault within a quarter of a minute
    When 15 s of random load and faults with seed 5 are run on processes
    Then no promise is broken and every kind of fault was brought about
