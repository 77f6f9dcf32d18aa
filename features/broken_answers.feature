Feature: A broken answer of an upstream reaches no caller as an answer

  # Guards against heads that are taken for answers though a line in them is no field: what followed
  # the line was dropped, the length with it, so that callers got a 200 whose body was not the
  # upstream's, or the line itself.
  Scenario Outline: A line that is no field, anywhere in a head, for <way>
    Given a fleet of <routers> routers, and upstreams with scripted answers
    When <way> are answered with each line that is no field, at each place, with each framing
    Then no caller gets a success, and each gets a 502

    Examples:
      | routers | way                        |
      | 1       | requests that may run once |
      | 1       | streams                    |
      | 2       | requests through a peer    |
      | 2       | streams through a peer     |

  Scenario Outline: A line that is no field, in a head before that of the answer
    Given a fleet of 1 routers, and upstreams with scripted answers
    When <way> are answered with an interim head that has a line that is no field
    Then no caller gets a success, and each gets a 502

    Examples:
      | way                        |
      | requests that may run once |
      | streams                    |

  # Guards against status lines that are read as numbers in Python are.
  Scenario: A status line that is none
    Given a fleet of 1 routers, and upstreams with scripted answers
    When requests that may run once are answered with each status line that is none, with each framing
    Then no caller gets a success, and each gets a 502

  # Guards against chunks and trailers that are read more leniently than HTTP defines them, so that the
  # body that callers get is not the one that was sent.
  Scenario: Chunks and trailers that are none
    Given a fleet of 1 routers, and upstreams with scripted answers
    When requests are answered with chunks and trailers that are none
    Then no caller gets a success, and each gets a 502

  # Guards against answers of the store, the cloud API, engines and peers, which the same client reads.
  Scenario: A call of a router fails if its answer is broken
    Given an upstream whose answers are scripted
    Then a call fails whatever broken answer it gets, and succeeds with each sound one

  # Guards against engines that fill the memory of a router with answers to its own calls, each of which
  # was read up to 64 MiB.
  Scenario Outline: A <call> whose answer is too long fails
    Given an upstream whose answers are scripted
    Then a <call> fails if its answer has 2000000 bytes, by each framing, and succeeds if it has 50000

    Examples:
      | call   |
      | report |
      | move   |

  # Guards against a reader that refuses what the protocol allows.
  Scenario Outline: Sound answers of unusual form are passed on whole
    Given a fleet of <routers> routers, and upstreams with scripted answers
    Then <way> get each sound answer of unusual form whole

    Examples:
      | routers | way                        |
      | 1       | requests that may run once |
      | 2       | requests through a peer    |

  # Guards against a head that takes a router a long time to refuse.
  Scenario: A long line of blanks is read in little time
    Then a field of 100000 blanks and its line without an end are read in little time

  # Guards against a part of an answer that is taken for the whole: it came early, while the request was
  # still being sent, had neither a length nor chunks, and its connection was ended and then reset. The
  # kernel reports no reset to a reader that has read the end before.
  Scenario Outline: An early answer is broken off by <end>
    Given a fleet of 1 routers, and upstreams with scripted answers
    When a request with a body of <size> bytes is answered early, up to <end>, with <framing>
    Then the caller gets no whole answer

    Examples:
      | size    | framing    | end                                 |
      | 200000  | connection | a reset                             |
      | 3900000 | connection | a reset                             |
      | 3900000 | length     | a reset                             |
      | 3900000 | chunks     | a reset                             |
      | 3900000 | connection | a close                             |
      | 6       | connection | its end and a reset                 |
      | 200000  | connection | its end and a reset                 |
      | 1000000 | connection | its end and a reset                 |
      | 3900000 | connection | its end and a reset                 |
      | 200000  | connection | its end and a close                 |
      | 3900000 | connection | its end and a close                 |
      | 200000  | connection | its end and a reset 30 ms later     |
      | 3900000 | connection | its end and a reset 30 ms later     |

  Scenario Outline: An early answer that is whole is passed on, <end>
    Given a fleet of 1 routers, and upstreams with scripted answers
    When a request with a body of <size> bytes is answered early, up to <end>, with <framing>
    Then the caller gets the whole answer

    Examples:
      | size    | framing    | end                                 |
      | 6       | connection | its end                             |
      | 200000  | connection | its end                             |
      | 3900000 | connection | its end                             |
      | 3900000 | connection | its end, and the request is read on |
      | 3900000 | length     | its end, and the request is read on |
      | 3900000 | chunks     | its end, and the request is read on |
