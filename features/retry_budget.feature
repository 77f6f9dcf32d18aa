# Guards against retries beyond the budget of the whole fleet. What a router had counted
# ended with its process, and its next run had the whole budget again: with four of seven
# routers killed every 2 s while upstreams refused requests, a service received 136
# retries in 10 s where 109 were allowed. All routers run without a network here.
Feature: Retry budget of the fleet, over all runs of all routers

  # Guards against a new run's use of what its killed predecessor had used before.
  Scenario: Routers that are killed in series keep to the budget of the fleet
    Given 7 routers that share a retry budget
    When upstreams refuse all requests, 4 a second at each router
    And 4 of the routers are killed and started again every 2000 ms, for 10000 ms
    And 10000 ms pass for these routers
    Then no window has more retries than the budget of the fleet allows

  # Guards against a fleet that has its budget twice, before and after a kill of all.
  Scenario: Routers that are all killed at once keep to the budget of the fleet
    Given 6 routers that share a retry budget
    When upstreams refuse all requests, 4 a second at each router
    And all of the routers are killed and started again
    And 10000 ms pass for these routers
    Then no window has more retries than the budget of the fleet allows

  # Guards against a share of the slack that passes to others while its use still counts.
  Scenario: Routers that leave together hand over no share that they have used
    Given 6 routers that share a retry budget
    When upstreams refuse all requests, 4 a second at each router
    And 3000 ms pass for these routers
    And 4 of the routers leave within 8000 ms
    And 20000 ms pass for these routers
    Then no window has more retries than the budget of the fleet allows

  # Guards against new routers whose shares of the slack, together with what the others have
  # used of theirs, exceed it: the part that is kept back covers as many as were there.
  Scenario: Routers that are added do not exceed the budget with their shares
    Given 6 routers that share a retry budget
    When upstreams refuse all requests, 1 a second at each router
    And 6 more routers start
    And 10000 ms pass for these routers
    Then no window has more retries than the budget of the fleet allows

  # Guards against a fault in the budget that no written history shows.
  Scenario: In random histories, routers keep to the budget of the fleet
    Then the retries of routers stay within the budget in 60 histories of 20 steps
