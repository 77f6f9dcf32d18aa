Feature: A lease has one holder, and orders of an old one come to nothing

  Background:
    Given two contenders for a lease of 6000 ms with a guard of 1500 ms

  Scenario: The first takes it, the second waits
    When the first contender attempts it
    And the second contender attempts it
    Then the first holds it and the second does not

  Scenario: A renewal keeps the fencing number
    When the first contender attempts it
    And 3000 ms pass on the clock
    And the first contender attempts it
    Then the first holds it with the fencing number 1

  Scenario: A holder that is paused past its lease stops by itself
    When the first contender attempts it
    And 6000 ms pass on the clock
    Then the first holds it no more

  Scenario: The next holder gets a higher fencing number
    When the first contender attempts it
    And the second contender attempts it
    And 6000 ms pass on the clock
    And the second contender attempts it
    Then the second holds it with the fencing number 2
    When the first contender attempts it
    Then the first holds it no more

  Scenario: No order is begun in the last part of a lease
    When the first contender attempts it
    Then the first may give orders
    When 4500 ms pass on the clock
    Then the first may give no orders
    And the first still holds it

  Scenario: A contender that saw a renewal late waits a whole lease more
    When the first contender attempts it
    And the second contender attempts it
    And 3000 ms pass on the clock
    And the first contender attempts it
    And 3500 ms pass on the clock
    And the second contender attempts it
    Then the second holds it no more
    And the first still holds it

  Scenario: A renewal whose reply was lost
    Given the reply of the next write is lost
    When the first contender attempts it
    Then the first holds it with the fencing number 1

  Scenario: A renewal that never took effect
    When the first contender attempts it
    And 3000 ms pass on the clock
    Given the platform is out
    When the first contender attempts it
    And 3000 ms pass on the clock
    Then the first holds it no more

  Scenario: A holder that gives it up lets the next one in at once
    When the first contender attempts it
    And the first contender gives it up
    And the second contender attempts it
    Then the second holds it with the fencing number 2

  Scenario: The holder comes back under its own name after its lease ran out
    When the first contender attempts it
    And 7000 ms pass on the clock
    And the first contender attempts it
    Then the first holds it with the fencing number 2

  Scenario: An old order arriving late at an upstream that checks
    Given an engine that checks fencing numbers
    When an order with fencing number 2 arrives
    And an order with fencing number 1 arrives
    Then only the order with fencing number 2 was carried out

  Scenario: Two contenders under random pauses, outages and lost replies
    Then in 300 random histories never two may give orders at one moment
