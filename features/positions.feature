Feature: The position from which a caller takes a stream up holds whatever becomes of its attempts

  # Guards against events that reach a caller twice: it took a stream up, and the run was moved
  # before its first event. The request went to the target with the position 0.
  Scenario Outline: A stream that is taken up continues after the stated position
    When a caller takes a stream up after event <position>, <attempts>
    Then it receives the events from <first> on, each once

    Examples:
      | position | attempts                                                                        | first |
      | 2        | moved before an event                                                           | 3     |
      | 2        | moved before an event, moved before an event                                    | 3     |
      | 1        | moved after 1 event, moved before an event                                      | 2     |
      | 1        | moved before an event, moved after 1 event                                      | 2     |
      | 1        | moved before an event, broken off before an event                               | 2     |
      | 1        | moved before an event, broken off after 1 event                                 | 2     |
      | 1        | broken off before an event, moved before an event                               | 2     |
      | 1        | broken off after 1 event, moved before an event                                 | 2     |
      | 2        | through a peer, moved before an event                                           | 3     |
      | 1        | through a peer, broken off after 1 event, moved before an event                 | 2     |
      | 1        | through a peer that is lost after 1 event, moved before an event                | 2     |
      | none     | moved before an event                                                           | 1     |
      | none     | moved after 1 event, moved before an event                                      | 1     |
      | empty    | moved before an event                                                           | 1     |
      | 0        | moved before an event                                                           | 1     |

  # Guards against a position that only upstreams can read, and that is replaced by another one.
  Scenario Outline: An upstream receives the position of a caller as it was stated
    When a caller takes a stream up after event <position>, moved before an event, moved before an event
    Then each upstream received the position <position>

    Examples:
      | position            |
      | e-17                |
      | 1234567890123456789 |

  # Guards against events that reach a caller twice because they have no ids: another upstream was
  # told the position 0.
  Scenario Outline: A stream whose events have no ids continues nowhere else
    When a stream whose events have no ids <what>
    Then the caller receives it <how>

    Examples:
      | what                                   | how                           |
      | is moved after 1 event                 | broken off, and no event twice |
      | is broken off after 1 event            | broken off, and no event twice |
      | is moved while its first event arrives | broken off, and no event twice |
      | is moved before an event               | whole                         |

  Scenario: Random attempts at a stream that is taken up
    Then in 300 drawn worlds, a stream that is taken up brings the events after its position, each once
