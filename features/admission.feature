Feature: Requests are limited, ordered and refused early, and refusals are true

  Background:
    Given an admission with upstreams of 2 slots
    And a team "large" with rate 1000 and weight 3
    And a team "small" with rate 1000 and weight 1
    And a team "slow" with rate 2 and weight 1

  Scenario: A team's rate
    Then 2 of 5 requests of "slow" are admitted at once
    And the refusal is "team_rate" with a hint of at most 500 ms
    When 500 ms pass on the clock
    Then 1 of 3 requests of "slow" are admitted at once

  Scenario: A team's concurrency
    Given a team "few" with concurrency 3
    Then 3 of 5 requests of "few" are admitted at once
    And the refusal is "team_concurrency" with a hint of at most 500 ms

  Scenario: Interactive work goes first
    When the slots are taken and these wait: 4 draft, 4 standard, 4 interactive
    Then the next 4 placed are all interactive

  Scenario: Drafts finish however much interactive work there is
    When the slots are taken and these wait: 1 draft, 0 standard, 40 interactive
    Then the draft is among the next 8 placed

  # The slots were taken by 3 requests of "large": that makes 20 of 27.
  Scenario: Teams share by weight
    When the slots are taken and 40 requests of "large" and 40 of "small" wait
    Then of the next 24 placed 17 are of "large"

  Scenario: An idle team saves nothing up
    When 20 requests of "large" are placed and ended
    And the slots are taken and 8 requests of "large" and 8 of "small" wait
    Then of the next 8 placed 6 are of "large"

  Scenario: The queue is bounded
    When the slots are taken and these wait: 0 draft, 0 standard, 20 interactive
    Then another request is refused as "queue_full" and nothing was placed for it

  Scenario: What can't be served in time is refused at once
    When 10 requests a second are served
    And the slots are taken and these wait: 0 draft, 0 standard, 15 interactive
    Then a request with a deadline of 1000 ms is refused as "overload"
    And a request with a deadline of 9000 ms is admitted

  Scenario: A deadline in the past
    Then a request with a deadline of 0 ms is refused as "deadline_past"

  Scenario: A request whose deadline comes while it waits
    When the slots are taken
    Then a request with a deadline of 60 ms that waits is refused as "deadline" and waits no more

  Scenario: A failing upstream is left alone for a while, then tried once
    When the upstream "u1" fails 2 times
    Then "u1" is not usable
    When 400 ms pass on the clock
    Then "u1" is usable for one request
    When the upstream "u1" succeeds
    Then "u1" is usable

  Scenario: An upstream that was marked as leaving gets nothing
    When "u1" is marked as leaving
    Then "u1" is not usable
    And a statement that "u1" is live changes nothing

  Scenario: An upstream that had not loaded a model is asked again later
    When "u1" answers that it has not loaded "m"
    Then a request with a deadline of 50 ms that waits is refused as "deadline" and waits no more
    When 1000 ms pass on the clock
    Then a request for "m" is placed at "u1"

  Scenario: A router serves a subset that is spread over failure domains
    Given 600 engines in 5 failure domains and a subset of 40
    Then the router serves 40 engines, 8 in each failure domain
    And another router serves mostly others
    When one of the router's engines is lost
    Then 39 of the 40 are still served, and one is new

  Scenario: Requests that begin alike go where their prefix is
    Given two idle engines
    When a prompt was sent to "e2"
    Then a prompt that begins alike goes to "e2"
    When a late cache event says that "e2" has dropped it
    Then a prompt that begins alike goes to "e1"

  Scenario: A router is not shut out by others that fill every place
    Given two idle engines
    And 4 routers share the engines
    When "e1" and "e2" are full of others' requests
    Then this router may still place 2 requests at each, and no more

  Scenario: A full engine is not used for its cache
    Given two idle engines
    When a prompt was sent to "e2"
    And "e2" is full
    Then a prompt that begins alike goes to "e1"

  Scenario: An empty retry budget slows retries down
    Given a retry budget of 0.2 of 100 requests
    Then the first retry comes at once
    And the fifth comes after a growing pause
    And 400 retries at once are spread over more than 5 seconds
