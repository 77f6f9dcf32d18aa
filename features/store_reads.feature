Feature: Large answers of the store come through on a thin link

  # Seen: a configuration of 0.46 MB, 0.74 s long on a link of 5 Mbit/s that
  # callers' streams use too, was given up while it came in, and begun anew.
  # Came about: whatever the store's answer had brought, the call ended 1.5 s
  # after it was made; the value may be 1 MB, 1.7 s long on that link alone.
  # Cause: a bound on the whole of a transfer whose length grows with its
  # size, where what is to be found out is silence.
  # Proof: parts that are each in time make an answer, however many they are.
  Scenario Outline: What comes bit by bit is read to its end, and asked for once
    Given a store whose answers come in 5 parts, 1000 ms apart
    When it is asked for <what> with a bound of 1500 ms
    Then the answer is whole, and was asked for once

    Examples:
      | what      |
      | a listing |
      | an object |
      | changes   |

  Scenario Outline: An answer that stops coming is given up
    Given a store whose answers stop after their first part
    When it is asked for <what> with a bound of 200 ms
    Then the answer is given up as silent

    Examples:
      | what      |
      | a listing |
      | an object |
      | changes   |

  Scenario: An answer that comes for ever is given up
    Given a store whose answers come in 500 parts, 1000 ms apart
    When it is asked for a listing with a bound of 1500 ms
    Then the answer is given up as silent
    And it was after fewer than 50 parts

  Scenario Outline: What has a short answer is bounded as a whole
    Given a store whose answers come in 5 parts, 1000 ms apart
    When it is asked for <what> with a bound of 1500 ms
    Then the answer is given up as silent
    And it was after fewer than 4 parts

    Examples:
      | what      |
      | a write   |
      | a removal |
      | an order  |

  # Seen: five of six watchers gave up the watch that brought a configuration,
  # right after a peer had told them of an upstream.
  # Came about: a peer's news ended every watch that had waited for 2 s, of
  # whatever kind, and also one whose answer was coming in.
  # Cause: silence was told by how long the watch had lasted, and by news that
  # it was not there to bring.
  # Proof: the watches on the configuration are not asked for again; an answer
  # that has begun to come is read to its end from its first call.
  Scenario: A peer's news on upstreams ends no watch on the configuration
    Given a router that has watched the store for 3000 ms
    When a peer has news on upstreams
    Then it watches the upstreams anew
    And it has watched the configuration once

  # Seen: a request reached an upstream 2.3 s after the store had taken in that it
  # leaves, where 2 s are allowed; no router knew of it. How: the store had been silent
  # for 5 s, until 3.3 s before. What it had to say on waiting watches was lost, and
  # they waited on: 25 s, on connections that lived. Cause: calls that fail and are
  # answered again tell of an outage, and nobody asked anew what had waited through
  # it. Proof: only the answer of another call comes here.
  Scenario: A watch that has waited through an outage is asked for anew
    Given a router that has watched the store for 3000 ms
    When another call of it fails and the next one is answered
    Then it watches the upstreams anew
    And it watches the configuration anew

  # A watcher may have no other calls to make, so that none of its own ever fails.
  Scenario: A watch is asked for anew once a peer's calls fail
    Given a router that has watched the store for 3000 ms
    When a peer says that the store does not answer it, again and again
    Then it watches the upstreams anew
    And it watches the configuration anew
    And it has asked the store once whether it answers

  # Not seen, but what is asked anew while the store is silent waits as well.
  Scenario: A watch that was begun in an outage is asked for anew after it
    Given a router that has watched the store for 600 ms
    When another call of it fails and the next one is answered
    Then it watches the upstreams anew

  # The failed call is the only witness of the silence that the watches have
  # waited through; another call was answered after it was made.
  Scenario: A failure that is outdated still tells that watches may be deaf
    Given a router that has watched the store for 3000 ms
    When a call of it is answered, and then one made before that fails
    Then it watches the upstreams anew

  Scenario: A peer that is refused for long does not hide a later outage
    Given a router that has watched the store for 3000 ms
    When another peer says so after one that is refused for long
    Then it has asked for the upstreams once more

  Scenario: A watch that was begun just now is not
    Given a router that has watched the store for 400 ms
    When another call of it fails and the next one is answered
    Then it has watched the upstreams once

  Scenario: A peer's news on the configuration ends the watches on both its parts
    Given a router that has watched the store for 3000 ms
    When a peer has news on the configuration
    Then it watches the configuration anew
    And it has watched the upstreams once

  Scenario: A watch whose answer is coming in is not given up for a peer's news
    Given a watch whose answer comes in two halves
    When the first half comes 3000 ms after it began
    And a peer has news 500 ms later
    Then it goes on
    When the second half comes
    Then it has brought the news, and was asked for once

  Scenario: A watch whose answer has stopped coming is given up for a peer's news
    Given a watch whose answer comes in two halves
    When the first half comes 3000 ms after it began
    And a peer has news 2000 ms later
    Then it is asked for once more, and has brought the news

  # Seen: engines that had left got new work 3.0 s after their entries were removed.
  # How: two routers that watch nothing had one call refused, 1 and 36 s before, and
  # asked no more; all believed their word of an outage and took the removed entries
  # for lapsed ones. Cause: nobody asks on behalf of a doubt. Proof: the doubt stays.
  Scenario: A router that does not watch finds out that the store answers
    Given a router that does not watch the store
    When a call of it is refused, and the store answers again
    Then it finds out by itself
