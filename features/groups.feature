Feature: In a large fleet heads tell sums, and members tell their head

  Scenario: Everybody hears of everybody, by few messages
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    Then each hears all the others
    And a router that is no head sends at most 4 beacons a second

  Scenario: The messages of a member do not grow with the fleet
    Then at 20, 80 and 330 routers a member sends and gets as many beacons a second

  Scenario: What one counts reaches every other, once
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And each of them lets 100 tokens pass, takes a request and has work at "u-1"
    And 3000 ms pass in the groups
    Then at each of them 4000 tokens are off the team's limit
    And each of them would report 40 requests
    And each of them knows the work of all 40 at "u-1"
    And each of them has measured what all were asked for

  Scenario: A head that is killed leaves a gap and nothing is counted twice
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And each of them lets 100 tokens pass, takes a request and has work at "u-1"
    And 3000 ms pass in the groups
    And a head is killed
    And 4000 ms pass in the groups
    Then each hears all the others
    And at each of them 4000 tokens are off the team's limit
    And no one would report more than 40 requests, nor fewer than 36
    When each of them lets 100 tokens pass, takes a request and has work at "u-1"
    And 3000 ms pass in the groups
    Then at each of them 7900 tokens are off the team's limit

  Scenario: A router that ends is not named to callers for long
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And one that is no head is killed
    And 2750 ms pass in the groups
    Then nobody names it to callers

  Scenario: One that leaves says so to everybody at once
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And one that is no head says that it leaves
    Then nobody names it to callers

  Scenario: A fleet that grows over the size for groups counts on
    Given 16 routers that know each other's names
    When 3000 ms pass in the groups
    And each of them lets 100 tokens pass, takes a request and has work at "u-1"
    And 2000 ms pass in the groups
    And 8 more routers come
    And 6000 ms pass in the groups
    Then each hears all the others
    And no one would report more than 16 requests, nor fewer than 16
    And each of them knows the work of all 16 at "u-1"

  Scenario: All limits hold under random losses, kills and starts
    Then in 20 random histories of 24 routers a team gets no more than its limit and a few rounds' worth

  Scenario: A clock that jumps moves nobody's time
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And the time of day of one that is no head jumps by 5000 ms
    And 2000 ms pass in the groups
    Then all of them agree on the time

  Scenario: What two heads tell by turns counts once
    Given a member that hears of 100 and then 200 from one head
    When it hears of 1000 and then 1100 from another one
    And it hears of 1200 and then 1250 from the first one
    Then 250 have been counted

  # Seen: with a third of 58 routers killed and started anew while a team asked for
  # six times its limit, it got 5 in 100 more than limit, burst and what is allowed
  # beside. Suspected: each router that starts has a full bucket of its own for the
  # team. Proof of the mechanism alone: the burst is used up, and others come.
  Scenario: Routers that come do not bring a burst of their own
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And a team uses up its burst of 40000, at 2000 a second
    And 12 more routers come, with the same limit
    Then the team gets at most 30000 more from those that came within 1000 ms

  Scenario: Routers that come are told what is left of the limits
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And the limit is put to 2000 a second, with a burst of 40000
    And 12 more routers come, with the same limit
    And 1000 ms pass in the groups
    Then 3 requests of 12000 pass at one of those that came

  Scenario: What is told counts what a router has let pass before it was told
    Given a router that has let 700 of a burst of 40000 pass and that nobody has told
    When it is told that 30000 are left
    Then 29300 are left to it

  Scenario: A fleet that starts as a whole gives a team one burst
    Given 40 routers that know each other's names
    When the limit is put to 2000 a second, with a burst of 40000
    Then the team gets at most 60000 from all of them within 1000 ms

  Scenario: Routers that come do not bring repeats of their own
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And 12 more routers come, with the same limit
    Then those that came may send at most 12 repeats before they hear anybody
