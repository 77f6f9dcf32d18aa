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

  Scenario Outline: Random entries among others
    Then <count> drawn entries cost no other of the <kind>

    Examples:
      | count | kind      |
      | 300   | upstreams |
      | 200   | rollouts  |

  Scenario: A configuration with an unreadable number
    Then a configuration with 400 digits in any of its numbers is rejected with findings
