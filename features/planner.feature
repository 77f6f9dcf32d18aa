Feature: Live events are planned backward, and a half-done plan is picked up

  Background:
    Given prices of 1.0, 1.1, 1.2 and 1.3 in four failure domains, on demand 3 times that
    And an event "opening" of 1000 tokens/s on VMs of 250 tokens/s

  Scenario: Enough is left when the largest failure domain is lost
    Then without any failure domain at least 5 VMs are left
    And the plan costs less than 5 VMs on demand

  Scenario: Where reclaimable VMs are dear, on-demand ones take their place
    Given on demand costs 1.1 times as much
    Then the mix holds VMs on demand only

  Scenario: A single failure domain cannot protect itself
    Given only the failure domain of price 1.0 has reclaimable VMs
    Then the mix holds VMs on demand only

  Scenario: Refused VMs fall to the next failure domain
    Given the first failure domain refuses reclaimable VMs
    Then no reclaimable VM is planned there
    And without any failure domain at least 5 VMs are left

  Scenario: It works backward from the start
    Then the order comes before the start by boot, loads, warm-up and margin
    And nothing is wanted before the order and after the end
    And the plan explains each step with its time, reason and cost

  Scenario: Demand above the forecast corrects it
    When 2000 tokens/s are observed during the event
    Then without any failure domain at least 10 VMs are left

  Scenario: For every demand and every choice of prices the mix holds
    Then in 400 random markets the mix outlasts any failure domain
    And no cheaper even spread exists

  Scenario: The fleet is bought once, though the holder changes half-way
    Given a managed fleet with two controllers and an event in 2500 ms
    When the holder is killed after its first orders
    Then the planned VMs are there once, with their models loaded
    And the event's answers are whole

  Scenario: A lost VM is replaced, and the event's VMs are given back
    Given a managed fleet with two controllers and an event in 1500 ms
    When the planned VMs are there
    And one of them is reclaimed
    Then another takes its place
    And after the event its VMs are drained and given back

  Scenario: An engine that does not say its load is not taken for empty
    Given a fleet
    Then an engine that answers without work is empty after its drain
    And an engine that does not answer is not

  Scenario: The cloud refuses a failure domain
    Given a managed fleet with two controllers and an event in 1500 ms
    And the cloud refuses VMs in "fd-1" and "fd-1"
    Then the planned VMs come from other failure domains
