Feature: Upstreams that fall over if they must refuse too much

  # Guards against a place for each router at each upstream: with more routers than slots, all
  # routers together had more requests there than it had room for, and it fell over again and again.
  Scenario Outline: The routers together use no more than the slots, and most of them
    Given <routers> routers before <upstreams> upstreams of <slots> slots that bear <limit> refusals a second
    When callers press on them for 10 s
    Then no upstream falls over
    And at least 0.8 of the slots are used

    Examples:
      | routers | upstreams | slots | limit |
      | 3       | 6         | 6     | 3     |
      | 8       | 6         | 4     | 3     |
      | 12      | 4         | 3     | 1     |
      | 20      | 4         | 8     | 2     |
      | 29      | 4         | 6     | 1     |

  # Guards against shares that add up to more than there is, or leave a slot to nobody.
  Scenario: The shares of all routers add up to the slots
    Then in 200 drawn fleets the shares of all routers add up to the slots of each upstream

  # Guards against routers that know only what upstreams have answered to them: one that had just
  # started used what it liked, and upstreams fell over at each start.
  Scenario Outline: A router that starts keeps to its share from its first request on
    Given 3 routers before 6 upstreams of 6 slots that bear 3 refusals a second
    When callers press on them for 2 s
    And <how>
    Then no upstream falls over

    Examples:
      | how                                              |
      | all routers are killed and started 3 times       |
      | each router is killed and started, one by one    |

  # Guards against a router whose previous run has left requests at a silent upstream: it sent as many
  # again, and all of them arrived when the upstream went on.
  Scenario: A router that starts while upstreams are silent sends them one request each
    Given 3 routers before 4 upstreams of 12 slots that bear 1 refusals a second
    When callers press on them for 2 s
    And all upstreams fall silent for 1600 ms
    And one router is killed and started
    Then no upstream falls over

  # Guards against slots that are free here before they are free there: callers that left a silent
  # upstream were followed by others, and all of them arrived when it went on.
  Scenario: Callers that leave while all upstreams are silent keep their slots
    Given 3 routers before 6 upstreams of 6 slots that bear 3 refusals a second
    When callers press on them for 2 s
    And all upstreams are silent for 1600 ms, and a third of the callers leave every 400 ms
    Then no upstream falls over

  # Guards against routers that keep away for good from upstreams at which they have no slot: none of
  # these ever answers them that it is not brittle any more.
  Scenario: All routers know when a service is not brittle any more
    Given 29 routers before 4 upstreams of 6 slots that bear 1 refusals a second
    When callers press on them for 2 s
    Then all routers count each upstream as brittle
    When no upstream states that it is brittle any more, and 5 s pass
    Then no router counts an upstream as brittle that has not told it so

  # Guards against refusals of which each router knows its own only: as many routers as an upstream
  # bears refusals were each refused once in the same second.
  Scenario: Refusals that one router reads keep all routers away
    Given 8 routers before 2 upstreams of 8 slots that bear 2 refusals a second
    When callers press on them for 2 s
    And each upstream has room for only half of its slots for 10 s
    Then no upstream falls over

  # As the users count: a fall after which most refusals were those of routers in touch.
  Scenario: Random histories of routers, silences and callers that leave
    Then in 60 random histories the upstreams fall over no more often than they may

  # Guards against slots that are freed as a connection is closed: the upstream, which stands still, has
  # not read that yet.
  Scenario: A caller that leaves a silent upstream frees its slot as the upstream goes on
    Given a fleet of 1 routers with 1 brittle upstreams of 2 slots
    When all of them are silent for 1500 ms
    And 2 callers send a request and leave after 300 ms
    Then the next request is refused with 503
    And a request is answered within 3000 ms, and none was refused there

  # Guards against the same for an attempt that another one replaces.
  Scenario: An attempt that is replaced frees its slot as its upstream goes on
    Given a fleet of 1 routers with 2 brittle upstreams of 2 slots
    When "brittle-0" is silent for 2500 ms, and holds a request
    Then the request is answered elsewhere, and its slot stays taken
    And within 3000 ms no slot is taken any more
