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
    Then all have them within 4000 ms more

  Scenario: Who has heard of a newer configuration does not say that a route isn't there
    Given a fleet of 1 routers
    When the router hears of a configuration that is newer than its own
    Then a caller of an unknown route is told to come back, and that nothing ran
    And a caller with an unknown key is told to come back, and that nothing ran
    When nothing more is heard of it
    Then a caller of an unknown route is told that there is none
