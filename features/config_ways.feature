Feature: The ways by which a change of the configuration reaches a router

  Each router watches the store, is told of newer versions by its peers' beacons, copies
  them from a peer, and reads the store if no peer gives it one. A change is in force at
  each router in touch two seconds after its ack.

  Background:
    Given a fleet without a network, with simulated time

  # Guards against watches that stay deaf after a silence of the store: all routers of a
  # fleet served a route that had been dropped seconds before. The watches had been asked
  # again while the store was silent, and not once more when it answered.
  Scenario: A change is in force in time after the store was silent twice
    When changes are made at the given intervals beside these silences of the store
      | routers | change | first | for  | second | for  |
      | 7       | 4000   | 5736  | 4999 | 13936  | 4162 |
      | 6       | 1000   | 6179  | 3384 | 10077  | 4698 |
      | 7       | 2000   | 7832  | 3766 | 12205  | 1375 |
      | 3       | 4000   | 4572  | 3291 | 9594   | 4393 |
    Then each router in touch has had each change in time

  # Guards against a silence of the store that shows in no call: 0.6 s right after a
  # change, and no router had any later change for the 16 s played. The watches are asked
  # again after each change; what is asked in a silence is never answered, and routers
  # made no other call then. A router cut from its peers is told nothing by them either.
  Scenario: A change is in force in time after a silence of the store that no call fell into
    When changes are made beside a silence of the store and a cut of routers
      | routers | change | silent | for  | cut | from | for   |
      | 7       | 2000   | 8038   | 1034 |     | 0    | 0     |
      | 7       | 500    | 8655   | 471  |     | 0    | 0     |
      | 7       | 1000   | 7082   | 317  |     | 0    | 0     |
      | 3       | 500    | 6506   | 339  |     | 0    | 0     |
      | 6       | 500    | 6064   | 5707 | 1 4 | 7233 | 13144 |
      | 8       | 500    | 5144   | 4222 | 6   | 6477 | 13740 |
    Then each router in touch has had each change in time

  # Guards against a router that all its ways leave: cut from its peers, it lost the answer
  # to its watch while the store did not serve it, and made no call that would show it.
  Scenario: A router cut from its peers has a change in time that the store did not bring it
    When changes are made while the store is silent for a router that is cut from its peers
      | routers | change | silent | for  | cut  | from | for   |
      | 7       | 2000   | 7500   | 1100 | 1    | 4000 | 14000 |
      | 7       | 1000   | 9700   | 1500 | 1 4  | 6000 | 9000  |
      | 20      | 2000   | 9100   | 2000 | 3 15 | 5000 | 12000 |
    Then each router in touch has had each change in time

  # Guards against a watch that stays deaf although a peer had a newer version: it was too
  # young to be restarted then, and the router was cut from its peers 0.2 s later.
  Scenario: A young watch that a peer has overtaken is restarted a little later
    When changes are made while the store is silent for a router that is cut from its peers
      | routers | change | silent | for  | cut  | from  | for  |
      | 8       | 300    | 16030  | 209  | 3    | 16912 | 1995 |
    Then each router in touch has had each change in time

  # Guards against a change that came over 2 s after its ack: the store turned the router
  # away, the two peers that it called first had been lost right after they named the
  # change, and it called no third one while these were silent.
  Scenario: A change is in force in time although the peers that named it are lost
    When changes are made while the store fails a router, and peers are cut off once they have named a change
      | routers | store | router | lost             | at    | for  |
      | 6       | busy  | 3      | 2 4 5            | 10168 | 2693 |
      | 7       | busy  | 2      | 0 1 3 6          | 10260 | 3333 |
      | 8       | reset | 1      | 2 3 4 5 6        | 10365 | 2583 |
      | 12      | busy  | 5      | 0 2 3 4 6 8 9 10 | 10212 | 3091 |
    Then each router in touch has had each change in time

  # Guards against changes and leaving upstreams that no router knows of after the store
  # came back from an older copy: the watches waited for revisions above those that it then
  # gave out a second time, so they were silent until it reached their numbers again.
  Scenario: A change and a leaving upstream are known in time after the store came back older
    When changes are made after the store came back from a copy, and an upstream leaves
      | routers | store  | at    | away | age  | change | leaves |
      | 1       | silent | 8931  | 181  | 7984 | 2000   | 9491   |
      | 6       | silent | 8931  | 181  | 7984 | 2000   | 9491   |
      | 7       | silent | 8168  | 158  | 6755 | 4000   | 10696  |
      | 8       | silent | 11365 | 464  | 4779 | 1000   | 13655  |
      | 20      | silent | 11221 | 448  | 6320 | 300    | 13315  |
      | 6       | busy   | 8484  | 1822 | 4422 | 300    | 10413  |
    Then each router in touch has had each change in time

  # Guards against requests to an upstream 3 s after it had said that it leaves: routers that
  # do not watch were sent, and asked for, records above a revision that the store reached
  # again only seconds after its return from an older copy.
  Scenario: Routers that do not watch know in time of a leaving upstream after a return
    When an upstream leaves shortly before the store returns from a copy, and another one after that
      | routers | left | store | at    | away | age  | leaves |
      | 58      | 9500 | reset | 10000 | 500  | 6000 | 12500  |
    Then each router in touch has had each change in time

  # Stores that are silent, busy, slow or reset for all or for some routers, dropped
  # histories, cuts between routers and kills, one to six at a time, in fleets of 3 to 20.
  Scenario: A change is in force in time in random histories
    When 25 drawn histories of changes and troubles are played
    Then each router in touch has had each change in time
