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

  # Seen: 1.5 s after 195 routers had started at once, nearly each of them took nearly
  # all others for silent for up to a second; callers were told of few, limits filled
  # by a small share, and all contended for the watches. How: a router says but once
  # to everybody that it is there; heads tell of it three rounds later, which takes
  # as long as the silence that is allowed. Proof: a fleet that starts as a whole.
  Scenario: A large fleet that starts as a whole takes nobody for silent
    Given 195 routers that have just started
    When each looks at the others, and then says to all that it is there
    Then for 6000 ms each hears all the others, whose rounds are not at once
    And only the heads lead

  Scenario: A router that ends is not named to callers for long
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And one that is no head is killed
    And 2750 ms pass in the groups
    Then nobody names it to callers

  Scenario: One that ends right after its news is not named for long either
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And one that is no head has news, and is killed
    And 2750 ms pass in the groups
    Then nobody names it to callers

  # Seen: 189 calls between routers for each upstream that came or went, 10,125 in
  # 13 s. Cause: news said that there was something to be fetched, and not what.
  Scenario: What has changed of upstreams comes with the news, and nobody asks
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And one that watches tells of 3 new upstreams
    Then each of the others knows the 3, and none has asked for them

  Scenario: One that has missed news asks for all that it lacks
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And one that watches tells of 2 new upstreams, and another misses it
    And one that watches tells of 1 new upstream
    Then the one that missed it knows 1 of the 3, and asks for the rest

  Scenario: News that no datagram holds is fetched
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And one that watches tells of 13 new upstreams
    Then each of the others knows 0 of them, and asks

  Scenario: One that leaves says so to everybody at once
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And one that is no head says that it leaves
    Then nobody names it to callers

  # Seen: with one router after the other stopped as planned, those of a whole group
  # fell silent to all others for a second, 1,401 lines in 2 s. How: its head had
  # ended, and the next one waited until it was silent. Proof: a head that leaves.
  Scenario: A head that leaves hands its group over before it ends
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And a head says that it leaves, and ends 2000 ms later
    Then for 6000 ms each hears all the others, whose rounds are not at once

  # Seen: the same, when that router came back: 2,514 lines in 2 s. How: it was head
  # again at once, and told of those whom it had heard by then; nobody else counted as
  # there. Proof: the next run of a head that has stopped as planned.
  Scenario: A head that comes back says of nobody that it is not there
    Given 195 routers that know each other's names
    When 5000 ms pass in the groups
    And a head says that it leaves, and ends 2000 ms later
    And it comes back 1000 ms after that
    Then for 4000 ms each other hears all, whose rounds are not at once

  # Seen: after a start of 195 routers two of a group of 14 heard of nobody for 9 s, and
  # one of them got the duties: it gave engines back for a demand that it had not
  # heard of. How: both are last in the order in which their head sends its round.
  # Cause: a round of 28 beacons at once is more than the queue of a link of 10 to 20
  # Mbit/s holds, so that the last ones were lost, at each round.
  Scenario: A head's round goes out a few beacons at a time
    Given a head whose round is 28 beacons of 5000 bytes
    When it sends the round
    Then no more than 21500 bytes go at once, and 1440000 in a second

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

  Scenario: What a router let pass before it was told is taken off once
    Given 8 routers that know each other's names
    When 5000 ms pass in the groups
    And the limit is put to 2000 a second, with a burst of 40000
    And 1000 ms pass in the groups
    And one starts anew and lets 4000 pass before it is told
    And 1000 ms pass in the groups
    Then it believes no less than 1000 below what another one believes

  Scenario: Limits that come late are told as well
    Given 8 routers that know each other's names
    When 5000 ms pass in the groups
    And a team uses up its burst of 40000, at 2000 a second
    And one starts anew, without limits yet
    And 6000 ms pass in the groups
    And it gets the same limit
    And 750 ms pass in the groups
    Then it believes no more than 1000 above what another one believes

  Scenario: A fleet that starts as a whole gives a team one burst
    Given 40 routers that have just started
    When the limit is put to 2000 a second, with a burst of 40000
    Then the team gets at most 60000 from all of them within 1000 ms

  Scenario: Routers that come do not bring repeats of their own
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And 12 more routers come, with the same limit
    Then those that came may send at most 12 repeats before they hear anybody

  Scenario: A fleet that starts as a whole keeps to the limit from then on
    Given 40 routers that have just started
    When the limit is put to 2000 a second, with a burst of 4000
    Then of 8000 a second, asked for at all of them, at most 22000 pass in 8000 ms

  # Seen: in the 2.5 s after all of 195 routers had lost power, 875 requests were
  # refused for their teams' limits, all of which were unused. How: until it was told
  # what is left, each router kept to its 195th of a limit, which is less than one
  # request. Cause: parts that cannot be used where they are. Proof: teams that ask for
  # what is usual, and for many times their limit, of a fleet that has just started.
  Scenario: A large fleet that starts as a whole lets teams have what is theirs
    Given 195 routers that have just started
    When each looks at the others, and then says to all that it is there
    And the limit is put to 110000 a second, with a burst of 110000
    Then of 61000 a second, in requests of 6000, over 2000 ms at most 20 in 100 are refused

  Scenario: What heads lend is together no more than the limit
    Given 195 routers that have just started
    When each looks at the others, and then says to all that it is there
    And the limit is put to 110000 a second, with a burst of 110000
    Then of 880000 a second, in requests of 6000, at most 378000 pass in 2000 ms

  Scenario: A team that asks a starting fleet for too much gets what is its own
    Given 195 routers that have just started
    When each looks at the others, and then says to all that it is there
    And the limit is put to 110000 a second, with a burst of 110000
    Then of 388000 a second, in requests of 6000, at most 1089000 pass in 8000 ms

  Scenario: A head that nobody hears costs its members no more than a refusal
    Given 195 routers that have just started
    When each looks at the others, and then says to all that it is there
    And the limit is put to 110000 a second, with a burst of 110000
    And nobody answers for the heads
    Then of 61000 a second, in requests of 6000, at most 110000 pass in 1000 ms

  Scenario: A small fleet that starts as a whole gives a team one burst
    Given 12 routers that have just started
    When the limit is put to 2000 a second, with a burst of 40000
    And each lets its part pass before any beacon has come
    Then at most 66000 have passed 4000 ms later

  Scenario: Routers that come keep to their part before they look at their peers
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And the limit is put to 2000 a second, with a burst of 40000
    And 12 more routers come, with the same limit
    Then at once at most 40000 pass at those that came, by 100

  Scenario: Routers that come keep to their part with long requests
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And the limit is put to 2000 a second, with a burst of 40000
    And 12 more routers come, with the same limit
    Then at once at most 40000 pass at those that came, by 20000

  # Seen: a team that asked for six times its limit at 58 routers got a fifth more
  # than rate and burst allow in 8 s. How: all of them knew 1.5 s late what the
  # others let pass; as soon as a little was there, each let pass what came, and the
  # level fell by several seconds' worth at a time. Cause: the whole of what was left
  # was everybody's. Proof: random requests of a fortieth of the burst.
  Scenario: A team that asks for many times its limit gets what is its own
    Given 58 routers that know each other's names
    When 5000 ms pass in the groups
    And the limit is put to 338000 a second, with a burst of 338000
    Then of 2028000 a second, in requests of 9000, at most 3346200 pass in any 8 s
    And in all no less than the limit

  # Seen: a team that asked for many times its limit at 58 routers got a fourth more
  # than rate and burst allow in 8 s, with a third of the routers killed. How: heads
  # were among them. Their members heard of nobody's spends for 2 s, and nobody heard
  # of theirs; all of these buckets filled as if nothing was spent. Cause: the next
  # head tells only what is counted from then on, and nobody allowed for the gap.
  # Proof: heads and others are killed while a team asks for six times its limit.
  Scenario: A team gets no more than its own while heads are lost
    Given 58 routers that know each other's names
    When 5000 ms pass in the groups
    And the limit is put to 338000 a second, with a burst of 338000
    And 3 heads and 14 others are killed after 3000 ms, and start 3000 ms later
    Then of 2028000 a second, in requests of 9000, at most 3346200 pass in any 8 s

  Scenario: A team that asks for half of its limit is refused nothing then
    Given 58 routers that know each other's names
    When 5000 ms pass in the groups
    And the limit is put to 338000 a second, with a burst of 338000
    And 3 heads and 14 others are killed after 3000 ms, and start 3000 ms later
    Then of 169000 a second, in requests of 9000, none is refused

  # A head whose beacons were lost for a moment tells all that was missed: what was
  # reckoned meanwhile must not come off the limit twice.
  Scenario: What was reckoned in a silence is taken back after it
    Given 58 routers that know each other's names
    When 5000 ms pass in the groups
    And a team uses up its burst of 40000, at 2000 a second
    And no beacon comes for 1000 ms
    Then to each at most 600 more seem to be left
    When 1000 ms pass in the groups
    Then to each from 3990 to 4010 more seem to be left

  Scenario: What a head missed is missed by its members as well
    Given 58 routers that know each other's names
    When 5000 ms pass in the groups
    And a team uses up its burst of 40000, at 2000 a second
    And no head hears another one for 2000 ms
    Then to each at most 2000 more seem to be left

  Scenario: Another head tells only what is counted from then on
    Given half of a fleet is told of by one head, and 2000 tokens come in a second
    And nothing is left of a burst of 4000
    When 500 ms later another head tells
    Then 500 tokens are reckoned
    When 500 ms later the same head tells
    Then 0 tokens are reckoned

  Scenario: Nothing is reckoned for a time in which the limit was unused
    Given half of a fleet is told of by one head, and 2000 tokens come in a second
    And all is left of a burst of 4000
    When 500 ms later another head tells
    Then 0 tokens are reckoned

  Scenario: A request that has crashed three upstreams is refused in all groups
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And one request crashes an upstream at a member of each of three groups
    And 2500 ms pass in the groups
    Then each of the 40 refuses it
    When 20 more routers come
    And 2500 ms pass in the groups
    Then each of the 60 refuses it

  Scenario: A limit that one router reads is split between the routers of all groups
    Given 40 routers that know each other's names
    When 5000 ms pass in the groups
    And a member reads a limit of 1 request a second from an upstream
    And 2500 ms pass in the groups
    Then each of the 40 knows the limit
    And their shares add up to 1 request a second and a burst of 5
