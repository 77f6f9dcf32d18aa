# Seen: 58 routers on links of 5 Mbit/s got a configuration of 1,600 routes one after
# the other, the last 12 s after the first. All the while those without it answered
# "no such route", which callers take as final, to proper requests.
# How: everybody asked the first peer that had it, for the whole text of 0.46 MB; the
# call's time ran out before it was there, and it was begun anew at another peer.
# Cause: copies of any size, given to any number at a time, each bounded as a whole.
# Proof: below, on links that share what they carry, without a network.

Feature: A large configuration spreads over thin links in time

  Scenario: It is in force everywhere while each copy takes a good part of a link
    Given 58 routers on links of 625 bytes a millisecond
    When 6 of them have 1600 routes more within 600 ms
    Then all have them within 2500 ms more
    And no router's link has carried more than 500000 bytes for it

  Scenario: Peers that are gone do not hold it up
    Given 58 routers on links of 625 bytes a millisecond
    When 6 of them have 1600 routes more within 600 ms
    And 3 of those 6 fall silent at once
    Then all have them within 1000 ms more

  Scenario: Who told first is gone
    Given 58 routers on links of 625 bytes a millisecond
    When 1 of them have 1600 routes more within 10 ms
    And 1 of those 1 fall silent at once
    And another one has them 100 ms later
    Then all have them within 1900 ms more

  Scenario: One that has it is enough
    Given 58 routers on links of 625 bytes a millisecond
    When 1 of them have 1600 routes more within 100 ms
    Then all have them within 2500 ms more
    And no router's link has carried more than 500000 bytes for it

  Scenario: Two follow each other
    Given 58 routers on links of 625 bytes a millisecond
    When 6 of them have 1600 routes more within 600 ms
    And 100 ms later they have 3200 routes more still
    Then all have them within 2500 ms more

  Scenario: Who told of it is gone, and the store is out
    Given 8 routers on links of 625 bytes a millisecond
    When no router reaches the store
    And 1 of them have 1600 routes more within 10 ms
    And 1 of those 1 fall silent at once
    And 30000 ms pass on the links
    Then the others know that they are behind
    When they reach the store again
    Then all have them within 5000 ms more

  Scenario: While a router stands still its link is free as well
    Given 8 routers on links of 625 bytes a millisecond
    When 1 of them have 16000 routes more within 10 ms
    And one gives copies until it puts a peer off
    And it stands still for 4000 ms
    Then it gives the next copy at once

  Scenario: What the store denies is not believed
    Given 8 routers on links of 625 bytes a millisecond
    When one says again and again that it has what the store has not
    Then at most 25 in 100 times the others think that they are behind
    And the store was asked at most 3 times by each

  Scenario: What another one has is believed beside it
    Given 8 routers on links of 625 bytes a millisecond
    When one says again and again that it has what the store has not
    And 4000 ms pass on the links
    And another one has 49 routes of the store's, and tells of it
    Then all but the first have them within 1500 ms more

  Scenario: One that was wrong is believed again after a while
    Given 8 routers on links of 625 bytes a millisecond
    When one says again and again that it has what the store has not
    And 4000 ms pass on the links
    And that one has 49 routes of the store's, and tells of it
    Then all have them within 13000 ms more

  Scenario: What a router can't read it does not ask for again and again
    Given 8 routers on links of 625 bytes a millisecond
    And 1 of them can read no newer one
    When 1 of them have 1600 routes more within 10 ms
    And 8000 ms pass on the links
    Then no link of those has carried more than 100000 bytes

  Scenario: What a router could not read it asks for again after a while
    Given 8 routers on links of 625 bytes a millisecond
    And 1 of them can read no newer one
    When 1 of them have 1600 routes more within 10 ms
    And 2000 ms pass on the links
    And that one can read what it could not
    Then all have them within 11000 ms more

  Scenario: A long reading of the store is not begun anew beside itself
    Given 8 routers on links of 62 bytes a millisecond
    When 1 of them have 1600 routes more within 10 ms
    And 1 of those 1 fall silent at once
    Then all have them within 12000 ms more
    And the store was asked at most 1 times by each

  # By reading: what the store has and this router can't read counted as denied by
  # the store, so that "there is none" was final again.
  Scenario: What the store has and a router can't read is not denied
    Given 8 routers on links of 625 bytes a millisecond
    And 1 of them can read no newer one
    When 1 of them have 1600 routes more within 10 ms
    And 1 of those 1 fall silent at once
    And 8000 ms pass on the links
    Then the one that can't read it knows that it is behind
    And the store was asked at most 1 times by each

  Scenario: Who has heard of a newer configuration does not say that a route isn't there
    Given a fleet of 1 routers
    When the router hears of a configuration that is newer than its own
    Then a caller of an unknown route is told to come back, and that nothing ran
    And a caller with an unknown key is told to come back, and that nothing ran
    When nothing more is heard of it
    Then a caller of an unknown route is told that there is none

  Scenario: Nor that a model or a service is unknown
    Given a fleet of 1 routers
    When the router hears of a configuration that is newer than its own
    And this is posted to "/v1/chat/completions"
      """
      {"model": "x", "messages": []}
      """
    Then the status is 503 and the reason contains "unknown_model"
    When this is posted to "/v1/services/nowhere/x"
      """
      {"payload": "1"}
      """
    Then the status is 503 and the reason contains "no_route"

  Scenario: Nor that anything is larger than it may be
    Given a fleet of 1 routers
    When the router hears of a configuration that is newer than its own
    And a caller sends a body of 5000000 bytes
    Then the status is 503 with a retry time
    When a caller sends a header of 40000 bytes
    Then the status is 503 with a retry time
    When this is posted to "/v1/chat/completions"
      """
      {"model": "draft-7b", "messages": [], "max_tokens": 99999}
      """
    Then the status is 503 and the reason contains "max_tokens"

  # By reading: whoever starts asks the seeds in the order in which they are told, all
  # the same one first. Its answer tells of every router, 8 kB at 80 of them, and a call
  # has 800 ms: 79 answers take 1.0 s of a thin link, and each is given up.
  Scenario: Routers that start together do not all ask one seed first
    Given 80 routers on links of 625 bytes a millisecond
    When all but 3 that know everybody join by these at once
    And 2000 ms pass on the links
    Then no call of theirs has failed, and all know everybody

  # Seen: 195 routers that started together got 18.9 kB each of three seeds, 5.9 MB
  # in half a second; 48 calls failed. Proof: three links of 10 Mbit/s.
  Scenario: Many more that start together are told of each other by three
    Given 195 routers on links of 1250 bytes a millisecond
    When all but 3 that know everybody join by these at once
    And 2000 ms pass on the links
    Then no call of theirs has failed, and all know everybody

  Scenario: Routers that the store has told of the others ask no seed
    Given 80 routers on links of 625 bytes a millisecond
    When all but 3 that know everybody join by these at once
    And the store has told each of platform and fleet
    And 2000 ms pass on the links
    Then none of them has asked a seed
