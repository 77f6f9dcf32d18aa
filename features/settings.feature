Feature: All settings are checked before a program starts

  Scenario: All findings are reported together with file, line and key
    When these router settings are checked
      """
      [router]
      listen = nowhere
      bogus = 1
      becon_ms = 3
      connect_ms = soon
      write_ms = 0
      fatal_invariants = maybe
      ports = 7600, x
      [platfrom]
      objects = 1
      """
    Then these findings are reported
      | line | text                                    |
      | 2    | listen = nowhere: must be IP:port       |
      | 3    | unknown key bogus                       |
      | 4    | did you mean beacon_ms?                 |
      | 5    | must be a whole number in ms            |
      | 6    | must be at least 100                    |
      | 7    | must be true or false                   |
      | 8    | must be a whole number                  |
      | 9    | did you mean platform?                  |
      | 1    | needs name                              |

  Scenario: A file that is not in INI format
    When these router settings are checked
      """
      listen
      """
    Then these findings are reported
      | line | text    |
      | 1    | not INI |

  Scenario: Settings that have no effect any more are reported
    When these router settings are checked
      """
      [bounds]
      thaw_ms = 300
      """
    Then these findings are reported
      | line | text                                            |
      | 2    | [bounds] thaw_ms has no effect any more; remove |

  Scenario: The program exits with 2 and does not start
    When the router program checks these settings
      """
      [router]
      listen = nowhere
      """
    Then the router program exits with 2
    And its output contains "listen = nowhere" and "needs failure_domain"

  Scenario: Valid settings
    When the router program checks these settings
      """
      [router]
      name = a
      listen = 127.0.0.1:0
      peer_listen = 127.0.0.1:0
      failure_domain = fd-1
      [platform]
      objects = 127.0.0.1:1
      cloud = 127.0.0.1:2
      """
    Then the router program exits with 0

  Scenario Outline: Unknown values of settings under scarcity
    When the router program checks these settings
      """
      [router]
      name = a
      listen = 127.0.0.1:0
      peer_listen = 127.0.0.1:0
      failure_domain = fd-1
      [platform]
      objects = 127.0.0.1:1
      cloud = 127.0.0.1:2
      [scarcity]
      order = <order>
      refuse = <refuse>
      """
    Then the router program exits with <code>
    And its output contains "router.ini" and "<text>"

    Examples:
      | order    | refuse | code | text                                             |
      | fifo     | false  | 2    | [scarcity] order: must be one of slack, priority |
      | slack    | true   | 2    | [scarcity] refuse: needs order = priority        |
      | priority | maybe  | 2    | must be true or false                            |
      |          | true   | 2    | [scarcity] order: must be one of slack, priority |
      | priority | true   | 0    | no findings                                      |

  # Guards against shares that leave no descriptor for upstreams and the platform.
  Scenario Outline: Shares of the descriptors for connections
    When the router program checks these settings
      """
      [router]
      name = a
      listen = 127.0.0.1:0
      peer_listen = 127.0.0.1:0
      failure_domain = fd-1
      [platform]
      objects = 127.0.0.1:1
      cloud = 127.0.0.1:2
      [machine]
      caller_share = <callers>
      peer_share = <peers>
      """
    Then the router program exits with <code>
    And its output contains "router.ini" and "<text>"

    Examples:
      | callers | peers | code | text                                            |
      | 0.8     | 0.3   | 2    | [machine] peer_share: at most 0.95 with caller_ |
      | 0.6     | 0.7   | 2    | peer_share                                      |
      | 0.6     | 0.35  | 0    | no findings                                     |
