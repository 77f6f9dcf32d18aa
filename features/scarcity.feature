# Guards against serving the least important requests first while the slots of an engine
# service are short: on one day, 1,256 of 4,962 requests of priority 0 were late, because
# short prompts of priority 1 and 2 had passed their long prompts.

Feature: Order of requests while the capacity of an engine service is short

  Scenario: A burst of 2.6 times the usual load makes 56 engines with 12 slots short
    Given 56 engines with 12 slots and memory for 427450 tokens
    When all routers together run 400 requests of 6000 tokens for 5000 ms
    Then capacity suffices
    When all routers together run 1040 requests of 6000 tokens for 1000 ms
    Then capacity is short
    When all routers together run 400 requests of 6000 tokens for 2000 ms
    Then capacity suffices

  Scenario: Requests for all slots that one round of beacons reports change nothing
    Given 56 engines with 12 slots and memory for 427450 tokens
    When all routers together run 400 requests of 6000 tokens for 5000 ms
    And all routers together run 700 requests of 6000 tokens for 250 ms
    And all routers together run 400 requests of 6000 tokens for 250 ms
    Then capacity suffices

  Scenario: Few requests with long prompts fill the memory while slots are free
    Given 56 engines with 12 slots and memory for 427450 tokens
    When all routers together run 200 requests of 120000 tokens for 5000 ms
    Then capacity is short

  Scenario: Load near the bounds does not make the order alternate
    Given 56 engines with 12 slots and memory for 427450 tokens
    When all routers together run 640 requests of 6000 tokens for 5000 ms
    Then capacity is short
    When the load alternates between 530 and 600 requests of 6000 tokens every 250 ms for 20000 ms
    Then capacity was short all the time

  Scenario: A failure domain of 14 engines is about to leave
    Given 56 engines with 12 slots and memory for 427450 tokens
    When all routers together run 540 requests of 6000 tokens for 5000 ms
    Then capacity suffices
    When 14 of the engines state that they are leaving
    And all routers together run 540 requests of 6000 tokens for 2000 ms
    Then capacity is short

  Scenario: The reports of all other routers are missing
    Given 56 engines with 12 slots and memory for 427450 tokens
    And 29 routers of which 28 are not heard
    When this router alone runs 10 requests of 6000 tokens for 5000 ms
    Then capacity suffices
    When this router alone runs 40 requests of 6000 tokens for 2000 ms
    Then capacity is short

  Scenario: The reports of one of 29 routers are missing
    Given 56 engines with 12 slots and memory for 427450 tokens
    And 29 routers of which 1 are not heard
    When all routers together run 400 requests of 6000 tokens for 5000 ms
    Then capacity suffices

  Scenario: The state and its gauge end with the service and with the setting
    Given 56 engines with 12 slots and memory for 427450 tokens
    When all routers together run 1040 requests of 6000 tokens for 1000 ms
    Then the gauge of scarcity is above 0.9
    When the service is removed from the configuration
    Then there is neither a state nor a gauge of scarcity
    When the service is in the configuration again
    And the setting order is changed to slack
    Then there is neither a state nor a gauge of scarcity

  Scenario: With the default settings, requests keep their urgency while capacity is short
    Given 56 engines with 12 slots and memory for 427450 tokens
    And the setting order is changed to slack
    When all routers together run 1040 requests of 6000 tokens for 5000 ms
    Then a request of priority 0 with 39000 tokens keeps its urgency

  Scenario: Requests are ordered by priority only while capacity is short
    Given 56 engines with 12 slots and memory for 427450 tokens
    When all routers together run 400 requests of 6000 tokens for 5000 ms
    Then a request of priority 0 with 39000 tokens keeps its urgency
    When all routers together run 1040 requests of 6000 tokens for 5000 ms
    Then a request of priority 0 with 39000 tokens is ordered by priority
    And 1 requests were counted for each order

  Scenario: Any prompt of a priority is more urgent than all of later priorities
    Then random pairs of requests are ordered by priority, and by prompt length within it
