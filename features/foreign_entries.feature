Feature: Whatever an entry of another writer holds costs that entry only

  # Guards against routers that do not notice that an upstream leaves: an entry with a number of 400
  # digits ended the watch of all upstreams. These scenarios guard the values, not the watches.
  Scenario Outline: One entry is unreadable, in a listing and in a change
    When the <kind> are read beside an entry whose <field> is <value>
    Then the other <kind> are known, and so is a later change of one of them

    Examples:
      | kind      | field          | value       |
      | upstreams | seq            | 400 digits  |
      | upstreams | capacity-slots | 400 digits  |
      | upstreams | born           | -400 digits |
      | upstreams | cold-left-ms   | 400 digits  |
      | upstreams | seq            | 5000 digits |
      | upstreams | seq            | 900 lists   |
      | rollouts  | duration-s     | 400 digits  |
      | rollouts  | duration-s     | 5000 digits |

  # Guards against upstreams that count as gone, or are not seen to leave, because another entry closes
  # a bracket too many or too few, or holds what looks like the metadata of theirs.
  Scenario Outline: An entry that is no JSON among others
    Then no unreadable text at any place of an entry costs another of the <kind>

    Examples:
      | kind      |
      | upstreams |
      | rollouts  |

  Scenario Outline: Random entries among others
    Then <count> drawn entries cost no other of the <kind>

    Examples:
      | count | kind      |
      | 300   | upstreams |
      | 200   | rollouts  |

  # Guards against a page of which one unreadable entry is recovered from, and several are not: the others
  # were lost, or one of them was taken for another.
  Scenario Outline: Several unreadable entries among others, in one page and in one change
    Then in <count> drawn pages with up to 6 unreadable entries all other <kind> are known

    Examples:
      | count | kind      |
      | 150   | upstreams |
      | 60    | rollouts  |

  Scenario: A configuration with an unreadable number
    Then a configuration with 400 digits in any of its numbers is rejected with findings

  # Guards against a router that never registers, or sends no beacon any more: an entry among those of
  # the routers did not fit into a message, or had an address to which no datagram can be sent.
  Scenario Outline: One entry among those of the routers is no router's
    When a router registers beside an entry of the routers with <value> for "<field>"
    Then it is registered, and sends beacons to the other router only

    Examples:
      | field         | value             |
      | name          | "b"               |
      | name          | 7                 |
      | incarnation   | 1e999             |
      | incarnation   | {"a": 1}          |
      | state         | 1e999             |
      | beaconAddress | "10.0.0.1:99999"  |
      | beaconAddress | "nowhere:1"       |
      | beaconAddress | []                |

  Scenario: Random entries among those of the routers
    Then in 300 drawn stores a router registers, and knows no address that it can't send beacons to

  # Guards against an entry that stops its readers for seconds: each of thousands of nested fields with
  # a known name was parsed to its end.
  Scenario Outline: An entry of nested fields is given up after a bounded number of tries
    When an entry has <depth> nested fields "<field>", which <end>
    Then the other entries of its page are read
    And no more than <tries> places of the page were tried

    Examples:
      | depth | field    | end            | tries |
      | 50000 | metadata | end            | 300   |
      | 50000 | metadata | do not end     | 300   |
      | 50000 | spec     | end            | 300   |
      | 50000 | spec     | do not end     | 300   |
      | 50000 | object   | do not end     | 300   |
